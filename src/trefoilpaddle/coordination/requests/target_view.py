"""What a gateway knows of one target: its sidecar's load and its own calls."""

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
"""Slots assumed of a target that has not reported yet."""

OCCUPANCY_SLOWDOWN: Final = 0.4
"""How much longer a call takes, in part of its time, where all slots are taken;
a batching engine makes slower steps then. Also tells idle targets apart."""

CALL_WEIGHT: Final = 0.1
"""Weight of one call in how much slower than predicted a target is."""

SLOW_CALL_WEIGHT: Final = 0.3
"""The same of a call that was far too slow."""

SLOW_RATIO: Final = 3.0
"""Times the prediction from which on a call counts as far too slow."""

PROBE_WEIGHT: Final = 0.7
"""The same weight of a probe of an ejected target, which gets few calls."""


class TargetView:
    """One target as its sidecar reported it, aged, with own calls added.

    Parameters
    ----------
    host : Host
        The sidecar beside the target.
    address : Address
        Where the sidecar listens.
    link : Link
        The connection to it.
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
        """Incarnation of the sidecar that is connected; 0 without one."""
        peer = self.link.peer
        return peer.incarnation if peer is not None else 0

    def may_get_work(self) -> bool:
        """Return True if the sidecar is heard, not leaving and its target up."""
        if not self.link.takes():
            return False
        return self.load is None or not (self.load.leaving or not self.load.target_up)

    def apply_load(self, load: Load) -> None:
        """Take in a report of the sidecar; it counts what had arrived before."""
        self.load = load
        self.load_at_s = time.monotonic()
        self.unreported.reported()
        self.record_stamp(load.stamp_ns)

    def adopt_hello_stamp(self) -> None:
        """Take the stamp of a hello that came before this view was made.

        Membership and configuration open links too. A view made on an open link
        hears of no hello; its first call would carry no stamp, and the sidecar
        would refuse it as meant for a former start.
        """
        connection = self.link.connection
        if connection is not None:
            self.stamp_ns = connection.peer.stamp_ns
            self.stamp_at_ns = connection.hello_at_ns

    def record_stamp(self, stamp_ns: int) -> None:
        """Remember the newest stamp of the sidecar's clock and when it came."""
        self.stamp_ns = stamp_ns
        self.stamp_at_ns = time.monotonic_ns()

    def sent(self, work: StageWork) -> None:
        """Count a call sent that no report can hold yet."""
        self.n_outstanding += 1
        self.unreported.sent(work.governing.entry.owner, work.expected_s)

    def arrived(self, work: StageWork) -> None:
        """Note that a call has reached the sidecar; the next report holds it."""
        self.unreported.arrived(work.governing.entry.owner, work.expected_s)

    def ended(self) -> None:
        """Count a call as over."""
        self.n_outstanding -= 1

    def learn(self, *, measured_s: float, expected_s: float) -> None:
        """Take in how much slower than expected a call was; for ejection.

        A call that is far too slow counts more, since few more are to be sent
        there; so does the probe of an ejected target, since it gets so few.
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
        """Return the predicted seconds until `work`, sent now, is answered.

        Work that is batched slows what it is batched with, so a target with
        free slots is not as good as an idle one.
        """
        slow = slowness(self.load) if self.load is not None else 1.0
        service_s = (
            work.expected_s * slow * (1.0 + OCCUPANCY_SLOWDOWN * self.slot_occupancy())
        )
        return self.wait_s(work.governing.entry, now_s) + service_s

    def n_free_slots(self) -> int:
        """Return how many calls would start at once; none where work waits."""
        if self.load is None or self.load.n_queued:
            return 0
        n_taken = self.load.n_running + self.unreported.n_calls()
        return max(0, self.load.n_slots - n_taken)

    def slot_occupancy(self) -> float:
        """Return which part of the target's slots is taken, own calls included."""
        if self.load is None:
            return min(1.0, self.n_outstanding / DEFAULT_SLOTS)
        n_taken = self.load.n_running + self.unreported.n_calls()
        return min(1.0, n_taken / max(1, self.load.n_slots))


class TargetViews:
    """The views of all targets that this gateway has looked at.

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
        """Return the view of `host`, linked on first use; None if unusable."""
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
        """Forget idle views of processes that are not among `wanted`."""
        for view in self:
            if view.n_outstanding or view.process_id in wanted:
                continue
            del self._by_id[view.process_id]
            self._by_address.pop(view.address, None)

    def _is_current(self, view: TargetView, host: Host) -> bool:
        """Return True if the view's link is the one that is open to `host`.

        Whoever watches the links may have closed one and opened another since.
        """
        if view.host.peer_address != host.peer_address:
            return False
        return self._peers.links.get(view.address) is view.link
