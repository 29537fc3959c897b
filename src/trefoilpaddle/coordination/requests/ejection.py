"""Ejects slow targets for a while and readmits them after successful probes."""

import statistics
import time
from typing import Final

from ...protocol.reasons import Reason
from ...state.journal import Decision, Event, Figure, Journal
from .target_view import TargetView

MIN_SAMPLES: Final = 5
"""Measured calls before a target is judged or counts as a peer of others."""

SUSPECT_RATIO: Final = 1.5
"""Ratio to the prediction from which on a target is compared with its peers."""

EJECT_RATIO: Final = 2.5
"""Ratio to the median of its peers from which on a target is ejected."""

READMIT_RATIO: Final = 1.5
"""Ratio to the median of its peers up to which a probed target is readmitted."""

MIN_ACTIVE: Final = 2
"""Minimum number of targets of a service that are not ejected."""

MAX_EJECTED_SHARE: Final = 1 / 3
"""Largest share of a service's targets that may be ejected."""

PROBE_WAIT_S: Final = 1.0
"""Seconds before the first probe of an ejected target; doubled by a slow probe."""

MAX_PROBE_WAIT_S: Final = 8.0
"""Longest wait between two probes, in seconds."""


class Ejector:
    """Ejects targets that are slower than their peers, but never too many.

    A target is judged by the ratio of measured to predicted call times, compared
    with the median ratio of the other targets of its service. The bound on
    ejected targets guards against the opposite failure: when a whole service
    slows down, further ejections would leave its load to the last few targets.

    Parameters
    ----------
    journal : Journal
        Records the decisions.
    is_on : bool
        False ejects nothing; used as the baseline.
    """

    __slots__ = ("_is_on", "_journal")

    def __init__(self, *, journal: Journal, is_on: bool) -> None:
        self._journal = journal
        self._is_on = is_on

    def usable(
        self, views: list[TargetView], *, is_retryable: bool
    ) -> list[TargetView]:
        """Return the targets that are not ejected, or one that is to be probed.

        Only a call that may be retried is sent as a probe.
        """
        if not any(view.is_ejected for view in views):
            return views
        now_s = time.monotonic()
        probes = [v for v in views if v.is_ejected and now_s >= v.probe_at_s]
        if probes and is_retryable:
            # One probe at a time: the next one follows its result or its time-out.
            probes[0].probe_at_s = now_s + probes[0].probe_wait_s
            return probes[:1]
        return [view for view in views if not view.is_ejected] or views

    def is_suspect(self, view: TargetView) -> bool:
        """Return True if `view` is slow enough to be compared with its peers."""
        return self._is_on and (view.is_ejected or view.ratio >= SUSPECT_RATIO)

    def judge(self, view: TargetView, peers: list[TargetView]) -> None:
        """Eject or readmit `view` after one of its calls was measured.

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
        peer_median = max(0.1, statistics.median(others))
        relative_ratio = view.ratio / peer_median
        if view.is_ejected:
            self._judge_probe(view, relative_ratio)
        elif view.n_ratios >= MIN_SAMPLES and relative_ratio >= EJECT_RATIO:
            self._eject(view, peers, relative_ratio)

    def _judge_probe(self, view: TargetView, relative_ratio: float) -> None:
        if relative_ratio <= READMIT_RATIO:
            view.is_ejected = False
            view.probe_wait_s = PROBE_WAIT_S
            self._record(Event.TARGET_READMITTED, view, relative_ratio)
            return
        view.probe_wait_s = min(MAX_PROBE_WAIT_S, 2 * view.probe_wait_s)
        view.probe_at_s = time.monotonic() + view.probe_wait_s

    def _eject(
        self, view: TargetView, peers: list[TargetView], relative_ratio: float
    ) -> None:
        n_ejected = sum(peer.is_ejected for peer in peers) + 1
        if (
            n_ejected > MAX_EJECTED_SHARE * len(peers)
            or len(peers) - n_ejected < MIN_ACTIVE
        ):
            return
        view.is_ejected = True
        view.probe_wait_s = PROBE_WAIT_S
        view.probe_at_s = time.monotonic() + PROBE_WAIT_S
        self._record(Event.TARGET_EJECTED, view, relative_ratio)

    def _record(self, event: Event, view: TargetView, relative_ratio: float) -> None:
        self._journal.record(
            Decision(
                event=event,
                peer=view.process_id,
                reason=Reason.NONE,
                detail=f"{relative_ratio:.2g} times as slow as its peers",
                figures=(
                    Figure(name="ratio", value=view.ratio),
                    Figure(name="relative_ratio", value=relative_ratio),
                    Figure(name="probe_wait_s", value=view.probe_wait_s),
                ),
            )
        )
