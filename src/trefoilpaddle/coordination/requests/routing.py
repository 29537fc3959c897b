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
"""How long a look into the directory serves."""
PREFIX_WAIT_FACTOR: Final = 1.5
"""Wait accepted for a cached prefix, in times of what it saves, less the
entry's weight of attainment."""


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
    prefix_share : float
        Share of the prompt's leading blocks that the target has likely cached,
        where that decided; else 0.
    """

    view: TargetView
    wait_s: float
    predicted_s: float
    n_candidates: int
    second: TargetView | None = None
    second_s: float = 0.0
    prefix_share: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Look:
    views: list[TargetView]
    at_s: float


class Router:
    """Chooses targets among those that may be given work.

    Parameters
    ----------
    directory : Directory
        Says which sidecars there are.
    views : TargetViews
        What is known of each.
    policy : PolicySettings
        Which ways to choose are on.
    prefixes : PrefixRecord
        Where prompt prefixes went.
    ejector : Ejector
        Keeps slow targets out.
    seed : int
        Seed of the random choices.
    """

    __slots__ = (
        "_directory",
        "_ejector",
        "_looks",
        "_policy",
        "_prefixes",
        "_random",
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
        self._looks: dict[str, _Look] = {}

    def candidates(self, service: str) -> list[TargetView]:
        """Return the targets of `service` that may be given new work now."""
        return [view for view in self._views_of(service) if view.may_get_work()]

    def _views_of(self, service: str) -> list[TargetView]:
        """Return the views of the directory's targets, looked up now and then.

        Each stage call asks several times. A process that was paused finds its
        last look too old, so the directory's own guard against that holds.
        """
        now_s = time.monotonic()
        look = self._looks.get(service)
        if look is None or now_s - look.at_s > SNAPSHOT_S:
            found = [self._views.of(host) for host in self._directory.sidecars(service)]
            views = [view for view in found if view is not None]
            look = self._looks[service] = _Look(views=views, at_s=now_s)
        return look.views

    def choose(self, work: StageWork, *, tried: Set[str]) -> Chosen | None:
        """Return the target for `work`, or None if none may be given it.

        Parameters
        ----------
        work : StageWork
            What is to be done.
        tried : set of str
            Process ids that must not be chosen again.
        """
        candidates = [
            view
            for view in self.candidates(work.stage.service)
            if view.process_id not in tried
        ]
        if not candidates:
            return None
        if self._policy.choice is Choice.ROUND_ROBIN:
            return self._in_turn(work, candidates)
        usable = self._ejector.usable(candidates, is_repeatable=work.stage.idempotent)
        chosen = self._of_two(work, usable)
        return self._with_prefix(work, usable, chosen) or chosen

    def learn(self, work: StageWork, view: TargetView, *, measured_s: float) -> None:
        """Take in how long a call took; a slow target may be ejected by it."""
        if not work.is_warm:
            return
        view.learn(measured_s=measured_s, expected_s=work.expected_s)
        if self._ejector.is_suspect(view):
            self._ejector.judge(view, self.candidates(work.stage.service))

    def record_prefix(self, work: StageWork, view: TargetView) -> None:
        """Remember that the prompt of `work` is likely cached at `view` now."""
        if work.prefix_hashes:
            service = work.stage.service
            self._prefixes.note(service, work.prefix_hashes, view.process_id)

    def least_wait_s(self, service: str, entry: Entry) -> float:
        """Return the shortest predicted queueing time of a call of `entry` now."""
        now_s = time.monotonic()
        waits = (view.wait_s(entry, now_s) for view in self.candidates(service))
        return min(waits, default=0.0)

    def n_slots(self, service: str) -> int:
        """Return the slots of all targets of `service` that may get work."""
        return sum(
            view.load.n_slots if view.load is not None else DEFAULT_SLOTS
            for view in self.candidates(service)
        )

    def n_free_slots(self, service: str) -> int:
        """Return how many calls of `service` would start at once, sent now."""
        return sum(view.n_free_slots() for view in self.candidates(service))

    def _in_turn(self, work: StageWork, candidates: list[TargetView]) -> Chosen:
        turns = self._turns.setdefault(work.stage.service, itertools.count())
        ordered = sorted(candidates, key=lambda view: view.process_id)
        view = ordered[next(turns) % len(ordered)]
        return self._best(work, [view], len(candidates))

    def _of_two(self, work: StageWork, usable: list[TargetView]) -> Chosen:
        """Return the better of two at random, or the best if neither is in time.

        Two are enough to keep queues even, and few enough that gateways with
        the same stale reports do not all run to the same target. When the two
        are late the rest is worth a look: one in time may be among them.
        """
        looked_at = self._random.sample(usable, min(2, len(usable)))
        chosen = self._best(work, looked_at, len(usable))
        is_late = chosen.predicted_s > work.stage_deadline_s - time.monotonic()
        if is_late and len(usable) > len(looked_at):
            return self._best(work, usable, len(usable))
        return chosen

    def _with_prefix(
        self, work: StageWork, usable: list[TargetView], chosen: Chosen
    ) -> Chosen | None:
        """Return a target that likely holds the prompt's prefix, if it pays.

        Bounded by load: the holder may make the call wait no longer than the
        cached prefix is predicted to save. Without the bound all requests that
        share a prefix would queue at one target while others idle.
        """
        if not (self._policy.prefix_affinity and work.prefix_hashes):
            return None
        shares = self._prefixes.shares(work.stage.service, work.prefix_hashes)
        holders = [view for view in usable if view.process_id in shares]
        if not holders:
            return None
        # Entries that weigh cost more may wait longer for a cheaper answer.
        patience = PREFIX_WAIT_FACTOR - work.governing.entry.attainment_weight
        now_s = time.monotonic()

        def cost_s(view: TargetView) -> float:
            saved_s = shares[view.process_id] * work.size_s * patience
            return view.predicted_s(work, now_s) - saved_s

        # Shuffled, or equal ones would all go to the first of the list.
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
        self, work: StageWork, looked_at: list[TargetView], n_candidates: int
    ) -> Chosen:
        now_s = time.monotonic()
        scored = sorted(
            (
                view.predicted_s(work, now_s),
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
            wait_s=view.wait_s(work.governing.entry, now_s),
            predicted_s=best_s,
            n_candidates=n_candidates,
            second=second,
            second_s=scored[1][0] if second is not None else 0.0,
        )
