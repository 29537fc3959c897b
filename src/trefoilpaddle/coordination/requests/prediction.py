"""Predicts the duration of a request's stages and whether it fits the deadline."""

import contextlib
import time
from collections.abc import Iterator
from typing import Final

from ...protocol.errors import NotRun
from ...protocol.reasons import Reason
from ...state.catalogue import Entry, Stage
from ...state.estimate import Estimate, Estimates, WorkSize
from ...state.settings import PolicySettings
from ..targets.stage_work import StageAnswer, StageWork
from .request import Request
from .routing import Router
from .upcoming_work import UpcomingStages, UpcomingWork

SAFETY_FACTOR: Final = 1.3
"""Factor on the predicted time that must fit into the time left.

Applies to entries that weigh cost alone; entries that weigh attainment alone use
`SAFETY_FACTOR_STEP` less.
"""
SAFETY_FACTOR_STEP: Final = 0.3

MIN_RETRY_AFTER_S: Final = 0.05
"""Shortest wait, in seconds, that is reported to a refused caller."""

HEADROOM: Final = 1.0
"""Share of the predicted time that the lowest brown-out order must have in reserve.

It is therefore refused earlier than the highest order, which needs no reserve.
"""
MIN_AHEAD_SHARE: Final = 0.5
"""Smallest share of the queued work that is assumed to run before a request.

The queued work may be just as urgent.
"""
TIME_LEFT_WEIGHT: Final = 0.02
"""Weight of one request in the moving average of the time left."""


class Predictor:
    """Predicts each stage by two fits and refuses requests that would be late.

    A stage that is about to be called is predicted from the size of its body. The
    bodies of following stages are not known yet, so these are predicted from the
    size of the caller's input.

    Parameters
    ----------
    estimates : Estimates
        The fits.
    router : Router
        Predicts queueing times.
    policy : PolicySettings
        States whether early refusal is enabled.
    """

    __slots__ = (
        "_average_left_s",
        "_estimates",
        "_highest_order",
        "_policy",
        "_router",
        "_upcoming",
    )

    def __init__(
        self, *, estimates: Estimates, router: Router, policy: PolicySettings
    ) -> None:
        self._estimates = estimates
        self._router = router
        self._policy = policy
        self._upcoming = UpcomingWork()
        self._highest_order = 0
        self._average_left_s = 0.0

    def body_estimate(self, stage: Stage) -> Estimate:
        """Return the estimate of `stage` by the size of its body."""
        return self._estimates.of(stage.service, stage.path, stage.model)

    def later_stages_s(self, request: Request, index: int) -> list[float]:
        """Return the predicted seconds of each stage after the one at `index`."""
        return [
            self._expected_s(request, later)
            for later in range(index + 1, len(request.pipeline.stages))
        ]

    def learn(self, request: Request, work: StageWork, answer: StageAnswer) -> None:
        """Update both fits of a stage with a complete answer."""
        self.body_estimate(work.stage).learn(work.size, answer.service_s)
        estimate = self._input_estimate(request, work.stage)
        estimate.learn(_input_size(request, work.stage), answer.service_s)

    def refusal(self, request: Request, *, index: int = 0) -> NotRun | None:
        """Return why the stages from `index` on should not be started, or None.

        Keeps work that would be late anyway from the targets: under overload it
        would displace work that could still be on time. Predictions without
        enough samples refuse nothing.
        """
        if not self._policy.refuse_early:
            return None
        entry = request.governing.entry
        left_s = request.deadline_s - time.monotonic()
        ahead_share = self._ahead_share(left_s, is_new=index == 0)
        wait_s, needed_s = 0.0, 0.0
        slowest = request.pipeline.stages[index]
        for later in range(index, len(request.pipeline.stages)):
            stage = request.pipeline.stages[later]
            needed_s += self._expected_s(request, later)
            # The queues of following stages will have changed when the request
            # reaches them; before its first stage they are still the best estimate.
            if index > 0 and later > index:
                continue
            stage_wait_s = self._router.least_wait_s(stage.service, entry)
            if later > index:
                stage_wait_s += self._upcoming_wait_s(stage.service, entry)
            stage_wait_s *= ahead_share
            needed_s += stage_wait_s
            if stage_wait_s > wait_s:
                wait_s, slowest = stage_wait_s, stage
        safety_factor = SAFETY_FACTOR - SAFETY_FACTOR_STEP * entry.attainment_weight
        if needed_s * safety_factor * self._headroom(entry, index) <= left_s:
            return None
        return NotRun(
            reason=Reason.PREDICTED_LATE,
            step="admit",
            peer=slowest.service,
            detail=f"Predicted to take {needed_s:.3g} s with {left_s:.3g} s left.",
            retry_after_s=max(MIN_RETRY_AFTER_S, needed_s - left_s, wait_s / 2),
        )

    def _ahead_share(self, left_s: float, *, is_new: bool) -> float:
        """Return the share of the queued work that runs before a request.

        Within an owner's share the work with the least slack runs first, so a
        request with less time left than average overtakes much of the queue.
        """
        if is_new:
            step = TIME_LEFT_WEIGHT if self._average_left_s else 1.0
            self._average_left_s += step * (left_s - self._average_left_s)
        if self._average_left_s <= 0.0:
            return 1.0
        return min(1.0, max(MIN_AHEAD_SHARE, left_s / self._average_left_s))

    def _headroom(self, entry: Entry, index: int) -> float:
        """Return the factor on the predicted time by the entry's brown-out order.

        Applies before the first stage only. Lower brown-out orders are refused
        earlier, so that they are not displaced at a later stage after the first
        stages have consumed target time.
        """
        self._highest_order = max(self._highest_order, entry.brownout_order)
        if index > 0 or self._highest_order <= 0:
            return 1.0
        rank = max(0, entry.brownout_order) / self._highest_order
        return 1.0 + HEADROOM * (1.0 - rank)

    @contextlib.contextmanager
    def track_upcoming(self, request: Request) -> Iterator[UpcomingStages]:
        """Count the work that `request` will bring to its stages until it arrives."""
        stages = request.pipeline.stages
        work_s = [self._expected_s(request, index) for index in range(len(stages))]
        services = [stage.service for stage in stages]
        owner = request.governing.entry.owner
        with self._upcoming.track(owner, services, work_s) as arrivals:
            yield arrivals

    def _upcoming_wait_s(self, service: str, entry: Entry) -> float:
        n_slots = self._router.n_slots(service)
        return self._upcoming.of(service, entry.owner) / max(1, n_slots)

    def _expected_s(self, request: Request, index: int) -> float:
        stage = request.pipeline.stages[index]
        estimate = self._input_estimate(request, stage)
        if not estimate.is_warm:
            return 0.0
        return estimate.expected_s(_input_size(request, stage))

    def _input_estimate(self, request: Request, stage: Stage) -> Estimate:
        return self._estimates.of(request.pipeline_name, stage.name, stage.model)


def _input_size(request: Request, stage: Stage) -> WorkSize:
    return WorkSize(n_bytes=request.n_input_bytes, n_tokens=stage.max_tokens)
