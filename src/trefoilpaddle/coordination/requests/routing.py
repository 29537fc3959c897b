"""Choice of the target for one stage call."""

import itertools
import random
import time
from collections.abc import Set
from dataclasses import dataclass, replace
from typing import Final

from ...state.catalogue import Entry
from ...state.prefix import PrefixRecord
from ...state.settings import Choice, PolicySettings
from ..members.directory import Directory
from ..targets.stage_work import StageWork
from .ejection import Ejector
from .target_view import DEFAULT_SLOTS, TargetView, TargetViews

SNAPSHOT_S: Final = 0.01
"""How long a snapshot of the directory is used, in seconds."""
PREFIX_WAIT_FACTOR: Final = 1.5
"""Wait accepted for a cached prefix, as a multiple of the time that it saves.

The entry's attainment weight is subtracted from it.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The chosen target, and the figures that the choice was based on.

    Parameters
    ----------
    view : TargetView
        The chosen target.
    wait_s, predicted_s : float
        Predicted queueing time, and predicted time until the answer.
    n_candidates : int
        Number of targets that could have been chosen.
    second : TargetView, optional
        The second best of the compared targets.
    second_s : float
        Predicted time until its answer; 0 without a second target.
    prefix_share : float
        Share of the prompt's leading blocks that the target has likely cached, if
        the target was chosen for it; else 0.
    """

    view: TargetView
    wait_s: float
    predicted_s: float
    n_candidates: int
    second: TargetView | None = None
    second_s: float = 0.0
    prefix_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Snapshot:
    views: list[TargetView]
    at_s: float


class Router:
    """Chooses targets among those that may be given work.

    Parameters
    ----------
    directory : Directory
        Lists the sidecars.
    views : TargetViews
        Views of the targets.
    policy : PolicySettings
        States which ways of choosing are enabled.
    prefixes : PrefixRecord
        Records which targets prompt prefixes were sent to.
    ejector : Ejector
        Ejects slow targets.
    seed : int
        Seed of the random choices.
    """

    __slots__ = (
        "_directory",
        "_ejector",
        "_policy",
        "_prefixes",
        "_random",
        "_snapshots",
        "_turns",
        "_views",
    )

    def __init__(
        self,
        *,
        directory: Directory,
        views: TargetViews,
        policy: PolicySettings,
        prefixes: PrefixRecord,
        ejector: Ejector,
        seed: int,
    ) -> None:
        self._directory = directory
        self._views = views
        self._policy = policy
        self._prefixes = prefixes
        self._ejector = ejector
        self._random = random.Random(seed)
        self._turns: dict[str, itertools.count[int]] = {}
        self._snapshots: dict[str, _Snapshot] = {}

    def candidates(self, service: str) -> list[TargetView]:
        """Return the targets of `service` that may be given new work now."""
        return [view for view in self._views_of(service) if view.may_get_work()]

    def _views_of(self, service: str) -> list[TargetView]:
        """Return the views of the directory's targets, from a recent snapshot.

        Each stage call needs them several times. After a pause of the process the
        last snapshot is too old, so that the directory is read again and its own
        guard against pauses takes effect.
        """
        now_s = time.monotonic()
        snapshot = self._snapshots.get(service)
        if snapshot is None or now_s - snapshot.at_s > SNAPSHOT_S:
            found = [self._views.of(host) for host in self._directory.sidecars(service)]
            views = [view for view in found if view is not None]
            snapshot = self._snapshots[service] = _Snapshot(views=views, at_s=now_s)
        return snapshot.views

    def choose(self, work: StageWork, *, tried: Set[str]) -> Chosen | None:
        """Return the target for `work`, or None if none may be given it.

        Parameters
        ----------
        work : StageWork
            The work to run.
        tried : set of str
            Process ids of sidecars that must not be chosen again.
        """
        candidates = [
            view
            for view in self.candidates(work.stage.service)
            if view.process_id not in tried
        ]
        if not candidates:
            return None
        if self._policy.choice is Choice.ROUND_ROBIN:
            return self._round_robin(work, candidates)
        usable = self._ejector.usable(candidates, is_retryable=work.stage.idempotent)
        chosen = self._best_of_two(work, usable)
        return self._with_prefix(work, usable, chosen) or chosen

    def learn(self, work: StageWork, view: TargetView, *, measured_s: float) -> None:
        """Record the duration of a call; a slow target may be ejected as a result."""
        if not work.is_warm:
            return
        view.learn(measured_s=measured_s, expected_s=work.expected_s)
        if self._ejector.is_suspect(view):
            self._ejector.judge(view, self.candidates(work.stage.service))

    def record_prefix(self, work: StageWork, view: TargetView) -> None:
        """Record that the prompt of `work` is likely cached at `view` from now on."""
        if work.prefix_hashes:
            service = work.stage.service
            self._prefixes.record(service, work.prefix_hashes, view.process_id)

    def least_wait_s(self, service: str, entry: Entry) -> float:
        """Return the shortest predicted queueing time of a call of `entry`."""
        now_s = time.monotonic()
        waits = (view.wait_s(entry, now_s) for view in self.candidates(service))
        return min(waits, default=0.0)

    def n_slots(self, service: str) -> int:
        """Return the number of slots of all targets of `service` that may get work."""
        return sum(
            view.load.n_slots if view.load is not None else DEFAULT_SLOTS
            for view in self.candidates(service)
        )

    def n_free_slots(self, service: str) -> int:
        """Return how many calls of `service` would start immediately if sent now."""
        return sum(view.n_free_slots() for view in self.candidates(service))

    def _round_robin(self, work: StageWork, candidates: list[TargetView]) -> Chosen:
        turns = self._turns.setdefault(work.stage.service, itertools.count())
        ordered = sorted(candidates, key=lambda view: view.process_id)
        view = ordered[next(turns) % len(ordered)]
        return self._best(work, [view], len(candidates))

    def _best_of_two(self, work: StageWork, usable: list[TargetView]) -> Chosen:
        """Return the better of two random targets, or the best if both are late.

        Comparing two is enough to keep queues even, and few enough that gateways
        with the same stale reports do not all choose the same target. If both are
        predicted late, all targets are compared: one of them may be on time.
        """
        compared = self._random.sample(usable, min(2, len(usable)))
        chosen = self._best(work, compared, len(usable))
        is_late = chosen.predicted_s > work.stage_deadline_s - time.monotonic()
        if is_late and len(usable) > len(compared):
            return self._best(work, usable, len(usable))
        return chosen

    def _with_prefix(
        self, work: StageWork, usable: list[TargetView], chosen: Chosen
    ) -> Chosen | None:
        """Return a target that likely caches the prompt's prefix, if it saves time.

        Bounded by load: the additional wait at that target must not exceed the time
        that the cached prefix is predicted to save. Without the bound all requests
        that share a prefix would queue at one target while others are idle.
        """
        if not (self._policy.prefix_affinity and work.prefix_hashes):
            return None
        shares = self._prefixes.shares(work.stage.service, work.prefix_hashes)
        holders = [view for view in usable if view.process_id in shares]
        if not holders:
            return None
        # Entries that weigh cost more accept a longer wait for a cheaper answer.
        wait_factor = PREFIX_WAIT_FACTOR - work.governing.entry.attainment_weight
        now_s = time.monotonic()

        def cost_s(view: TargetView) -> float:
            saved_s = shares[view.process_id] * work.size_s * wait_factor
            return view.predicted_s(work, now_s) - saved_s

        # Shuffled, as the first of equal targets would otherwise always be chosen.
        self._random.shuffle(holders)
        best = min(holders, key=cost_s)
        if cost_s(best) > chosen.predicted_s:
            return None
        found = self._best(work, [best], chosen.n_candidates)
        return replace(
            found,
            prefix_share=shares[best.process_id],
            second=chosen.view if chosen.view is not best else chosen.second,
            second_s=chosen.predicted_s,
        )

    def _best(
        self, work: StageWork, compared: list[TargetView], n_candidates: int
    ) -> Chosen:
        now_s = time.monotonic()
        scored = sorted(
            (
                view.predicted_s(work, now_s),
                view.n_outstanding,
                index,
            )
            for index, view in enumerate(compared)
        )
        best_s, _, best = scored[0]
        view = compared[best]
        second = compared[scored[1][2]] if len(scored) > 1 else None
        return Chosen(
            view=view,
            wait_s=view.wait_s(work.governing.entry, now_s),
            predicted_s=best_s,
            n_candidates=n_candidates,
            second=second,
            second_s=scored[1][0] if second is not None else 0.0,
        )
