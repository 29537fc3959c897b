"""Runs one stage: chooses targets, repeats what may be repeated."""

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
from .calls import Call, CallParts, Outcome, hedged, late_bound
from .open_attempts import OpenAttempts
from .request_decisions import stage_decision
from .routing import Chosen, Router
from .target_view import TargetView

MAX_ATTEMPTS: Final = 4
"""Targets tried, hedges included, after which a stage is not repeated."""

HEDGE_FACTOR: Final = 1.5
"""Times the high estimate after which a call is slow enough to hedge."""

HEDGE_MIN_S: Final = 0.1
"""Least time that a call has before it counts as slow."""

HEDGE_MIN_WEIGHT: Final = 0.5
"""Weight of attainment from which on an entry's calls may be hedged."""

REPEATABLE_REFUSALS: Final = frozenset(
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
"""Refusals that another target need not share."""

GIVEN_BACK: Final = frozenset({Reason.CANCELLED, Reason.LEAVING})
"""Refusals that say nothing of a target's load: a place, or a whole sidecar, goes."""


@dataclass(slots=True, kw_only=True)
class _Tried:
    targets: set[str] = field(default_factory=set)
    n_attempts: int = 0
    last: StageFault | None = None

    def begin(self, view: TargetView) -> None:
        self.targets.add(view.process_id)
        self.n_attempts += 1

    def take(self, fault: StageFault, view: TargetView) -> None:
        """Take the fault of an attempt; a target that leaves may come back.

        Guards against a call whose way is slow while one sidecar after the other is
        replaced: each that it reaches is about to leave, those that have come
        back were tried under the same name, and it is refused beside free targets.
        While the gateway knows that a sidecar leaves it is not chosen; once it may
        be chosen again it is another start, which has not been tried.
        """
        self.last = fault
        is_leaving = fault.error.reason is Reason.LEAVING
        if is_leaving and not view.may_get_work():
            self.targets.discard(view.process_id)


class StageRunner:
    """Runs stages by one or more attempts; nothing else in the system retries.

    Parameters
    ----------
    router : Router
        Chooses targets.
    attempts : OpenAttempts
        Registry of attempts in flight.
    budgets : RetryBudgets
        What may be repeated.
    policy : PolicySettings
        Which ways are on.
    journal : Journal
        Takes the decisions.
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
        """Return the whole answer of the stage, or what is known of it."""
        budget = self._budgets.of(work.stage.service, share=work.service.retry_share)
        budget.earn()
        parts = CallParts(
            attempts=self._attempts,
            journal=self._journal,
            router=self._router,
            spent=spent,
            sink=sink,
        )
        tried = _Tried()
        while True:
            chosen = self._router.choose(work, tried=tried.targets)
            if chosen is None:
                return Err(self._no_target(work, tried))
            self._record_route(Event.ROUTED, work, chosen, n_tried=tried.n_attempts)
            self._router.note_prefix(work, chosen.view)
            tried.begin(chosen.view)
            match await self._attempt(work, chosen, parts, budget, tried):
                case Ok(answer):
                    return Ok(answer)
                case Err(fault):
                    tried.take(fault, chosen.view)
            if not self._may_repeat(work, fault, n_tried=tried.n_attempts):
                return Err(fault.error)
            if not _is_given_back(fault) and not budget.spend():
                return Err(fault.error)
            self._journal.record(stage_decision(Event.RETRIED, work, error=fault.error))

    async def _attempt(
        self,
        work: StageWork,
        chosen: Chosen,
        parts: CallParts,
        budget: RetryBudget,
        tried: _Tried,
    ) -> Outcome:
        if self._is_late_bound(chosen, tried):
            assert chosen.second is not None
            return await late_bound(work, [chosen.view, chosen.second], parts)
        call = Call(work=work, view=chosen.view, parts=parts)
        if not self._may_hedge(work, parts):
            return await call.run()

        def second() -> Call | None:
            return self._hedge(work, parts, budget, tried)

        return await hedged(call, delay_s=_hedge_delay_s(work, chosen), second=second)

    def _is_late_bound(self, chosen: Chosen, tried: _Tried) -> bool:
        is_first = tried.last is None
        is_chosen = self._policy.choice is Choice.LATE_BINDING
        return is_chosen and is_first and chosen.second is not None

    def _may_hedge(self, work: StageWork, parts: CallParts) -> bool:
        weight = work.governing.entry.attainment_weight
        return (
            self._policy.hedge
            and work.stage.idempotent
            and parts.sink is None
            and work.is_warm
            and weight >= HEDGE_MIN_WEIGHT
        )

    def _hedge(
        self, work: StageWork, parts: CallParts, budget: RetryBudget, tried: _Tried
    ) -> Call | None:
        """Return a second attempt elsewhere, if it can still be in time."""
        if time.monotonic() + work.expected_s >= work.deadline_s:
            return None
        chosen = self._router.choose(work, tried=tried.targets)
        # Where work waits, a second attempt takes the place of somebody's first.
        if chosen is None or chosen.wait_s > 0.0 or not budget.spend():
            return None
        tried.begin(chosen.view)
        self._record_route(Event.HEDGED, work, chosen, n_tried=tried.n_attempts)
        return Call(work=work, view=chosen.view, parts=parts)

    def _may_repeat(self, work: StageWork, fault: StageFault, *, n_tried: int) -> bool:
        """Return True if another attempt can neither double nor be too late."""
        if n_tried >= MAX_ATTEMPTS or fault.has_passed_on:
            return False
        if time.monotonic() + work.expected_s >= work.deadline_s:
            return False
        if isinstance(fault.error, NotRun):
            return fault.error.reason in REPEATABLE_REFUSALS
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


def _hedge_delay_s(work: StageWork, chosen: Chosen) -> float:
    """Return how long to wait for an answer before a second attempt.

    As late as a second attempt can still be in time, since each costs a target's
    work; but never before the first is slower than such calls usually are.
    """
    usual_s = max(HEDGE_MIN_S, HEDGE_FACTOR * work.high_s)
    left_s = work.stage_deadline_s - time.monotonic()
    return max(chosen.wait_s + usual_s, left_s - usual_s)


def _is_given_back(fault: StageFault) -> bool:
    """Return True if a place was given up; no target has worked then.

    Guards against callers who are refused beside free targets: a sidecar that stops
    gives back all that crosses its stop and all that still waits at its end, many
    times what a service may repeat at once. The budget keeps a service that fails
    from being given more work by its failing; a sidecar leaves once, and is not
    given the call again.
    """
    error = fault.error
    return isinstance(error, NotRun) and error.reason in GIVEN_BACK
