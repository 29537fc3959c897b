"""The scheduler of a cell: lets chains of stages in and has them made.

Whether a chain can be on time depends on every queue that it passes and on what
others were reserved there. One scheduler a cell knows both exactly, so it alone
lets chains in, and calls the cell's stage workers. Gateways that each planned
for themselves would promise the same places twice.
"""

import asyncio
import time
from dataclasses import replace
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
)
from ...state.chain.refused_chains import RefusedChains
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.tolerable_waits import TolerableWaits
from ...state.journal import Decision, Event, Figure, Journal
from .admission import Reservations, admission_limit_s, forecast_s, unloaded_duration_s
from .cell_dispatch import CellDispatch
from .chain_execution import ChainExecution
from .overdue_queue import OverdueQueue

HANDED_S: Final = 3.0
"""Chains that come within this after a handover are told where the cell went.

Gateways hear of it in a tenth of that. Who asks later means this gateway again.
"""

KEEP_EXECUTIONS_S: Final = 30.0
"""A chain that nobody has freed by then is forgotten; its results ran out long ago."""

OVERDUE_WAIT_SHARE: Final = 0.2
"""Part of its time to wait up to which a chain that is late is let in.

Less than the least urgent chain on time may use up, so that it yields to all.
"""

ALL_PRIORITIES: Final = 1 << 30
"""Less urgent than any, so that every route counts as more urgent."""

MAX_LATE_WAIT_S: Final = 1.0
"""Wait that is taken as bearable where no other route has come lately."""

A_LITTLE_LATE_S: Final = 0.05
"""How much later than due a chain may be forecast and still be let in.

Forecasts err by more, so some of these are on time. With much more, queues are as
long as can be borne at all times, and many urgent chains are late.
"""


class ChainScheduler:
    """Admits chains and runs them through their stages.

    Parameters
    ----------
    dispatch : CellDispatch
        Queues of the cell's stage workers.
    budgets : RepeatBudgets
        Asked before a piece is made again.
    journal : Journal
        Takes decisions.

    Attributes
    ----------
    began_s : float
        Monotonic time from which this gateway schedules the cell.
    successor : str
        Gateway that schedules the cell now; empty while this one does.
    """

    __slots__ = (
        "_budgets",
        "_executions",
        "_handed_s",
        "_journal",
        "_overdue",
        "_refused",
        "_reservations",
        "_waits",
        "began_s",
        "dispatch",
        "successor",
    )

    def __init__(
        self, *, dispatch: CellDispatch, budgets: RepeatBudgets, journal: Journal
    ) -> None:
        self._budgets = budgets
        self._journal = journal
        self._reservations = Reservations()
        self._refused = RefusedChains()
        self._waits = TolerableWaits()
        self._overdue = OverdueQueue(
            has_capacity=self._has_capacity_for_late,
            least_s=lambda work: unloaded_duration_s(work, self.dispatch),
        )
        self._executions: dict[str, ChainExecution] = {}
        self._handed_s = 0.0
        self.dispatch = dispatch
        self.began_s = time.monotonic()
        self.successor = ""

    async def run(self, work: ChainWork) -> ChainOutcome:
        """Make all stages of `work`, or refuse it before any is begun.

        One that would be late is refused at once when it comes first. One that
        was refused before and has long left waits for the load to pass. Results
        are kept until `free`.
        """
        if self.successor:
            return ChainMoved(
                successor=self.successor, completed_pieces=work.completed_pieces
            )
        refusal = await self._refusal(work)
        if refusal is not None:
            return refusal
        end = await self._execute(work)
        if isinstance(end, ChainMoved):
            return replace(end, successor=self.successor)
        return end

    def hand_over(self, successor: str) -> None:
        """Give up what waits: another gateway schedules the cell from now on.

        Calls that were sent still end, and their results go along.
        """
        self.successor = successor
        self._handed_s = time.monotonic()
        self._overdue.release_all()
        self.dispatch.redirect_pieces()

    def is_superseded(self) -> bool:
        """Return True if another gateway has long scheduled the cell."""
        is_old = time.monotonic() - self._handed_s > HANDED_S
        return bool(self.successor) and is_old

    async def _refusal(self, work: ChainWork) -> ChainFailed | ChainMoved | None:
        """Return why a chain is not begun; None, at once or in time, if it is."""
        now_s = time.monotonic()
        first_due_s = self._refused.first_due_s(work.piece_key, now_s)
        finish_s = forecast_s(work, self.dispatch, self._reservations)
        limit_s = self._limit_s(work, first_due_s, now_s)
        detail = "" if first_due_s is None else "came back"
        if finish_s is None:
            self._note(Event.REFUSED, Reason.NO_TARGET, work, 0.0, limit_s, detail)
            return ChainFailed(reason=Reason.NO_TARGET, is_begun=False)
        if self._is_hopeless(work, now_s):
            reason = Reason.PREDICTED_LATE
            self._note(Event.REFUSED, reason, work, finish_s, limit_s, "too late")
            return ChainFailed(reason=reason, is_begun=False, finish_s=finish_s)
        is_late = work.must_be_on_time and finish_s > limit_s
        if is_late and first_due_s is not None and self._overdue.may_wait(work):
            self._note(Event.QUEUED, Reason.NONE, work, finish_s, limit_s, detail)
            is_late = not await self._overdue.wait(work)
            if self.successor:
                return ChainMoved(successor=self.successor)
            detail = f"waited {time.monotonic() - now_s:.1f} s"
        if not is_late:
            event = Event.REQUEST_ACCEPTED
            self._note(event, Reason.NONE, work, finish_s, limit_s, detail)
            return None
        now_s = time.monotonic()
        self._refused.record(work.piece_key, work.due_s, now_s)
        reason = Reason.PREDICTED_LATE
        self._note(Event.REFUSED, reason, work, finish_s, limit_s, detail)
        return ChainFailed(
            reason=reason,
            is_begun=False,
            finish_s=finish_s,
            retry_after_s=self._refused.retry_after_s(now_s),
        )

    def _is_hopeless(self, work: ChainWork, now_s: float) -> bool:
        """Return True if nothing that is done for a chain can be of use any more.

        Not of one of which the scheduler before has made a part.
        """
        left_s = work.deadline_s - now_s
        return (
            not work.completed_pieces
            and unloaded_duration_s(work, self.dispatch) > left_s
        )

    async def _execute(self, work: ChainWork) -> ChainOutcome:
        execution = ChainExecution(
            work=work,
            dispatch=self.dispatch,
            budgets=self._budgets,
            reservations=self._reservations,
            journal=self._journal,
        )
        self._executions[work.request_id] = execution
        is_made = False
        try:
            end = await execution.run()
            is_made = isinstance(end, ChainCompleted)
            return end
        finally:
            if is_made:
                loop = asyncio.get_running_loop()
                loop.call_later(KEEP_EXECUTIONS_S, self.free, work.request_id)
            else:
                self.free(work.request_id)

    def free(self, request_id: str) -> None:
        """Free the results of a chain: its request has read them, or ended."""
        execution = self._executions.pop(request_id, None)
        if execution is not None:
            execution.free_all()

    def _has_capacity_for_late(self, work: ChainWork) -> bool:
        """Return True if a chain that is late delays none that can be on time."""
        now_s = time.monotonic()
        finish_s = forecast_s(work, self.dispatch, self._reservations)
        services = frozenset(plan.service for plan in work.stages)
        wait_s = self._waits.min_of_more_urgent_s(ALL_PRIORITIES, services, now_s)
        limit_s = unloaded_duration_s(work, self.dispatch) + OVERDUE_WAIT_SHARE * min(
            wait_s, MAX_LATE_WAIT_S
        )
        return finish_s is not None and finish_s <= limit_s

    def _limit_s(
        self, work: ChainWork, first_due_s: float | None, now_s: float
    ) -> float:
        """Return the forecast up to which a chain is let in now.

        One that was refused before was due earlier than it says. If it cannot
        be done by then, it is late whatever is done: it is let in where little
        waits, and takes no place from one that can be on time.
        """
        unhindered_s = unloaded_duration_s(work, self.dispatch)
        left_s = work.due_s - now_s
        services = frozenset(plan.service for plan in work.stages)
        urgent_wait_s = self._waits.min_of_more_urgent_s(work.priority, services, now_s)
        limit_s = admission_limit_s(work, left_s, unhindered_s, urgent_wait_s)
        if first_due_s is None:
            self._waits.record(
                work.route,
                priority=work.priority,
                services=services,
                wait_s=max(0.0, left_s - unhindered_s),
                now_s=now_s,
            )
        if first_due_s is None:
            return limit_s + A_LITTLE_LATE_S
        spare_s = OVERDUE_WAIT_SHARE * max(0.0, work.due_s - now_s - unhindered_s)
        return max(first_due_s - now_s, unhindered_s + spare_s)

    def _note(
        self,
        event: Event,
        reason: Reason,
        work: ChainWork,
        finish_s: float,
        limit_s: float,
        detail: str,
    ) -> None:
        self._journal.record(
            Decision(
                event=event,
                request_id=work.request_id,
                entry=work.route,
                reason=reason,
                detail=detail,
                figures=(
                    Figure(name="predicted_s", value=finish_s),
                    Figure(name="budget_s", value=limit_s),
                    Figure(name="n_reserved", value=self._reservations.n_pieces()),
                ),
            )
        )
