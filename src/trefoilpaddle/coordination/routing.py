"""Choice of the target for one stage call."""

import itertools
import random
import time
from collections.abc import Set
from dataclasses import dataclass

from ..state.settings import Choice, PolicySettings
from .directory import Directory
from .stage_work import StageWork
from .target_view import TargetView, TargetViews


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The target chosen, and the numbers it was chosen on.

    Parameters
    ----------
    view : TargetView
        The target.
    wait_s, predicted_s : float
        Predicted queueing time, and time until the answer.
    n_candidates : int
        How many could have been chosen.
    second : TargetView, optional
        The next best that was looked at.
    second_s : float
        Its predicted time until the answer; 0 without one.
    """

    view: TargetView
    wait_s: float
    predicted_s: float
    n_candidates: int
    second: TargetView | None = None
    second_s: float = 0.0


class Router:
    """Chooses targets among those that may be given work.

    Parameters
    ----------
    directory : Directory
        Says which sidecars there are.
    views : TargetViews
        What is known of each.
    policy : PolicySettings
        Which way to choose.
    seed : int
        Seed of the random choices.
    """

    __slots__ = ("_directory", "_policy", "_random", "_turns", "_views")

    def __init__(
        self,
        *,
        directory: Directory,
        views: TargetViews,
        policy: PolicySettings,
        seed: int,
    ) -> None:
        self._directory = directory
        self._views = views
        self._policy = policy
        self._random = random.Random(seed)
        self._turns: dict[str, itertools.count[int]] = {}

    def candidates(self, service: str, *, tried: Set[str]) -> list[TargetView]:
        """Return the targets of `service` that may be given new work now."""
        views = [
            view
            for host in self._directory.sidecars(service)
            if (view := self._views.of(host)) is not None
        ]
        return [
            view
            for view in views
            if view.process_id not in tried and view.may_get_work()
        ]

    def choose(self, work: StageWork, *, tried: Set[str]) -> Chosen | None:
        """Return the target for `work`, or None if none may be given it."""
        candidates = self.candidates(work.stage.service, tried=tried)
        if not candidates:
            return None
        if self._policy.choice is Choice.ROUND_ROBIN:
            return self._in_turn(work, candidates)
        return self._of_two(work, candidates)

    def _in_turn(self, work: StageWork, candidates: list[TargetView]) -> Chosen:
        turns = self._turns.setdefault(work.stage.service, itertools.count())
        ordered = sorted(candidates, key=lambda view: view.process_id)
        view = ordered[next(turns) % len(ordered)]
        return self._chosen(work, [view], len(candidates))

    def _of_two(self, work: StageWork, candidates: list[TargetView]) -> Chosen:
        looked_at = self._random.sample(candidates, min(2, len(candidates)))
        return self._chosen(work, looked_at, len(candidates))

    def _chosen(
        self, work: StageWork, looked_at: list[TargetView], n_candidates: int
    ) -> Chosen:
        now_s = time.monotonic()
        scored = sorted(
            (
                view.predicted_s(expected_s=work.expected_s, now_s=now_s),
                view.n_outstanding,
                index,
            )
            for index, view in enumerate(looked_at)
        )
        best_s, _, best = scored[0]
        view = looked_at[best]
        second = looked_at[scored[1][2]] if len(scored) > 1 else None
        return Chosen(
            view=view,
            wait_s=view.predicted_wait_s(now_s),
            predicted_s=best_s,
            n_candidates=n_candidates,
            second=second,
            second_s=scored[1][0] if second is not None else 0.0,
        )

    def least_wait_s(self, service: str) -> float:
        """Return the shortest predicted queueing time at any target now."""
        now_s = time.monotonic()
        candidates = self.candidates(service, tried=frozenset())
        waits = (view.predicted_wait_s(now_s) for view in candidates)
        return min(waits, default=0.0)
