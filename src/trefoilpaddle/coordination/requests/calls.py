"""One or two attempts of a stage side by side, of which one answer counts."""

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
MakeCall = Callable[[], "Call | None"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallParts:
    """What every attempt of one stage needs.

    Parameters
    ----------
    attempts, journal, router
        Of this gateway.
    spent : RequestUsage
        Of the request.
    sink : Sink, optional
        Takes the answer as it comes.
    """

    attempts: OpenAttempts
    journal: Journal
    router: Router
    spent: RequestUsage
    sink: Sink | None


class Call:
    """One attempt, accounted for.

    Parameters
    ----------
    work : StageWork
        What to do.
    view : TargetView
        Where.
    parts : CallParts
        What it needs.
    may_go : callable, optional
        As for `StageCall`.
    """

    __slots__ = ("_parts", "_stage_call", "view", "work")

    def __init__(
        self,
        *,
        work: StageWork,
        view: TargetView,
        parts: CallParts,
        may_go: Callable[[StageCall], bool] | None = None,
    ) -> None:
        self.work = work
        self.view = view
        self._parts = parts
        self._stage_call = StageCall(
            work=work,
            view=view,
            attempts=parts.attempts,
            journal=parts.journal,
            sink=parts.sink,
            may_go=may_go,
        )

    def is_of(self, stage_call: StageCall) -> bool:
        """Return True if `stage_call` is this attempt's."""
        return self._stage_call is stage_call

    def supersede(self) -> None:
        """End the attempt because another one beside it has the answer."""
        self._stage_call.supersede()

    async def run(self) -> Outcome:
        """Run the attempt; account for what it spent and how long it took."""
        begin_s = time.monotonic()
        spent = self._parts.spent
        spent.begin(self.work)
        try:
            outcome = await self._stage_call.run()
        except BaseException:
            spent.end(self.work, has_started=self._stage_call.may_have_started)
            self._learn_lost(time.monotonic() - begin_s)
            raise
        self._settle(outcome, time.monotonic() - begin_s)
        return outcome

    def _settle(self, outcome: Outcome, took_s: float) -> None:
        spent = self._parts.spent
        match outcome:
            case Ok(answer):
                spent.end(self.work, has_started=True, cost_s=answer.cost_s)
                spent.n_tokens += answer.n_tokens
                self._parts.router.learn(
                    self.work, self.view, measured_s=answer.service_s
                )
            case Err(StageFault(error=NotRun())):
                spent.end(self.work, has_started=False)
            case Err(StageFault(error=error)):
                cost_s = error.cost_s if isinstance(error, Failed) else 0.0
                spent.end(self.work, has_started=True, cost_s=cost_s)
                self._learn_lost(took_s)

    def _learn_lost(self, took_s: float) -> None:
        """Let a call that gave nothing speak against its target if it was slow."""
        if took_s > self.work.expected_s:
            self._parts.router.learn(self.work, self.view, measured_s=took_s)


async def hedged(first: Call, *, delay_s: float, second: MakeCall) -> Outcome:
    """Run `first`; after `delay_s` without an answer run a second beside it.

    The first whole answer counts and the other attempt is cancelled, so this is
    for idempotent work only. Nearly all calls end before the delay and cost a
    timer, no task of their own.
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


async def late_bound(
    work: StageWork, views: list[TargetView], parts: CallParts
) -> Outcome:
    """Reserve a place at each of `views`; the first that is ready gets the work.

    Nothing is committed before that, so the queue that really is shorter wins,
    whatever the load reports said. Only one place is ever let go, so work that
    must run once may be bound so too.
    """
    tasks: list[asyncio.Future[Outcome]] = []
    gone: list[StageCall] = []

    def may_go(call: StageCall) -> bool:
        if gone:
            return False
        gone.append(call)
        for task, other in zip(tasks, calls, strict=True):
            if not other.is_of(call):
                task.cancel()
        return True

    calls = [Call(work=work, view=view, parts=parts, may_go=may_go) for view in views]
    tasks += [asyncio.ensure_future(call.run()) for call in calls]
    return await _race(tasks)


async def _race(tasks: Iterable[asyncio.Future[Outcome]]) -> Outcome:
    """Return the first answer, or the last fault; cancel the rest."""
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
    """Return the fault that says more may have run."""
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
