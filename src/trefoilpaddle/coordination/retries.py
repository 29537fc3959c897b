"""Runs one stage: chooses targets, repeats what may be repeated."""

import time
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from ..protocol.errors import Failed, NotRun, StageError
from ..protocol.reasons import Reason
from ..state.budget import RetryBudgets
from ..state.journal import Decision, Event, Figure, Journal
from .open_attempts import OpenAttempts
from .routing import Chosen, Router
from .stage_call import StageCall
from .stage_work import Sink, StageAnswer, StageFault, StageWork

MAX_ATTEMPTS: Final = 4

REPEATABLE_REFUSALS: Final = frozenset(
    {
        Reason.BARRED,
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


@dataclass(slots=True, kw_only=True)
class Spent:
    """What a request has used up so far, over all its attempts.

    Parameters
    ----------
    n_attempts : int
        OpenAttempts that left this gateway.
    cost_s : float
        Target-seconds that targets reported.
    has_started : bool
        True once any stage may have been started at a target.
    has_started_once_only : bool
        True while a stage that must run at most once is, or may have been,
        started; it turns false again only on a target's word that it was not.
    """

    n_attempts: int = 0
    cost_s: float = 0.0
    has_started: bool = False
    has_started_once_only: bool = False


@dataclass(slots=True, kw_only=True)
class _Tried:
    targets: set[str] = field(default_factory=set)
    last: StageFault | None = None


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
    journal : Journal
        Takes the decisions.
    """

    __slots__ = ("_attempts", "_budgets", "_journal", "_router")

    def __init__(
        self,
        *,
        router: Router,
        attempts: OpenAttempts,
        budgets: RetryBudgets,
        journal: Journal,
    ) -> None:
        self._router = router
        self._attempts = attempts
        self._budgets = budgets
        self._journal = journal

    async def run(
        self, work: StageWork, *, spent: Spent, sink: Sink | None
    ) -> Result[StageAnswer, StageError]:
        """Return the whole answer of the stage, or what is known of it."""
        budget = self._budgets.of(work.stage.service, share=work.service.retry_share)
        budget.earn()
        tried = _Tried()
        while True:
            chosen = self._router.choose(work, tried=tried.targets)
            if chosen is None:
                return Err(self._no_target(work, tried))
            self._record_route(work, chosen, n_tried=len(tried.targets))
            match await self._attempt(work, chosen, spent=spent, sink=sink):
                case Ok(answer):
                    return Ok(answer)
                case Err(fault):
                    tried.targets.add(chosen.view.process_id)
                    tried.last = fault
            if not self._may_repeat(work, fault, n_tried=len(tried.targets)):
                return Err(fault.error)
            if not budget.spend():
                return Err(fault.error)
            self._record(Event.RETRIED, work, fault.error)

    async def _attempt(
        self, work: StageWork, chosen: Chosen, *, spent: Spent, sink: Sink | None
    ) -> Result[StageAnswer, StageFault]:
        call = StageCall(
            work=work,
            view=chosen.view,
            attempts=self._attempts,
            journal=self._journal,
            sink=sink,
        )
        had_started, had_once_only = spent.has_started, spent.has_started_once_only
        spent.n_attempts += 1
        # Taken as started until a target says otherwise: whoever cancels this
        # in between knows nothing better.
        spent.has_started = True
        spent.has_started_once_only = had_once_only or not work.stage.idempotent
        outcome = await call.run()
        match outcome:
            case Ok(answer):
                spent.cost_s += answer.cost_s
            case Err(StageFault(error=NotRun())):
                spent.has_started = had_started
                spent.has_started_once_only = had_once_only
            case Err(StageFault(error=Failed() as error)):
                spent.cost_s += error.cost_s
        return outcome

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

    def _record_route(self, work: StageWork, chosen: Chosen, *, n_tried: int) -> None:
        second = chosen.second.process_id if chosen.second is not None else ""
        now_s = time.monotonic()
        self._journal.record(
            Decision(
                event=Event.ROUTED,
                request_id=work.request_id,
                entry=work.governing.name,
                owner=work.governing.entry.owner,
                config_revision=work.governing.config_revision,
                stage=work.stage.name,
                peer=chosen.view.process_id,
                detail=f"second choice {second}" if second else "",
                figures=(
                    Figure(name="predicted_s", value=chosen.predicted_s),
                    Figure(name="wait_s", value=chosen.wait_s),
                    Figure(name="slack_s", value=work.stage_deadline_s - now_s),
                    Figure(name="n_candidates", value=chosen.n_candidates),
                    Figure(name="second_s", value=chosen.second_s),
                    Figure(name="n_tried", value=n_tried),
                ),
            )
        )

    def _record(self, event: Event, work: StageWork, error: StageError) -> None:
        self._journal.record(
            Decision(
                event=event,
                request_id=work.request_id,
                entry=work.governing.name,
                owner=work.governing.entry.owner,
                config_revision=work.governing.config_revision,
                stage=work.stage.name,
                peer=error.peer,
                reason=error.reason,
                detail=error.detail,
            )
        )
