"""One attempt of a stage, or two concurrent ones of which one answer is used."""

import asyncio
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from ...protocol.errors import Failed, NotRun
from ...state.journal import Journal
from ..claims.request_usage import RequestUsage
from ..targets.stage_work import Sink, StageAnswer, StageFault, StageWork
from .open_attempts import OpenAttempts
from .routing import Router
from .stage_call import StageCall
from .target_view import TargetView

Outcome = Result[StageAnswer, StageFault]
MakeCall = Callable[[], "TrackedAttempt | None"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallContext:
    """Dependencies shared by all attempts of one stage.

    Parameters
    ----------
    attempts, journal, router
        Those of this gateway.
    spent : RequestUsage
        Account of what the request has used.
    sink : Sink, optional
        Takes the answer as it arrives.
    may_give_up : callable
        As for `StageCall`.
    """

    attempts: OpenAttempts
    journal: Journal
    router: Router
    spent: RequestUsage
    sink: Sink | None
    may_give_up: Callable[[], bool]


class TrackedAttempt:
    """One attempt whose cost and duration are accounted for.

    Parameters
    ----------
    work : StageWork
        The work to run.
    view : TargetView
        The target to run it at.
    context : CallContext
        Dependencies of the stage's attempts.
    may_commit : callable, optional
        As for `StageCall`.
    """

    __slots__ = ("_context", "_stage_call", "view", "work")

    def __init__(
        self,
        *,
        work: StageWork,
        view: TargetView,
        context: CallContext,
        may_commit: Callable[[StageCall], bool] | None = None,
    ) -> None:
        self.work = work
        self.view = view
        self._context = context
        self._stage_call = StageCall(
            work=work,
            view=view,
            attempts=context.attempts,
            journal=context.journal,
            sink=context.sink,
            may_give_up=context.may_give_up,
            may_commit=may_commit,
        )

    def owns(self, stage_call: StageCall) -> bool:
        """Return True if `stage_call` belongs to this attempt."""
        return self._stage_call is stage_call

    def supersede(self) -> None:
        """End the attempt because a concurrent one has the answer."""
        self._stage_call.supersede()

    async def run(self) -> Outcome:
        """Run the attempt and account for its cost and duration."""
        begin_s = time.monotonic()
        spent = self._context.spent
        spent.begin(self.work)
        try:
            outcome = await self._stage_call.run()
        except BaseException:
            spent.end(self.work, has_started=self._stage_call.may_have_started)
            self._learn_unanswered(time.monotonic() - begin_s)
            raise
        self._account(outcome, time.monotonic() - begin_s)
        return outcome

    def _account(self, outcome: Outcome, took_s: float) -> None:
        spent = self._context.spent
        match outcome:
            case Ok(answer):
                spent.end(self.work, has_started=True, cost_s=answer.cost_s)
                spent.n_tokens += answer.n_tokens
                self._context.router.learn(
                    self.work, self.view, measured_s=answer.service_s
                )
            case Err(StageFault(error=NotRun())):
                spent.end(self.work, has_started=False)
            case Err(StageFault(error=error)):
                cost_s = error.cost_s if isinstance(error, Failed) else 0.0
                spent.end(self.work, has_started=True, cost_s=cost_s)
                self._learn_unanswered(took_s)

    def _learn_unanswered(self, took_s: float) -> None:
        """Count a call without an answer against its target if the call was slow."""
        if took_s > self.work.expected_s:
            self._context.router.learn(self.work, self.view, measured_s=took_s)


async def run_hedged(
    first: TrackedAttempt, *, delay_s: float, second: MakeCall
) -> Outcome:
    """Run `first`; after `delay_s` without an answer run a second concurrently.

    The first complete answer is used and the other attempt is cancelled, so this
    is for idempotent work only. Nearly all calls end before the delay; they cost
    one timer and no additional task.
    """
    others: list[asyncio.Future[Outcome]] = []

    def on_end(other: asyncio.Future[Outcome]) -> None:
        if not other.cancelled() and not other.exception() and other.result().is_ok():
            first.supersede()

    def begin() -> None:
        call = second()
        if call is not None:
            other = asyncio.ensure_future(call.run())
            other.add_done_callback(on_end)
            others.append(other)

    timer = asyncio.get_running_loop().call_later(delay_s, begin)
    try:
        outcome = await first.run()
        timer.cancel()
        if others and outcome.is_err():
            return _worse_or_ok(outcome, await _race(others))
        return outcome
    finally:
        timer.cancel()
        await _cancel(others)


async def run_late_bound(
    work: StageWork, views: list[TargetView], context: CallContext
) -> Outcome:
    """Reserve a slot at each of `views`; the first that is ready gets the work.

    Nothing is committed before that, so the queue that is in fact shorter gets
    the work, whatever the load reports stated. Only one slot is ever committed,
    so late binding is also safe for work that must run at most once.
    """
    tasks: list[asyncio.Future[Outcome]] = []
    committed: list[StageCall] = []

    def may_commit(call: StageCall) -> bool:
        if committed:
            return False
        committed.append(call)
        for task, other in zip(tasks, calls, strict=True):
            if not other.owns(call):
                task.cancel()
        return True

    calls = [
        TrackedAttempt(work=work, view=view, context=context, may_commit=may_commit)
        for view in views
    ]
    tasks += [asyncio.ensure_future(call.run()) for call in calls]
    return await _race(tasks)


async def _race(tasks: Iterable[asyncio.Future[Outcome]]) -> Outcome:
    """Return the first answer, or the most severe fault; cancel the rest."""
    pending = set(tasks)
    fault: Outcome | None = None
    try:
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.cancelled():
                    continue
                outcome = task.result()
                if outcome.is_ok():
                    return outcome
                fault = _worse(fault, outcome)
    finally:
        await _cancel(pending)
    if fault is None:
        raise asyncio.CancelledError
    return fault


def _worse_or_ok(one: Outcome, other: Outcome) -> Outcome:
    return other if other.is_ok() else _worse(one, other)


def _worse(one: Outcome | None, other: Outcome) -> Outcome:
    """Return the fault according to which more work may have run."""
    match one:
        case None | Err(StageFault(error=NotRun())):
            return other
        case _:
            return one


async def _cancel(tasks: Collection[asyncio.Future[Outcome]]) -> None:
    if not tasks:
        return
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
