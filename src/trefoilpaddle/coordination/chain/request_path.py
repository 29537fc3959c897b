"""Serves one request: who governs it, its stages, its worker, its one answer."""

import asyncio
import functools
import random
import time
from typing import Final

from absl import logging

from ...protocol.reasons import Reason
from ...state.chain.chain_work import ChainCompleted, ChainFailed, ChainMoved, ChainWork
from ...state.chain.delivery import Delivery
from ...state.chain.engine_times import EngineTimes
from ...state.chain.fingerprint import fingerprint_of
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.requests import CallerRequest, Outcome, Refused
from ...state.chain.routes import Account, Route, RouteTable
from ...state.chain.workers import WorkerTable
from ...state.journal import Journal
from .answer_deadline import AnswerDueError
from .attempts import Attempts
from .caller_sink import CallerSink
from .chain_inputs import ChainInputs
from .chain_router import ChainRouter
from .crash_guard import CrashGuard
from .job import Job
from .planned_stop import PlannedStop
from .request_log import RequestLog
from .running_chain import running_chain
from .target_calls import TargetCalls
from .worker_choice import Need, WorkerChoice

NO_ACCOUNT: Final = Account(name="")
"""Stands for the caller of a public route."""

NOBODY: Final[frozenset[str]] = frozenset()
"""No worker is passed over."""

ELSEWHERE_S: Final = 0.0
"""When to come back to a gateway that stops; the caller reaches another at once."""

LAST_S: Final = 0.1
"""Time after its deadline at which a request is answered whatever it waits for.

Each wait ends by itself at the deadline, and says why; this is for one that does not.
"""

UNKNOWN_RETRY_S: Final = 0.5
"""When to come back to a gateway that knows nothing yet; it learns in a second."""


class RequestPath:
    """Serves requests by what is published and by what workers there are.

    Parameters
    ----------
    failure_domain : str
        Where this gateway stands.
    workers : WorkerTable
        Who may get work.
    router : ChainRouter
        Has the stages made.
    choice : WorkerChoice
        Chooses workers for requests.
    calls : TargetCalls
        Speaks to workers.
    budgets : RepeatBudgets
        Bound what is sent again.
    journal : Journal
        Takes decisions.
    stop : PlannedStop
        Says what is still taken.
    guard : CrashGuard
        Watches runs at workers.

    Attributes
    ----------
    table : RouteTable
        What is in force.
    """

    __slots__ = (
        "_budgets",
        "_calls",
        "_choice",
        "_engine_times",
        "_failure_domain",
        "_finishing",
        "_guard",
        "_journal",
        "_router",
        "_stop",
        "_workers",
        "table",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        workers: WorkerTable,
        router: ChainRouter,
        choice: WorkerChoice,
        calls: TargetCalls,
        budgets: RepeatBudgets,
        journal: Journal,
        stop: PlannedStop,
        guard: CrashGuard,
    ) -> None:
        self._guard = guard
        self._failure_domain = failure_domain
        self._workers = workers
        self._router = router
        self._engine_times = EngineTimes()
        self._finishing: set[asyncio.Task[Outcome]] = set()
        self._choice = choice
        self._calls = calls
        self._budgets = budgets
        self._journal = journal
        self._stop = stop
        self.table = RouteTable()

    def activate(self, table: RouteTable) -> None:
        """Serve by `table` from now on; requests under way keep theirs."""
        self.table = table

    async def serve(self, request: CallerRequest, sink: CallerSink) -> Outcome:
        """Serve `request`; return how it ended.

        What is returned besides `Answered` has not been written to the sink.
        """
        table = self.table
        route = table.match(request.host, request.path)
        delivery = Delivery()
        notes = RequestLog(
            journal=self._journal, request=request, table=table, route=route
        )
        try:
            outcome = await self._serve(request, table, route, delivery, sink)
        except asyncio.CancelledError:
            notes.record_undelivered(delivery, self._stop)
            raise
        notes.record_outcome(outcome)
        return outcome

    async def _serve(
        self,
        request: CallerRequest,
        table: RouteTable,
        route: Route | None,
        delivery: Delivery,
        sink: CallerSink,
    ) -> Outcome:
        if not table.version:
            return Refused(
                reason=Reason.NO_CONFIGURATION, retry_after_s=UNKNOWN_RETRY_S
            )
        if route is None:
            return Refused(reason=Reason.NO_ENTRY)
        if not self._stop.accepts(route):
            return Refused(reason=Reason.STOPPING, retry_after_s=ELSEWHERE_S)
        account = self._account(table, route, request)
        if account is None:
            return Refused(reason=Reason.UNAUTHORISED)
        deadline_s = min(request.deadline_s, request.received_s + route.timeout_s)
        if deadline_s <= time.monotonic():
            return Refused(reason=Reason.DEADLINE_PASSED)
        job = Job(
            request=request,
            route=route,
            account=account,
            service=_pick_service(route),
            services=table.services,
            deadline_s=deadline_s,
            fingerprint=fingerprint_of(request, account.name),
        )
        refusal = self._guard.refusal_of_any(job.fingerprints())
        if refusal is not None:
            return refusal
        try:
            async with self._stop.answer_deadline(delivery, deadline_s + LAST_S):
                return await self._run(job, delivery, sink)
        except AnswerDueError as due:
            is_stop = due.reason is Reason.STOPPING
            retry_after_s = ELSEWHERE_S if is_stop else UNKNOWN_RETRY_S
            return delivery.failure_outcome(due.reason, retry_after_s=retry_after_s)

    async def _run(self, job: Job, delivery: Delivery, sink: CallerSink) -> Outcome:
        now_s = time.monotonic()
        self._budgets.for_service(job.service).earn(now_s)
        for stage in {stage.service for stage in job.route.stages}:
            self._budgets.for_service(stage).earn(now_s)
        engine_s = self._engine_times.expected_s(job.route.name)
        work = ChainWork(
            request_id=job.request.request_id,
            route=job.route.name,
            stages=job.route.stages,
            n_pieces=_pieces(job.request, job.route),
            piece_key=job.request.piece_key,
            due_s=job.request.received_s + job.route.target_latency_s - engine_s,
            # One that would be made too late to be sent, or for a caller to wait for
            # its first event, is refused now.
            deadline_s=min(self._made_by_s(job, engine_s), self._stop.send_until_s),
            preferred_domain=self._near(job),
            priority=job.priority,
            fingerprint=job.fingerprint,
        )
        async with running_chain(self._router, work) as chain:
            match await chain.run():
                case ChainMoved():
                    return Refused(
                        reason=Reason.PEER_SILENT, retry_after_s=UNKNOWN_RETRY_S
                    )
                case ChainFailed() as failed:
                    return Refused(
                        reason=failed.reason,
                        retry_after_s=failed.retry_after_s or UNKNOWN_RETRY_S,
                    )
                case ChainCompleted(failure_domain=domain) as made:
                    inputs = ChainInputs(
                        chain=chain,
                        made=made,
                        on_first_read=functools.partial(
                            self._engine_times.learn, job.route.name
                        ),
                    )
                    attempts = Attempts(
                        job=job,
                        inputs=inputs,
                        need=Need(
                            prompt=job.request.prompt,
                            input_bytes=work.input_bytes(),
                            input_domain=domain,
                        ),
                        workers=self._workers,
                        choice=self._choice,
                        calls=self._calls,
                        budget=self._budgets.for_service(job.service),
                        journal=self._journal,
                        delivery=delivery,
                        guard=self._guard,
                    )
                    if job.must_finish:
                        return await self._finish(attempts, sink)
                    return await attempts.run(sink)

    @staticmethod
    def _made_by_s(job: Job, engine_s: float) -> float:
        """Return until when a request's stages must be made to be of any use."""
        return min(job.deadline_s, job.begins_by_s - engine_s)

    async def _finish(self, attempts: Attempts, sink: CallerSink) -> Outcome:
        """Let a worker finish what may not run twice, if its caller leaves.

        Broken off, it would be half done for all that anybody knows, and its
        worker's time lost. Nothing is sent to another worker any more.
        """
        running = asyncio.create_task(attempts.run(sink))
        self._finishing.add(running)
        running.add_done_callback(self._finished)
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            attempts.stop_retrying()
            raise

    def _finished(self, running: "asyncio.Task[Outcome]") -> None:
        self._finishing.discard(running)
        if not running.cancelled() and running.exception() is not None:
            # Its answer found no caller. Whoever waits sees the exception too.
            logging.debug("an answer was not delivered: %r", running.exception())

    def _near(self, job: Job) -> str:
        """Return the failure domain in which a request's stages should be made.

        It is that of the engine which the request will most probably run on:
        what its stages make is read there, and sessions are spread over the
        engines more evenly than callers are over the failure domains.
        """
        need = Need(prompt=job.request.prompt)
        worker = self._choice.choose(job.worker_service(), need, without=NOBODY)
        return self._failure_domain if worker is None else worker.failure_domain

    def _account(
        self, table: RouteTable, route: Route, request: CallerRequest
    ) -> Account | None:
        """Return whose request it is; None if its key is not valid."""
        if not table.has_accounts:
            return NO_ACCOUNT
        account = table.account_of_key.get(request.key)
        if account is None and route.is_public:
            return NO_ACCOUNT
        return account


def _pieces(request: CallerRequest, route: Route) -> tuple[int, ...]:
    """Return how many pieces each stage has; one where the caller tells none."""
    given = request.n_pieces[: len(route.stages)]
    return given + (1,) * (len(route.stages) - len(given))


def _pick_service(route: Route) -> str:
    """Return the service that runs the request, drawn by the published weights."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights=weights)[0].service
