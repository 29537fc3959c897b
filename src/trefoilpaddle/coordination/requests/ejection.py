"""Keeps slow targets out for a while, and probes them back in."""

import statistics
import time
from typing import Final

from ...protocol.reasons import Reason
from ...state.journal import Decision, Event, Figure, Journal
from .target_view import TargetView

MIN_SAMPLES: Final = 5
"""Calls measured before a target is judged, or counts as a peer of others."""

SUSPECT_RATIO: Final = 1.5
"""Times the prediction from which on a target is compared with its peers."""

EJECT_RATIO: Final = 2.5
"""Times its peers' median from which on a target is ejected."""

READMIT_RATIO: Final = 1.5
"""Times its peers' median up to which a probed target is taken back."""

MIN_ACTIVE: Final = 2
"""Targets of a service that always stay in."""

MAX_EJECTED_SHARE: Final = 1 / 3
"""Largest part of a service's targets that may be out."""

PROBE_WAIT_S: Final = 1.0
"""Wait before the first probe of an ejected target; doubled after a slow one."""

MAX_PROBE_WAIT_S: Final = 8.0
"""Longest wait between two probes."""


class Ejector:
    """Ejects targets that are slower than their peers, within a floor.

    A target is judged by how long its calls take beside what was predicted for
    them, compared with the median of the other targets of its service. The
    floor guards against the opposite fault: when a whole service slows down,
    ejecting on and on would leave its load to the last few.

    Parameters
    ----------
    journal : Journal
        Takes the decisions.
    is_on : bool
        False ejects nothing; the baseline.
    """

    __slots__ = ("_is_on", "_journal")

    def __init__(self, *, journal: Journal, is_on: bool) -> None:
        self._journal = journal
        self._is_on = is_on

    def usable(
        self, views: list[TargetView], *, is_repeatable: bool
    ) -> list[TargetView]:
        """Return the targets that are not out; one due for a probe counts as in.

        Only a call that may be repeated is sent as a probe.
        """
        if not any(view.is_ejected for view in views):
            return views
        now_s = time.monotonic()
        probes = [v for v in views if v.is_ejected and now_s >= v.probe_at_s]
        if probes and is_repeatable:
            # One call at a time; its result decides, or the next due time.
            probes[0].probe_at_s = now_s + probes[0].probe_wait_s
            return probes[:1]
        return [view for view in views if not view.is_ejected] or views

    def is_suspect(self, view: TargetView) -> bool:
        """Return True if `view` is worth comparing with its peers."""
        return self._is_on and (view.is_ejected or view.ratio >= SUSPECT_RATIO)

    def judge(self, view: TargetView, peers: list[TargetView]) -> None:
        """Eject or readmit `view` after a call of it has been measured.

        Parameters
        ----------
        view : TargetView
            The target that was measured.
        peers : list of TargetView
            All targets of its service that may get work, itself included.
        """
        others = [p.ratio for p in peers if p is not view and p.n_ratios >= MIN_SAMPLES]
        if not others:
            return
        usual = max(0.1, statistics.median(others))
        relative = view.ratio / usual
        if view.is_ejected:
            self._judge_probe(view, relative)
        elif view.n_ratios >= MIN_SAMPLES and relative >= EJECT_RATIO:
            self._eject(view, peers, relative)

    def _judge_probe(self, view: TargetView, relative: float) -> None:
        if relative <= READMIT_RATIO:
            view.is_ejected = False
            view.probe_wait_s = PROBE_WAIT_S
            self._record(Event.TARGET_READMITTED, view, relative)
            return
        view.probe_wait_s = min(MAX_PROBE_WAIT_S, 2 * view.probe_wait_s)
        view.probe_at_s = time.monotonic() + view.probe_wait_s

    def _eject(
        self, view: TargetView, peers: list[TargetView], relative: float
    ) -> None:
        n_out = sum(peer.is_ejected for peer in peers) + 1
        if n_out > MAX_EJECTED_SHARE * len(peers) or len(peers) - n_out < MIN_ACTIVE:
            return
        view.is_ejected = True
        view.probe_wait_s = PROBE_WAIT_S
        view.probe_at_s = time.monotonic() + PROBE_WAIT_S
        self._record(Event.TARGET_EJECTED, view, relative)

    def _record(self, event: Event, view: TargetView, relative: float) -> None:
        self._journal.record(
            Decision(
                event=event,
                peer=view.process_id,
                reason=Reason.NONE,
                detail=f"{relative:.2g} times as slow as its peers",
                figures=(
                    Figure(name="ratio", value=view.ratio),
                    Figure(name="relative_ratio", value=relative),
                    Figure(name="probe_wait_s", value=view.probe_wait_s),
                ),
            )
        )
