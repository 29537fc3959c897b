"""Runs one stage: chooses targets and retries what may be retried."""

import functools
import time
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import NotRun, StageError
from ...protocol.reasons import Reason
from ...state.budget import RetryBudget, RetryBudgets
from ...state.journal import Event, Figure, Journal
from ...state.settings import Choice, PolicySettings
from ..claims.request_usage import RequestUsage
from ..targets.stage_work import Sink, StageAnswer, StageFault, StageWork
from .calls import CallContext, Outcome, TrackedAttempt, run_hedged, run_late_bound
from .open_attempts import OpenAttempts
from .request_decisions import stage_decision
from .routing import Chosen, Router
from .target_view import TargetView

MAX_ATTEMPTS: Final = 4
"""Attempts, hedges included, after which a stage is not retried."""

HEDGE_FACTOR: Final = 1.5
"""Factor on the high estimate of a call's duration after which it is hedged."""

HEDGE_RESERVE: Final = 2.0
"""Time left for a second attempt, as a multiple of the usual duration of a call.

One call fits into half of it; the rest is for a gateway or a target that stalls.
"""

HEDGE_MIN_S: Final = 0.1
"""Shortest duration, in seconds, after which a call is hedged."""

HEDGE_MIN_WEIGHT: Final = 0.5
"""Attainment weight of an entry from which on its calls may be hedged."""

RETRYABLE_REFUSALS: Final = frozenset(
    {
        Reason.BARRED,
        Reason.CANCELLED,
        Reason.LEAVING,
        Reason.QUEUE_FULL,
        Reason.TARGET_DOWN,
        Reason.CONNECTION_LOST,
        Reason.WRONG_INCARNATION,
        Reason.PREDICTED_LATE,
        Reason.STOPPING,
        Reason.RESULT_GONE,
        Reason.CORRUPT,
    }
)
"""Refusals after which another target may still accept the call."""

BUDGET_FREE_REFUSALS: Final = frozenset({Reason.CANCELLED, Reason.LEAVING})
"""Refusals that say nothing about load; their retries do not use the budget.

A reserved slot was released, or the sidecar is leaving.
"""


@dataclass(slots=True, kw_only=True)
class _Tried:
    targets: set[str] = field(default_factory=set)
    n_attempts: int = 0
    last: StageFault | None = None
    is_retry_spent: bool = False

    def take_retry(self) -> bool:
        """Return True if the next attempt was paid for while the last one went on."""
        is_spent, self.is_retry_spent = self.is_retry_spent, False
        return is_spent

    def record_attempt(self, view: TargetView) -> None:
        self.targets.add(view.process_id)
        self.n_attempts += 1

    def record_fault(self, fault: StageFault, view: TargetView) -> None:
        """Record the fault of an attempt; a leaving target may be tried again.

        Sidecars are replaced one after the other while a call is slow to arrive:
        each sidecar that it reaches is leaving, and those that have restarted were
        tried under the same process id. The call would be refused although targets
        are free. While the gateway knows that a sidecar is leaving, it does not
        choose it; once it may choose it again, it is a new incarnation that has not
        been tried.
        """
        self.last = fault
        is_leaving = fault.error.reason is Reason.LEAVING
        if is_leaving and not view.may_get_work():
            self.targets.discard(view.process_id)


class StageRunner:
    """Runs stages by one or more attempts; nothing else retries stage calls.

    Parameters
    ----------
    router : Router
        Chooses targets.
    attempts : OpenAttempts
        Registry of attempts in flight.
    budgets : RetryBudgets
        Retry budgets of the services.
    policy : PolicySettings
        States which policies are enabled.
    journal : Journal
        Records the decisions.
    """

    __slots__ = ("_attempts", "_budgets", "_journal", "_policy", "_router")

    def __init__(
        self,
        *,
        router: Router,
        attempts: OpenAttempts,
        budgets: RetryBudgets,
        policy: PolicySettings,
        journal: Journal,
    ) -> None:
        self._router = router
        self._attempts = attempts
        self._budgets = budgets
        self._policy = policy
        self._journal = journal

    async def run(
        self, work: StageWork, *, spent: RequestUsage, sink: Sink | None
    ) -> Result[StageAnswer, StageError]:
        """Return the complete answer of the stage, or its error."""
        budget = self._budgets.of(work.stage.service, share=work.service.retry_share)
        budget.earn()
        tried = _Tried()
        context = CallContext(
            attempts=self._attempts,
            journal=self._journal,
            router=self._router,
            spent=spent,
            sink=sink,
            may_give_up=functools.partial(self._may_give_up, work, budget, tried),
        )
        while True:
            chosen = self._router.choose(work, tried=tried.targets)
            if chosen is None:
                return Err(self._no_target(work, tried))
            self._record_route(Event.ROUTED, work, chosen, n_tried=tried.n_attempts)
            self._router.record_prefix(work, chosen.view)
            tried.record_attempt(chosen.view)
            match await self._attempt(work, chosen, context, budget, tried):
                case Ok(answer):
                    return Ok(answer)
                case Err(fault):
                    tried.record_fault(fault, chosen.view)
            if not self._may_retry(work, fault, n_tried=tried.n_attempts):
                return Err(fault.error)
            is_paid = tried.take_retry() or _is_budget_free(fault)
            if not is_paid and not budget.spend():
                return Err(fault.error)
            self._journal.record(stage_decision(Event.RETRIED, work, error=fault.error))

    async def _attempt(
        self,
        work: StageWork,
        chosen: Chosen,
        context: CallContext,
        budget: RetryBudget,
        tried: _Tried,
    ) -> Outcome:
        if self._is_late_bound(chosen, tried):
            assert chosen.second is not None
            return await run_late_bound(work, [chosen.view, chosen.second], context)
        call = TrackedAttempt(work=work, view=chosen.view, context=context)
        delay_s = _hedge_delay_s(work, chosen)
        if delay_s is None or not self._may_hedge(work, context):
            return await call.run()

        def second() -> TrackedAttempt | None:
            return self._hedge(work, context, budget, tried)

        return await run_hedged(call, delay_s=delay_s, second=second)

    def _is_late_bound(self, chosen: Chosen, tried: _Tried) -> bool:
        is_first = tried.last is None
        is_chosen = self._policy.choice is Choice.LATE_BINDING
        return is_chosen and is_first and chosen.second is not None

    def _may_hedge(self, work: StageWork, context: CallContext) -> bool:
        weight = work.governing.entry.attainment_weight
        return (
            self._policy.hedge
            and work.stage.idempotent
            and context.sink is None
            and work.is_warm
            and weight >= HEDGE_MIN_WEIGHT
        )

    def _hedge(
        self, work: StageWork, context: CallContext, budget: RetryBudget, tried: _Tried
    ) -> TrackedAttempt | None:
        """Return an attempt at a second target, if it can still be on time."""
        if time.monotonic() + work.expected_s >= work.deadline_s:
            return None
        chosen = self._router.choose(work, tried=tried.targets)
        # Where work is queued, a hedge would delay another request's first attempt.
        if chosen is None or chosen.wait_s > 0.0 or not budget.spend():
            return None
        tried.record_attempt(chosen.view)
        self._record_route(Event.HEDGED, work, chosen, n_tried=tried.n_attempts)
        return TrackedAttempt(work=work, view=chosen.view, context=context)

    def _may_give_up(self, work: StageWork, budget: RetryBudget, tried: _Tried) -> bool:
        """Return True if work at an unresponsive sidecar can go on at another target.

        Spends the retry for it.
        """
        is_possible = _has_attempt_left(work, n_tried=tried.n_attempts) and any(
            view.process_id not in tried.targets
            for view in self._router.candidates(work.stage.service)
        )
        if is_possible and not tried.is_retry_spent:
            tried.is_retry_spent = budget.spend()
        return is_possible and tried.is_retry_spent

    def _may_retry(self, work: StageWork, fault: StageFault, *, n_tried: int) -> bool:
        """Return True if another attempt cannot run work twice nor be too late."""
        if fault.is_partly_forwarded or not _has_attempt_left(work, n_tried=n_tried):
            return False
        if isinstance(fault.error, NotRun):
            return fault.error.reason in RETRYABLE_REFUSALS
        return work.stage.idempotent

    def _no_target(self, work: StageWork, tried: _Tried) -> StageError:
        if tried.last is not None:
            return tried.last.error
        return NotRun(
            reason=Reason.NO_TARGET,
            step="route",
            peer=work.stage.service,
            detail=f"No target of {work.stage.service} can be given work now.",
            retry_after_s=1.0,
        )

    def _record_route(
        self, event: Event, work: StageWork, chosen: Chosen, *, n_tried: int
    ) -> None:
        second = chosen.second.process_id if chosen.second is not None else ""
        figures = (
            Figure(name="predicted_s", value=chosen.predicted_s),
            Figure(name="wait_s", value=chosen.wait_s),
            Figure(name="slack_s", value=work.stage_deadline_s - time.monotonic()),
            Figure(name="n_candidates", value=chosen.n_candidates),
            Figure(name="second_s", value=chosen.second_s),
            Figure(name="prefix_share", value=chosen.prefix_share),
            Figure(name="n_tried", value=n_tried),
        )
        self._journal.record(
            stage_decision(
                event,
                work,
                peer=chosen.view.process_id,
                detail=f"second choice {second}" if second else "",
                figures=figures,
            )
        )


def _hedge_delay_s(work: StageWork, chosen: Chosen) -> float | None:
    """Return how long to wait for an answer before a second attempt.

    The second attempt starts late, since it costs target time, but early enough to be
    on time, and never before the first is slower than it should be.

    Returns
    -------
    float or None
        Seconds; None if a second attempt could not be on time.
    """
    now_s = time.monotonic()
    usual_s = max(HEDGE_MIN_S, HEDGE_FACTOR * work.high_s)
    reserved_s = work.stage_deadline_s - now_s - HEDGE_RESERVE * usual_s
    delay_s = max(chosen.wait_s + usual_s, reserved_s)
    is_useful = now_s + delay_s + work.expected_s < work.deadline_s
    return delay_s if is_useful else None


def _is_budget_free(fault: StageFault) -> bool:
    """Return True if the retry uses no budget, since no target has worked.

    A sidecar that stops refuses all calls that arrive during its stop and all that
    are still queued at its end, many times what a service may retry at once. If they
    used the budget, callers would be refused although targets are free. The budget
    keeps a failing service from receiving more work because of its failures; a
    sidecar leaves only once and does not get the call again.
    """
    error = fault.error
    return isinstance(error, NotRun) and error.reason in BUDGET_FREE_REFUSALS


def _has_attempt_left(work: StageWork, *, n_tried: int) -> bool:
    """Return True if another attempt is allowed and can be on time."""
    is_in_time = time.monotonic() + work.expected_s < work.deadline_s
    return n_tried < MAX_ATTEMPTS and is_in_time
