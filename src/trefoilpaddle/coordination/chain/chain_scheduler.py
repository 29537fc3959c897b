"""The scheduler of a cell: admits chains of stages and runs them.

Whether a chain can be on time depends on every queue that it passes and on the
reservations of other chains there. One scheduler per cell knows both exactly, so it
alone admits chains and calls the cell's stage workers. Gateways that planned
independently would promise the same capacity twice.
"""

import asyncio
import time
from collections import Counter
from dataclasses import replace
from functools import partial
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.account_loads import AccountLoads, ExceededShare
from ...state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
)
from ...state.chain.refused_chains import RefusedChains
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.retry_times import spread_retry_s
from ...state.chain.tolerable_waits import TolerableWaits
from ...state.chain.workers import EVACUATED_RETRY_S
from ...state.journal import Decision, Event, Figure, Journal
from .admission import Reservations, admission_limit_s, forecast_s, unloaded_duration_s
from .cell_dispatch import CellDispatch
from .chain_execution import ChainExecution
from .overdue_queue import OverdueQueue

REDIRECT_PERIOD_S: Final = 3.0
"""Seconds after a handover in which chains are redirected to the successor.

Other gateways learn of the handover in a tenth of that. A gateway that sends a chain
later regards this gateway as the scheduler again.
"""

EXECUTION_RETENTION_S: Final = 30.0
"""Seconds until a completed chain is freed here if its gateway has not freed it.

Its results have expired long before.
"""

OVERDUE_WAIT_SHARE: Final = 0.2
"""Share of its tolerable wait up to which an overdue chain is admitted.

Less than the share of the least urgent chain on time, so that it yields to all.
"""

BELOW_ALL_PRIORITIES: Final = 1 << 30
"""A priority below all others, so that every route counts as more urgent."""

MAX_TOLERABLE_WAIT_S: Final = 1.0
"""Upper limit in seconds of the wait that counts as tolerable for other routes.

It applies alone if no other route has had a chain lately.
"""

ADMITTED_LATENESS_S: Final = 0.05
"""Seconds by which a forecast may exceed the limit of a chain that is admitted.

The error of forecasts is larger, so some of these chains are on time. With a much
larger value, queues are always as long as can be tolerated, and many urgent chains
are late.
"""

BEYOND_SHARE_WAIT_SHARE: Final = 0.85
"""Part of the wait up to which a chain of an account beyond its share is admitted.

The rest is for pieces of other accounts, which go before its own. With 0.7 and less,
calls are not full enough: 0.93 of the work in the model of a large cell.
"""


class ChainScheduler:
    """Admits chains and runs them through their stages.

    Parameters
    ----------
    dispatch : CellDispatch
        Queues of the cell's stage workers.
    budgets : RepeatBudgets
        Limit how many pieces are sent again.
    journal : Journal
        Receives decisions.

    Attributes
    ----------
    dispatch : CellDispatch
        Queues of the cell's stage workers.
    began_s : float
        Monotonic time since which this gateway schedules the cell.
    successor : str
        Process id of the gateway that has taken the cell over; empty if none has.
    """

    __slots__ = (
        "_accounts",
        "_budgets",
        "_executions",
        "_handed_over_s",
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
        self._accounts = AccountLoads()
        self._budgets = budgets
        self._journal = journal
        self._reservations = Reservations()
        self._refused = RefusedChains()
        self._waits = TolerableWaits()
        self._overdue = OverdueQueue(
            has_capacity=self._has_capacity_for_overdue,
            unloaded_s=lambda work: unloaded_duration_s(work, self.dispatch),
        )
        self._executions: dict[str, ChainExecution] = {}
        self._handed_over_s = 0.0
        self.dispatch = dispatch
        self.began_s = time.monotonic()
        self.successor = ""

    async def run(self, work: ChainWork) -> ChainOutcome:
        """Run all stages of `work`, or refuse it before any stage is begun.

        A chain that would be late waits for spare capacity if its caller has the time
        for it, and is refused at once otherwise. Results are kept until `free` is
        called.
        """
        if self.successor:
            return ChainMoved(
                successor=self.successor, completed_pieces=work.completed_pieces
            )
        refusal = await self._refusal(work)
        if refusal is not None:
            return refusal
        outcome = await self._execute(work)
        if isinstance(outcome, ChainMoved):
            return replace(outcome, successor=self.successor)
        return outcome

    def hand_over(self, successor: str) -> None:
        """Redirect all waiting chains: another gateway schedules the cell from now on.

        Calls that were sent still complete, and their results are passed on.
        """
        self.successor = successor
        self._handed_over_s = time.monotonic()
        self._overdue.release_all()
        self.dispatch.redirect_pieces()

    def is_superseded(self) -> bool:
        """Return True if the cell was handed over and chains are not redirected."""
        is_redirect_over = time.monotonic() - self._handed_over_s > REDIRECT_PERIOD_S
        return bool(self.successor) and is_redirect_over

    async def _refusal(self, work: ChainWork) -> ChainFailed | ChainMoved | None:
        """Return why a chain is not begun, or None once it is admitted."""
        now_s = time.monotonic()
        first_due_s = self._refused.first_due_s(work.piece_key, now_s)
        if first_due_s is None:
            self._record_offered(work, now_s)
        exceeded = self._exceeded_share(work, now_s)
        is_beyond_share = exceeded is not None
        finish_s = forecast_s(
            work,
            self.dispatch,
            self._reservations,
            is_beyond_share=is_beyond_share,
        )
        limit_s = self._limit_s(
            work, first_due_s, now_s, is_beyond_share=is_beyond_share
        )
        if work.goes_on and not is_beyond_share:
            limit_s = work.deadline_s - now_s
        detail = "" if first_due_s is None else "came back"
        if finish_s is None:
            return self._refuse_without_worker(work, limit_s, detail)
        if self._is_unservable(work, now_s):
            reason = Reason.PREDICTED_LATE
            self._record(Event.REFUSED, reason, work, finish_s, limit_s, "too late")
            return ChainFailed(reason=reason, is_begun=False, finish_s=finish_s)
        is_late = work.must_be_on_time and finish_s > limit_s
        is_back = first_due_s is not None or work.goes_on
        if is_late and self._may_wait(
            work, now_s, is_back=is_back, is_beyond_share=is_beyond_share
        ):
            self._record(Event.QUEUED, Reason.NONE, work, finish_s, limit_s, detail)
            is_late = not await self._overdue.wait(
                work, is_beyond_share=is_beyond_share
            )
            if self.successor:
                return ChainMoved(successor=self.successor)
            detail = f"waited {time.monotonic() - now_s:.1f} s"
        if not is_late:
            self._accounts.record_admitted(
                work.account, _pieces_by_service(work), time.monotonic()
            )
            event = Event.REQUEST_ACCEPTED
            self._record(event, Reason.NONE, work, finish_s, limit_s, detail)
            return None
        now_s = time.monotonic()
        self._refused.record(work.piece_key, work.due_s, now_s)
        reason = Reason.PREDICTED_LATE
        if exceeded is not None:
            reason = Reason.SHARE_EXCEEDED
            detail = f"{detail}; {exceeded}" if detail else str(exceeded)
        self._record(Event.REFUSED, reason, work, finish_s, limit_s, detail)
        return ChainFailed(
            reason=reason,
            is_begun=False,
            finish_s=finish_s,
            retry_after_s=self._refused.retry_after_s(now_s),
        )

    def _capacity_unknown_s(self, work: ChainWork, now_s: float) -> float:
        """Return the seconds for which spare capacity for a chain is not known.

        Results that are not known here take up memory of the workers until they expire:
        those of former schedulers, and those because of which a result found no memory.
        """
        services = {plan.service for plan in work.stages}
        retention_s = max(map(self.dispatch.retention_s, services), default=0.0)
        if any(map(self.dispatch.has_unknown_results, services)):
            return retention_s
        return max(0.0, self.began_s + retention_s - now_s)

    def _record_offered(self, work: ChainWork, now_s: float) -> None:
        """Record what a new chain offers to the services that have workers."""
        n_pieces = {
            service: n_own
            for service, n_own in _pieces_by_service(work).items()
            if self.dispatch.has_worker(service)
        }
        self._accounts.record_offered(
            work.account, work.account_weight, n_pieces, now_s
        )

    def _exceeded_share(self, work: ChainWork, now_s: float) -> ExceededShare | None:
        """Return by what the chain's account exceeds its share at one of its services.

        None if it exceeds it at none.
        """
        if not work.account:
            return None
        for service in _pieces_by_service(work):
            exceeded = self._exceeded_share_at(service, work.account, now_s)
            if exceeded is not None:
                return exceeded
        return None

    def _exceeded_share_at(
        self, service: str, account: int, now_s: float
    ) -> ExceededShare | None:
        """Return by what an account exceeds its share at a service, if it does."""
        pace_per_s = partial(self.dispatch.full_pace_per_s, service)
        return self._accounts.exceeded(account, service, pace_per_s, now_s)

    def _is_beyond_share(self, account: int, service: str) -> bool:
        """Return True if an account offers a service more than its share now."""
        now_s = time.monotonic()
        return self._exceeded_share_at(service, account, now_s) is not None

    def _may_wait(
        self, work: ChainWork, now_s: float, *, is_back: bool, is_beyond_share: bool
    ) -> bool:
        """Return True if a late chain may wait for spare capacity.

        While that is not known, waiting mostly ends with a refusal. Then only callers
        who have come back wait, as they may not come once more.
        """
        unknown_s = self._capacity_unknown_s(work, now_s)
        return (is_back or not unknown_s) and self._overdue.may_wait(
            work, at_least_s=unknown_s, is_beyond_share=is_beyond_share
        )

    def _refuse_without_worker(
        self, work: ChainWork, limit_s: float, detail: str
    ) -> ChainFailed:
        """Refuse a chain that has a stage without a worker."""
        services = [plan.service for plan in work.stages]
        rested_in_s = self.dispatch.rested_in_s(services)
        reason, retry_after_s = Reason.NO_TARGET, 0.0
        if any(map(self.dispatch.is_evacuated, services)):
            reason, retry_after_s = Reason.EVACUATED, EVACUATED_RETRY_S
        elif rested_in_s is not None:
            reason = Reason.RESTING_TARGETS
            retry_after_s = spread_retry_s(rested_in_s)
        self._record(Event.REFUSED, reason, work, 0.0, limit_s, detail)
        return ChainFailed(reason=reason, is_begun=False, retry_after_s=retry_after_s)

    def _is_unservable(self, work: ChainWork, now_s: float) -> bool:
        """Return True if a chain cannot meet its deadline even without a backlog.

        Never True if the previous scheduler has already computed a part of it.
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
            was_beyond_share=self._exceeded_share(work, time.monotonic()) is not None,
            is_beyond_share=partial(self._is_beyond_share, work.account),
        )
        self._executions[work.request_id] = execution
        is_complete = False
        try:
            outcome = await execution.run()
            is_complete = isinstance(outcome, ChainCompleted)
            return outcome
        finally:
            if is_complete:
                loop = asyncio.get_running_loop()
                loop.call_later(EXECUTION_RETENTION_S, self.free, work.request_id)
            else:
                self.free(work.request_id)

    def free(self, request_id: str) -> None:
        """Free the results of a chain, whose request has read them or has ended."""
        execution = self._executions.pop(request_id, None)
        if execution is not None:
            execution.free_all()

    def _has_capacity_for_overdue(self, work: ChainWork) -> bool:
        """Return True if an overdue chain delays none that can be on time."""
        now_s = time.monotonic()
        finish_s = forecast_s(work, self.dispatch, self._reservations)
        services = frozenset(plan.service for plan in work.stages)
        wait_s = self._waits.min_of_more_urgent_s(BELOW_ALL_PRIORITIES, services, now_s)
        limit_s = unloaded_duration_s(work, self.dispatch) + OVERDUE_WAIT_SHARE * min(
            wait_s, MAX_TOLERABLE_WAIT_S
        )
        return finish_s is not None and finish_s <= limit_s

    def _limit_s(
        self,
        work: ChainWork,
        first_due_s: float | None,
        now_s: float,
        *,
        is_beyond_share: bool,
    ) -> float:
        """Return the longest forecast in seconds with which a chain is admitted now.

        A chain that was refused before was first due earlier than it states now. If
        it cannot be complete by that time, it is late in any case: it is admitted
        where the backlog is short, and takes no capacity from one that can be on time.
        A chain of an account beyond its share is admitted with a part of its wait.
        """
        unloaded_s = unloaded_duration_s(work, self.dispatch)
        left_s = work.due_s - now_s
        services = frozenset(plan.service for plan in work.stages)
        urgent_wait_s = self._waits.min_of_more_urgent_s(work.priority, services, now_s)
        limit_s = admission_limit_s(work, left_s, unloaded_s, urgent_wait_s)
        if first_due_s is None:
            self._waits.record(
                work.route,
                priority=work.priority,
                services=services,
                wait_s=max(0.0, left_s - unloaded_s),
                now_s=now_s,
            )
        if first_due_s is None:
            limit_s += ADMITTED_LATENESS_S
        else:
            spare_s = OVERDUE_WAIT_SHARE * max(0.0, left_s - unloaded_s)
            limit_s = max(first_due_s - now_s, unloaded_s + spare_s)
        if not is_beyond_share:
            return limit_s
        # Other accounts may use routes that tolerate less.
        any_wait_s = self._waits.min_of_more_urgent_s(
            BELOW_ALL_PRIORITIES, services, now_s
        )
        wait_s = min(max(0.0, limit_s - unloaded_s), any_wait_s)
        return unloaded_s + BEYOND_SHARE_WAIT_SHARE * wait_s

    def _record(
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


def _pieces_by_service(work: ChainWork) -> Counter[str]:
    """Return the number of pieces of a chain by service."""
    n_pieces: Counter[str] = Counter()
    for plan, n_own in zip(work.stages, work.n_pieces, strict=True):
        if n_own:
            n_pieces[plan.service] += n_own
    return n_pieces
