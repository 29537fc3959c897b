"""Serves a request from its route and account through its stages to its answer."""

import asyncio
import functools
import itertools
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Final

from absl import logging

from ...protocol.reasons import Reason
from ...state.chain.account_shares import account_key, account_weight
from ...state.chain.answer_durations import AnswerDurations
from ...state.chain.caller_waits import CallerWaits
from ...state.chain.chain_work import ChainCompleted, ChainFailed, ChainMoved, ChainWork
from ...state.chain.delivery import Delivery, Step
from ...state.chain.engine_times import EngineTimes
from ...state.chain.fingerprint import fingerprint_of, shared_parts
from ...state.chain.former_lives import FormerLives
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.requests import Answered, CallerRequest, Outcome, Refused
from ...state.chain.route_changes import RouteChanges
from ...state.chain.routes import Account, Route, RouteTable
from ...state.chain.served_versions import VIEW_LAG_S
from ...state.chain.stream_copies import StreamCopies
from ...state.chain.stream_versions import KEY_BYTES, stream_key
from ...state.chain.version_splits import POSITION_BYTES
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from .answer_deadline import AnswerDueError
from .attempts import Attempts
from .caller_sink import CallerSink
from .catch_up import CatchUp
from .chain_inputs import ChainInputs
from .chain_router import ChainRouter
from .crash_guard import CrashGuard
from .job import Job
from .planned_stop import PlannedStop
from .request_log import RequestLog
from .running_chain import running_chain
from .send_limits import SendLimits
from .service_lease import HoldSlot, unlimited_slot
from .stream_backup import StreamBackup
from .stream_origins import KnownOrigin, StreamOrigins, UnknownOrigin
from .target_calls import TargetCalls
from .view_lease import ViewLease
from .worker_choice import Need, WorkerChoice

NO_ACCOUNT: Final = Account(name="")
"""Account of callers of a public route without a valid key."""

NO_WORKERS: Final[frozenset[str]] = frozenset()
"""Empty set of excluded workers."""

ANSWER_GRACE_S: Final = 0.1
"""Seconds after its deadline at which a request is answered in any case.

Each wait ends at the deadline by itself and reports the reason; this limit covers a
wait that does not.
"""

DEFAULT_RETRY_S: Final = 0.5
"""Retry-After in seconds of a gateway without a configuration or a scheduler.

A gateway that starts has a configuration within a second.
"""


STREAM_LIFE_TIMEOUTS: Final = 2.0
"""Longest life of a stream over all of its caller's tries, in timeouts of its route."""

MIN_STREAM_AGE_S: Final = 15.0
"""Age in seconds that any resumed stream may have: callers pause between tries."""

ORIGIN_RETRY_S: Final = 1.0
"""Retry-After in seconds if no gateway knows the version that began a stream.

A gateway that does may only be starting, or not be listed yet.
"""

VERSION_GONE_RETRY_S: Final = 1.0
"""Retry-After in seconds if no worker runs the version that began a stream.

A worker that has crashed is back within seconds.
"""


class RequestPath:
    """Serves requests by the active route table and the listed workers.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this gateway.
    workers : WorkerTable
        The listed workers.
    router : ChainRouter
        Runs the stages of requests.
    choice : WorkerChoice
        Chooses workers for requests.
    calls : TargetCalls
        Client that calls workers.
    budgets : RepeatBudgets
        Limit how many calls are sent again.
    journal : Journal
        Receives decisions.
    stop : PlannedStop
        Decides which requests are still accepted.
    guard : CrashGuard
        Watches runs at workers.
    catch_up : CatchUp
        Brings what other gateways know after the start.
    send_limits : SendLimits
        Limits what is sent to workers that bear few requests.
    origins : StreamOrigins
        Knows which software versions began streams.
    hold_slot : callable
        Returns the context in which a request holds a slot of its service.
    has_shares : bool
        True if schedulers should know the accounts of chains.
    copies : StreamCopies or None
        Decides which streams get copies at second workers; None if none does.

    Attributes
    ----------
    table : RouteTable
        The active route table.
    """

    __slots__ = (
        "_answer_durations",
        "_budgets",
        "_caller_waits",
        "_calls",
        "_catch_up",
        "_choice",
        "_copies",
        "_deliveries",
        "_engine_times",
        "_failure_domain",
        "_finishing",
        "_former_lives",
        "_guard",
        "_has_shares",
        "_hold_slot",
        "_journal",
        "_origins",
        "_route_changes",
        "_router",
        "_send_limits",
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
        catch_up: CatchUp,
        send_limits: SendLimits,
        origins: StreamOrigins,
        hold_slot: HoldSlot = unlimited_slot,
        has_shares: bool = False,
        copies: StreamCopies | None = None,
    ) -> None:
        self._copies = copies
        self._hold_slot = hold_slot
        self._has_shares = has_shares
        self._origins = origins
        self._send_limits = send_limits
        self._guard = guard
        self._catch_up = catch_up
        self._failure_domain = failure_domain
        self._workers = workers
        self._router = router
        self._answer_durations = AnswerDurations()
        self._engine_times = EngineTimes()
        self._caller_waits = CallerWaits()
        self._former_lives = FormerLives()
        self._route_changes = RouteChanges()
        self._deliveries: dict[int, Delivery] = {}
        self._finishing: set[asyncio.Task[Outcome]] = set()
        self._choice = choice
        self._calls = calls
        self._budgets = budgets
        self._journal = journal
        self._stop = stop
        guard.on_blocked = stop.refresh
        self.table = RouteTable()

    def activate(self, table: RouteTable) -> None:
        """Use `table` for new requests; running requests keep their table."""
        self._route_changes.activate(self.table, table)
        for service, life_s in _shortened_lives_s(self.table, table):
            self._former_lives.learn(service, life_s)
        self.table = table

    async def serve(self, request: CallerRequest, sink: CallerSink) -> Outcome:
        """Serve `request` and return its outcome.

        An outcome other than `Answered` has not been written to the sink.
        """
        table = self.table
        route = table.match(request.host, request.path)
        delivery = Delivery()
        log = RequestLog(
            journal=self._journal, request=request, table=table, route=route
        )
        self._deliveries[id(request)] = delivery
        try:
            outcome = await self._serve(request, table, route, delivery, sink)
        except (asyncio.CancelledError, ConnectionError):
            # The caller's connection has ended, or its answer could not be written.
            log.record_undelivered(delivery, self._stop)
            raise
        finally:
            delivery.close()
            del self._deliveries[id(request)]
        log.record_outcome(outcome, delivery)
        if route is not None and isinstance(outcome, Answered):
            took_s = time.monotonic() - request.received_s
            self._answer_durations.learn(route.name, took_s)
        return outcome

    def waiting_for(self, request: CallerRequest) -> str:
        """Return what an open request waits for, as a text for the log."""
        delivery = self._deliveries.get(id(request))
        return "nothing any more" if delivery is None else delivery.waiting_for()

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
                reason=Reason.NO_CONFIGURATION, retry_after_s=DEFAULT_RETRY_S
            )
        if route is None:
            return Refused(reason=Reason.NO_ENTRY)
        likely_s = 0.0
        if self._stop.is_ordered:
            likely_s = self._answer_durations.likely_s(route.name)
        if not self._stop.accepts(route, likely_s=likely_s):
            return Refused(
                reason=Reason.STOPPING,
                retry_after_s=self._stop.serves_elsewhere_in_s(),
            )
        account = self._account(table, route, request)
        if account is None:
            return Refused(reason=Reason.UNAUTHORISED)
        if request.after_event is None:
            wait_s = request.deadline_s - request.received_s
            self._caller_waits.learn(route.name, wait_s)
        deadline_s = min(request.deadline_s, request.received_s + route.timeout_s)
        if deadline_s <= time.monotonic():
            return Refused(reason=Reason.DEADLINE_PASSED)
        job = Job(
            request=request,
            route=route,
            account=account,
            service=_pick_service(route, request),
            services=table.services,
            deadline_s=deadline_s,
            fingerprint=fingerprint_of(request, account.name),
            parts=shared_parts(request.prompt),
        )
        refusal = self._guard.refusal_of_any(job.fingerprints(), job.parts)
        if refusal is not None:
            return refusal
        try:
            async with self._stop.answer_deadline(
                delivery,
                deadline_s + ANSWER_GRACE_S,
                is_blocked=lambda: self._guard.is_blocked(job.fingerprint, job.parts),
            ):
                return await self._run(job, delivery, sink)
        except AnswerDueError as due:
            if due.reason is Reason.CRASHES_WORKERS:
                refusal = self._guard.refusal(job.fingerprint, job.parts)
                detail = "" if refusal is None else refusal.detail
                return delivery.failure_outcome(
                    due.reason, retry_after_s=0.0, detail=detail
                )
            retry_after_s = DEFAULT_RETRY_S
            if due.reason is Reason.STOPPING:
                retry_after_s = self._stop.serves_elsewhere_in_s()
            return delivery.failure_outcome(
                due.reason,
                retry_after_s=retry_after_s,
                detail=f"waited for {delivery.waiting_for()}",
            )

    async def _run(self, job: Job, delivery: Delivery, sink: CallerSink) -> Outcome:
        if not self._catch_up.is_over:
            await self._catch_up.wait()
            refusal = self._guard.refusal_of_any(job.fingerprints(), job.parts)
            if refusal is not None:
                return refusal
        match await self._find_origin(job):
            case Refused() as refused:
                return refused
            case origin:
                lease = self._lease_of(job)
                if lease is not None:
                    await lease.wait_confirmed()
                    refusal = lease.refusal()
                    if refusal is not None:
                        return refusal
                job = self._at_service_of(job, origin)
                return await self._run_at(job, origin, delivery, sink)

    def _at_service_of(self, job: Job, origin: KnownOrigin | None) -> Job:
        """Return the job at a service of its route that runs a stream's version."""
        if origin is None:
            return job
        version = origin.software_version
        services = [job.service, *(split.service for split in job.route.splits)]
        for service in services:
            if self._workers.has_version(service, version):
                return replace(job, service=service)
        return job

    async def _find_origin(self, job: Job) -> KnownOrigin | Refused | None:
        """Return the origin of a stream, at whose version it must go on.

        None if the request takes no stream up. A stream is not sent to a version that
        may not have begun it, and not held back until one serves again.
        """
        request = job.request
        if request.after_event is None or not job.route.is_resumable:
            return None
        age_s = self._stream_age_s(job)
        match await self._origins.find(
            request.resumes,
            job.service,
            life_s=age_s,
            may_infer=self._route_changes.is_unchanged(job.route, age_s),
        ):
            case UnknownOrigin(is_final=is_final, detail=detail):
                return Refused(
                    reason=Reason.ORIGIN_UNKNOWN,
                    retry_after_s=ORIGIN_RETRY_S if is_final else DEFAULT_RETRY_S,
                    detail=detail,
                )
            case KnownOrigin(software_version=version) as known:
                services = (job.service, *(s.service for s in job.route.splits))
                if any(self._workers.has_version(s, version) for s in services):
                    return known
                return Refused(
                    reason=Reason.VERSION_GONE, retry_after_s=VERSION_GONE_RETRY_S
                )

    def _stream_age_s(self, job: Job) -> float:
        """Return the longest time since the caller of a resumed stream began it.

        A caller that states less than the timeout of its route states what is left of
        the time for which it waits. A stream that began under an earlier table may be
        older than this route allows.
        """
        request, route = job.request, job.route
        former_s = self._former_lives.longest_s(job.service)
        if former_s > _stream_life_s(route):
            return former_s
        left_s = request.deadline_s - request.received_s
        age_s = _stream_life_s(route)
        if 0.0 < left_s < route.timeout_s:
            wait_s = max(route.timeout_s, self._caller_waits.longest_s(route.name))
            age_s = min(age_s, wait_s - left_s)
        else:
            # It states the same time at each try; its life includes the others' lag.
            age_s -= VIEW_LAG_S
        return max(age_s, MIN_STREAM_AGE_S)

    def _record_origin(self, job: Job, worker: Worker) -> None:
        """Remember which version began a stream that may be taken up."""
        request = job.request
        if not job.route.is_resumable:
            return
        # Callers may name the attempt that began a stream, or their latest one.
        for attempt_id in {request.request_id, request.resumes} - {""}:
            self._origins.record(
                attempt_id, worker.software_version, life_s=_stream_life_s(job.route)
            )

    async def _run_at(
        self,
        job: Job,
        origin: KnownOrigin | None,
        delivery: Delivery,
        sink: CallerSink,
    ) -> Outcome:
        """Run the stages and the request; a stream that goes on, at its version."""
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
            # A chain is refused now if its stages would complete too late for the
            # request to be sent to a worker, or for its first event to arrive while
            # the caller still waits.
            deadline_s=self._complete_by_s(job, engine_s, delivery),
            preferred_domain=self._preferred_domain(job),
            priority=job.priority,
            fingerprint=job.fingerprint,
            account=account_key(job.account.name) if self._has_shares else 0,
            account_weight=account_weight(job.account.priority),
            goes_on=origin is not None,
        )
        delivery.step = Step.STAGES
        async with running_chain(self._router, work) as chain:
            match await chain.run():
                case ChainMoved():
                    return Refused(
                        reason=Reason.PEER_SILENT, retry_after_s=DEFAULT_RETRY_S
                    )
                case ChainFailed() as failed:
                    return Refused(
                        reason=failed.reason,
                        retry_after_s=failed.retry_after_s or DEFAULT_RETRY_S,
                    )
                case ChainCompleted(failure_domain=domain) as made:
                    inputs = ChainInputs(
                        chain=chain,
                        made=made,
                        on_first_read=functools.partial(
                            self._engine_times.learn, job.route.name
                        ),
                        delivery=delivery,
                        complete_by_s=lambda: self._complete_by_s(
                            job, engine_s, delivery
                        ),
                    )
                    attempts = Attempts(
                        job=job,
                        inputs=inputs,
                        need=Need(
                            prompt=job.request.prompt,
                            input_bytes=work.input_bytes(),
                            input_domain=domain,
                            software_version=None
                            if origin is None
                            else origin.software_version,
                        ),
                        workers=self._workers,
                        choice=self._choice,
                        calls=self._calls,
                        budget=self._budgets.for_service(job.service),
                        journal=self._journal,
                        delivery=delivery,
                        guard=self._guard,
                        send_limits=self._send_limits,
                        on_begin=functools.partial(self._record_origin, job),
                        assigned_version=self._assigned_version_of(job),
                        lease=self._lease_of(job),
                        origin_source="" if origin is None else origin.describe(),
                        hold_slot=self._hold_slot,
                        backup=self._backup_of(job),
                        send_until_s=lambda: self._stop.send_until_s,
                    )
                    if job.must_finish:
                        return await self._finish(attempts, delivery, sink)
                    return await attempts.run(sink)

    def _lease_of(self, job: Job) -> ViewLease | None:
        """Return by what a stream begins that may be resumed; None for others."""
        if job.request.after_event is not None or not job.route.is_resumable:
            return None
        return self._origins.lease

    def _assigned_version_of(self, job: Job) -> Callable[[], str | None]:
        """Return a function that tells at which version a request must begin.

        A stream that may be resumed begins where any gateway would look for it.
        """
        request = job.request
        if request.after_event is not None or not job.route.is_resumable:
            return _any_version
        return functools.partial(
            self._origins.served.assigned_version,
            job.service,
            stream_key(request.request_id),
        )

    def _backup_of(self, job: Job) -> StreamBackup | None:
        if self._copies is None:
            return None
        return StreamBackup(
            job=job, workers=self._workers, copies=self._copies, stop=self._stop
        )

    def _complete_by_s(self, job: Job, engine_s: float, delivery: Delivery) -> float:
        """Return the latest useful monotonic time of completion of the stages.

        The caller of a stream waits for its first event, and after that for the next.
        """
        waits_until_s = job.begins_by_s
        if delivery.last_part_s is not None:
            waits_until_s = delivery.last_part_s + job.route.event_timeout_s
        return min(job.deadline_s, waits_until_s - engine_s, self._stop.send_until_s)

    async def _finish(
        self, attempts: Attempts, delivery: Delivery, sink: CallerSink
    ) -> Outcome:
        """Let a worker finish a request that must not run twice if its caller leaves.

        Cancelled, the request would be left in an unknown state, and the worker's time
        would be wasted. It is not sent to another worker after the caller has left.
        """
        running = asyncio.create_task(attempts.run(sink))
        self._finishing.add(running)
        running.add_done_callback(self._on_finished)
        try:
            return await asyncio.shield(running)
        except asyncio.CancelledError:
            attempts.stop_retrying()
            if not delivery.is_in_progress:
                # It is at no worker, and would hold its place before other requests.
                running.cancel()
            raise

    def _on_finished(self, running: "asyncio.Task[Outcome]") -> None:
        self._finishing.discard(running)
        if not running.cancelled() and running.exception() is not None:
            # The answer could not be delivered. A task that still waits for the
            # request gets the exception as well.
            logging.debug("answer was not delivered: %r", running.exception())

    def _preferred_domain(self, job: Job) -> str:
        """Return the preferred failure domain for a request's stages.

        It is the domain of the engine that the request will most probably run on: the
        results of the stages are read there, and sessions are distributed more evenly
        over the engines than callers are over the failure domains.
        """
        need = Need(prompt=job.request.prompt)
        worker = self._choice.choose(job.worker_service(), need, without=NO_WORKERS)
        return self._failure_domain if worker is None else worker.failure_domain

    def _account(
        self, table: RouteTable, route: Route, request: CallerRequest
    ) -> Account | None:
        """Return the client account of a request; None if its key is not valid."""
        if not table.has_accounts:
            return NO_ACCOUNT
        account = table.account_of_key.get(request.key)
        if account is None and route.is_public:
            return NO_ACCOUNT
        return account


def _any_version() -> None:
    """Return no version: the request may run at all of them."""


def _pieces(request: CallerRequest, route: Route) -> tuple[int, ...]:
    """Return the number of pieces of each stage; 1 where the caller states none."""
    given = request.n_pieces[: len(route.stages)]
    return given + (1,) * (len(route.stages) - len(given))


def _stream_life_s(route: Route) -> float:
    """Return the seconds after its beginning in which a stream may be resumed."""
    return max(STREAM_LIFE_TIMEOUTS * route.timeout_s, MIN_STREAM_AGE_S)


def _shortened_lives_s(
    before: RouteTable, after: RouteTable
) -> Iterator[tuple[str, float]]:
    """Yield the services whose streams `after` allows less time, and their lives."""
    kept = {
        (route.host, route.prefix, split.service): _stream_life_s(route)
        for in_host in after.by_host.values()
        for route in in_host
        for split in route.splits
    }
    for route in (route for in_host in before.by_host.values() for route in in_host):
        for split in route.splits if route.is_resumable else ():
            life_s = _stream_life_s(route)
            if kept.get((route.host, route.prefix, split.service), 0.0) < life_s:
                yield split.service, life_s


def _pick_service(route: Route, request: CallerRequest) -> str:
    """Return a service for the request, drawn by the published weights.

    All attempts of a stream that may be resumed draw the same one.
    """
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    attempt_id = request.request_id
    if request.after_event is not None:
        attempt_id = request.resumes
    if not (route.is_resumable and attempt_id):
        return random.choices(route.splits, weights=weights)[0].service
    # Other bytes than those that the version is drawn by.
    position = int.from_bytes(stream_key(attempt_id)[POSITION_BYTES:])
    drawn = position / 2 ** (8 * (KEY_BYTES - POSITION_BYTES)) * sum(weights)
    ends = itertools.accumulate(weights)
    for split, end in zip(route.splits, ends, strict=True):
        if drawn < end:
            return split.service
    return route.splits[-1].service
