"""A gateway's view of a target: its load as reported, and this gateway's calls."""

import time
from collections.abc import Iterator, Set
from typing import Final

from ...protocol.gen.stage.ttypes import Load
from ...state.catalogue import Entry
from ...state.hosts import Host
from ...state.slowness import MAX_SLOWNESS
from ...transport.connection import Address
from ...transport.link import Link
from ...transport.peers import Peers
from ..targets.stage_work import StageWork
from .predicted_wait import predicted_wait_s, slowness
from .unreported_calls import UnreportedCalls

DEFAULT_SLOTS: Final = 4
"""Number of slots assumed for a target that has not reported yet."""

OCCUPANCY_SLOWDOWN: Final = 0.4
"""Relative increase of a call's duration where all slots are taken.

A batching engine runs slower steps then. Also ranks targets without a queue by how
many of their slots are taken.
"""

CALL_WEIGHT: Final = 0.1
"""Weight of one call in the moving average of a target's slowness ratio."""

SLOW_CALL_WEIGHT: Final = 0.3
"""Weight of a call that was far too slow."""

SLOW_RATIO: Final = 3.0
"""Ratio to the prediction from which on a call counts as far too slow."""

PROBE_WEIGHT: Final = 0.7
"""Weight of a probe of an ejected target, which gets few calls."""


class TargetView:
    """One target: its sidecar's last report, aged, plus this gateway's own calls.

    Parameters
    ----------
    host : Host
        The sidecar of the target.
    address : Address
        Address that the sidecar listens on.
    link : Link
        Link to the sidecar.
    """

    __slots__ = (
        "address",
        "host",
        "is_ejected",
        "link",
        "load",
        "load_at_s",
        "n_outstanding",
        "n_ratios",
        "probe_at_s",
        "probe_wait_s",
        "ratio",
        "stamp_at_ns",
        "stamp_ns",
        "unreported",
        "was_responsive",
    )

    def __init__(self, *, host: Host, address: Address, link: Link) -> None:
        self.host = host
        self.address = address
        self.link = link
        self.load: Load | None = None
        self.load_at_s = 0.0
        self.stamp_ns = 0
        self.stamp_at_ns = 0
        self.n_outstanding = 0
        self.unreported = UnreportedCalls()
        self.ratio = 1.0
        self.n_ratios = 0
        self.is_ejected = False
        self.probe_at_s = 0.0
        self.probe_wait_s = 0.0
        self.was_responsive = False

    @property
    def process_id(self) -> str:
        """Process id of the sidecar."""
        return self.host.process_id

    @property
    def incarnation(self) -> int:
        """Incarnation of the connected sidecar; 0 without a connection."""
        peer = self.link.peer
        return peer.incarnation if peer is not None else 0

    def may_get_work(self) -> bool:
        """Return True if the sidecar responds, is not leaving and its target is up."""
        if not self.link.can_send():
            return False
        return self.load is None or not (self.load.leaving or not self.load.target_up)

    def apply_load(self, load: Load) -> None:
        """Apply a load report; it includes all calls that had arrived before it."""
        self.load = load
        self.load_at_s = time.monotonic()
        self.unreported.reported()
        self.record_stamp(load.stamp_ns)

    def adopt_hello_stamp(self) -> None:
        """Take over the stamp of a hello that arrived before this view existed.

        Membership and configuration open links too. A view that is created on an
        open link receives no hello. Its first call would carry no stamp, and the
        sidecar would refuse it as meant for a previous incarnation.
        """
        connection = self.link.connection
        if connection is not None:
            self.stamp_ns = connection.peer.stamp_ns
            self.stamp_at_ns = connection.hello_received_ns

    def record_stamp(self, stamp_ns: int) -> None:
        """Record the latest stamp of the sidecar's clock and when it arrived."""
        self.stamp_ns = stamp_ns
        self.stamp_at_ns = time.monotonic_ns()

    def sent(self, work: StageWork) -> None:
        """Count a call that was sent and that no report can include yet."""
        self.n_outstanding += 1
        self.unreported.sent(work.governing.entry.owner, work.expected_s)

    def arrived(self, work: StageWork) -> None:
        """Record that a call has reached the sidecar; the next report includes it."""
        self.unreported.arrived(work.governing.entry.owner, work.expected_s)

    def ended(self) -> None:
        """Count a call as ended."""
        self.n_outstanding -= 1

    def learn(self, *, measured_s: float, expected_s: float) -> None:
        """Update the slowness ratio, which decides about ejection, with one call.

        A call that is far too slow weighs more, so that few more calls are sent to
        the target. The probe of an ejected target weighs more, since it gets few
        calls.
        """
        if expected_s <= 0.0:
            return
        ratio = min(MAX_SLOWNESS, measured_s / expected_s)
        self.n_ratios += 1
        usual_step = SLOW_CALL_WEIGHT if ratio >= SLOW_RATIO else CALL_WEIGHT
        step = max(usual_step, 1.0 / self.n_ratios)
        if self.is_ejected:
            step = PROBE_WEIGHT
        self.ratio += step * (ratio - self.ratio)

    def wait_s(self, entry: Entry, now_s: float) -> float:
        """Return the predicted queueing time of a call of `entry` sent now."""
        if self.load is None:
            return self.unreported.total_s() / DEFAULT_SLOTS
        return predicted_wait_s(
            self.load, self.unreported, entry, age_s=now_s - self.load_at_s
        )

    def predicted_s(self, work: StageWork, now_s: float) -> float:
        """Return the predicted seconds until `work` is answered if sent now.

        Calls that are batched together slow each other down, so a target with free
        slots is not as fast as an idle one.
        """
        slow = slowness(self.load) if self.load is not None else 1.0
        service_s = (
            work.expected_s * slow * (1.0 + OCCUPANCY_SLOWDOWN * self.slot_occupancy())
        )
        return self.wait_s(work.governing.entry, now_s) + service_s

    def n_free_slots(self) -> int:
        """Return how many calls would start immediately; 0 if work is queued."""
        if self.load is None or self.load.n_queued:
            return 0
        n_taken = self.load.n_running + self.unreported.n_calls()
        return max(0, self.load.n_slots - n_taken)

    def slot_occupancy(self) -> float:
        """Return the share of slots that is taken, this gateway's calls included."""
        if self.load is None:
            return min(1.0, self.n_outstanding / DEFAULT_SLOTS)
        n_taken = self.load.n_running + self.unreported.n_calls()
        return min(1.0, n_taken / max(1, self.load.n_slots))


class TargetViews:
    """The views of all targets that this gateway has considered.

    Parameters
    ----------
    peers : Peers
        Opens the links.
    """

    __slots__ = ("_by_address", "_by_id", "_on_new", "_peers")

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers
        self._by_id: dict[str, TargetView] = {}
        self._by_address: dict[Address, TargetView] = {}

    def of(self, host: Host) -> TargetView | None:
        """Return the view of `host`, created on first use; None if unusable."""
        view = self._by_id.get(host.process_id)
        if view is not None and self._is_current(view, host):
            return view
        address = Address.parse(host.peer_address).unwrap_or(None)
        if address is None:
            return None
        view = TargetView(host=host, address=address, link=self._peers.link(address))
        view.adopt_hello_stamp()
        self._by_id[host.process_id] = view
        self._by_address[address] = view
        return view

    def by_link(self, link: Link) -> TargetView | None:
        """Return the view whose link this is, or None."""
        return self._by_address.get(link.address)

    def __iter__(self) -> Iterator[TargetView]:
        return iter(list(self._by_id.values()))

    def retain(self, wanted: Set[str]) -> None:
        """Remove idle views of processes that are not among `wanted`."""
        for view in self:
            if view.n_outstanding or view.process_id in wanted:
                continue
            del self._by_id[view.process_id]
            self._by_address.pop(view.address, None)

    def _is_current(self, view: TargetView, host: Host) -> bool:
        """Return True if the view's link is the one that is open to `host`.

        Another part of the process may have closed the link and opened a new one.
        """
        if view.host.peer_address != host.peer_address:
            return False
        return self._peers.links.get(view.address) is view.link
