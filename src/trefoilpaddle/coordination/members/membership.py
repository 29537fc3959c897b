"""Fleet membership by gossip: changes are flooded, digests are compared.

Each process sends changes to a few peers at once. Periodic comparisons of
digests with these peers repair what the flooding missed.
"""

import asyncio
import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import PeerError
from ...protocol.frames import Message
from ...protocol.gen.membership.ttypes import Gossip, GossipAnswer
from ...protocol.gen.stage.ttypes import Hello
from ...state.journal import Decision, Event
from ...state.members import MemberRecord, MemberState, MemberTable
from ...transport.connection import Address, Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .member_wire import digests_from_wire, digests_to_wire, from_wire, to_wire
from .overlay import neighbours
from .probe import probe_link

COMPARE_PERIOD_S: Final = 2.0
"""Mean time between two periodic comparisons of digests."""

FLOOD_DELAY_S: Final = 0.05
"""Changes within this time are sent in one message.

The loss of a failure domain, which changes many records, takes one message.
"""

REQUEST_TIMEOUT_S: Final = 1.0
"""Longest wait for a link to open, and for a response on it."""

LINK_CHECK_PERIOD_S: Final = 0.1
"""Time between two checks for newly opened links to children.

Half of the time for which a starting gateway waits for changes of the others.
"""

N_ROUNDS_PER_UNKNOWN_ADDRESS: Final = 3
"""Comparison rounds between two exchanges with a process that is no live member."""

N_MISMATCHES: Final = 2
"""Consecutive mismatches of digests after which members are exchanged.

A single mismatch may come from changes that are still in transit.
"""

EVENT_OF: Final = {
    MemberState.LIVE: Event.MEMBER_JOINED,
    MemberState.SUSPECT: Event.MEMBER_SUSPECTED,
    MemberState.LEAVING: Event.MEMBER_LEAVING,
    MemberState.DEAD: Event.MEMBER_DEAD,
}


class Membership:
    """This process's view of the members of the fleet.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    seeds : tuple of str
        Addresses to contact, in particular while no other member is known.

    Attributes
    ----------
    table : MemberTable
        The newest record of each process, this one included.
    children : list of MemberRecord
        The members to which this process keeps links and sends changes.
    own : MemberRecord
        The record of this process.
    last_change_s : dict of str to float
        Monotonic time of the last change of each process's record.
    seen_live : set of str
        Ids of the processes that were live at some time, as seen from this one.
    """

    __slots__ = (
        "_child_ids",
        "_children_version",
        "_has_updates",
        "_live",
        "_live_version",
        "_n_mismatches",
        "_pending_updates",
        "_present_ids",
        "_process",
        "_seeds",
        "children",
        "last_change_s",
        "own",
        "seen_live",
        "table",
    )

    def __init__(self, *, process: OwnProcess, seeds: tuple[str, ...]) -> None:
        self._process = process
        self._seeds = seeds
        self._pending_updates: dict[str, MemberRecord] = {}
        self._has_updates = asyncio.Event()
        self._n_mismatches = 0
        self._children_version = -1
        self._live: Sequence[MemberRecord] = ()
        self._live_version = -1
        self._present_ids: frozenset[str] = frozenset()
        self._child_ids: list[str] = []
        self.table = MemberTable()
        self.children: list[MemberRecord] = []
        self.last_change_s: dict[str, float] = {}
        self.seen_live: set[str] = set()
        self.own = self._first_record()
        self._set_own(self.own)
        process.server.add_handler(Gossip, self.answer)
        process.message_listeners.append(self._on_peer_message)

    def _first_record(self) -> MemberRecord:
        identity = self._process.identity
        return MemberRecord(
            process_id=identity.process_id,
            incarnation=identity.incarnation,
            address=str(self._process.server.address),
            role=identity.role,
            failure_domain=identity.failure_domain,
            region=identity.region,
            service=identity.service,
            target=identity.target,
            state=MemberState.LIVE,
            beat=1,
            millicores=identity.millicores,
        )

    def apply_records(self, records: Iterable[MemberRecord]) -> None:
        """Apply records received from a peer and forward those that were new."""
        for record in records:
            if record.process_id == self.own.process_id:
                self._refute_outdated(record)
            elif self.table.merge([_with_stop_time(record)]):
                if record.state is MemberState.LIVE:
                    self.seen_live.add(record.process_id)
                self._record_change(record)

    def report_state(self, process_id: str, state: MemberState) -> None:
        """Set and spread the state of another process as observed by this one."""
        record = self.table.set_state(process_id, state)
        if record is not None:
            self._record_change(record)

    def forget(self, process_id: str) -> None:
        """Remove the record of a process."""
        self.table.forget(process_id)
        self.last_change_s.pop(process_id, None)
        self.seen_live.discard(process_id)

    def announce_leaving(self) -> None:
        """Announce to the fleet that this process is leaving."""
        now_s = time.monotonic()
        self.last_change_s[self.own.process_id] = now_s
        self._set_own(
            replace(
                self.own,
                state=MemberState.LEAVING,
                beat=self.own.beat + 1,
                leaving_since_s=now_s,
            )
        )

    def live(self) -> Sequence[MemberRecord]:
        """Return the members in state LIVE, this process included.

        The same object is returned until a record changes.
        """
        if self._live_version != self.table.version:
            self._live_version = self.table.version
            self._live = tuple(
                record
                for record in self.table.records.values()
                if record.state is MemberState.LIVE
            )
        return self._live

    def unknown_addresses(self) -> list[str]:
        """Return addresses of listed hosts and seeds that are not live members.

        They lead to the other side of a network partition that has ended, and
        are contacted first by a process that knows no other member.
        """
        return self._addresses_except(self.live())

    def unrecorded_addresses(self) -> list[str]:
        """Return addresses of listed hosts and seeds that no member's record has.

        Dead members do not count. Links reach those that are suspected or leaving.
        """
        return self._addresses_except(self.table.present())

    def _addresses_except(self, members: Iterable[MemberRecord]) -> list[str]:
        known = {member.address for member in members} | {self.own.address}
        listed = self._process.published.peer_addresses()
        return sorted({*self._seeds, *listed} - known)

    async def answer(self, request: Gossip, peer: Hello) -> GossipAnswer:
        """Respond to a peer that compares digests or exchanges members."""
        differing = self.table.differing(digests_from_wire(request.domains))
        self.apply_records(from_wire(request.members))
        members: list[MemberRecord] = []
        if request.domains:
            members = self.table.in_domains(differing)
        is_equal = request.digest == self.table.digest
        return GossipAnswer(
            members=[to_wire(record) for record in members],
            digest=self.table.digest,
            domains=[] if is_equal else digests_to_wire(self.table),
        )

    def update_children(self) -> bool:
        """Update the children if a member changed; return True if one had."""
        if self.table.version == self._children_version:
            return False
        self._children_version = self.table.version
        present = {record.process_id: record for record in self.table.present()}
        if present.keys() != self._present_ids:
            self._present_ids = frozenset(present)
            self._child_ids = neighbours(self.own.process_id, present)
        self.children = [present[process_id] for process_id in self._child_ids]
        return True

    def child_links(self) -> list[Link]:
        """Return the link to each child that has a valid address."""
        links = []
        for child in self.children:
            match Address.parse(child.address):
                case Ok(address):
                    links.append(self._process.peers.link(address))
                case Err(_):
                    continue
        return links

    async def flood_updates(self) -> None:
        """Send changed records to the children as they occur, until cancelled."""
        while True:
            await self._has_updates.wait()
            await asyncio.sleep(FLOOD_DELAY_S)
            self._has_updates.clear()
            members = [to_wire(record) for record in self._pending_updates.values()]
            self._pending_updates = {}
            message = Gossip(sender=self.own.process_id, members=members)
            for link in self.child_links():
                link.send(message)

    async def compare_new_links(self) -> None:
        """Compare digests with each child once its link has opened, until cancelled.

        Changes that are sent before a link is open are lost: a starting process
        receives records of the others before it has links to them. Otherwise two
        groups that only this process knew would stay separate until digests had
        differed twice, and both would take duties that only one should have.
        """
        compared: dict[Address, Connection] = {}
        while True:
            links = {link.address: link for link in self.child_links()}
            compared = {
                peer_address: last_connection
                for peer_address, last_connection in compared.items()
                if peer_address in links
            }
            for address, link in links.items():
                connection = link.connection
                if connection is None or compared.get(address) is connection:
                    continue
                compared[address] = connection
                await self._compare(link, n_mismatches=1)
            await asyncio.sleep(LINK_CHECK_PERIOD_S)

    async def compare_periodically(self) -> None:
        """Compare digests with the children in turn, until cancelled."""
        n_rounds = 0
        while True:
            await asyncio.sleep(COMPARE_PERIOD_S * random.uniform(0.75, 1.25))
            n_rounds += 1
            responsive = [link for link in self.child_links() if link.is_responsive()]
            if responsive:
                await self._compare(responsive[n_rounds % len(responsive)])
            if not responsive or n_rounds % N_ROUNDS_PER_UNKNOWN_ADDRESS == 0:
                await self.exchange_with_unknown()

    async def exchange_with_unknown(self) -> None:
        """Exchange members with a random listed host or seed that is no live member."""
        addresses = self.unknown_addresses()
        if addresses:
            await self.exchange_at(random.choice(addresses))

    async def exchange_at(self, address_text: str) -> bool:
        """Exchange all members with the process at an address; True if it responded."""
        match Address.parse(address_text):
            case Ok(address):
                async with probe_link(self._process, address) as link:
                    return await self._is_open_in_time(link) and await self.exchange(
                        link
                    )
            case Err(_):
                return False

    async def _is_open_in_time(self, link: Link) -> bool:
        """Wait until a link is open; return False if that takes too long.

        The records to send are collected only after that. A process that starts to
        listen a little later than others would otherwise be sent the records known
        before those had responded: it would know one member for seconds, and take
        duties that others have.
        """
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await link.opened.wait()
        except TimeoutError:
            return False
        return True

    async def announce_planned_stop(self) -> None:
        """Announce that this process is leaving once its planned stop has begun."""
        await self._process.stopping.wait()
        self.announce_leaving()

    async def _compare(self, link: Link, *, n_mismatches: int = N_MISMATCHES) -> None:
        """Compare digests; exchange members on the `n_mismatches`-th mismatch."""
        members = [to_wire(self.own), *self._suspicion_of_peer(link)]
        request = Gossip(
            sender=self.own.process_id, members=members, digest=self.table.digest
        )
        answer = await self._request(link, request)
        if answer.is_err():
            return
        self._n_mismatches += 1
        if answer.unwrap().digest == self.table.digest:
            self._n_mismatches = 0
        if self._n_mismatches >= n_mismatches:
            self._n_mismatches = 0
            await self.exchange(link, known=answer.unwrap())

    def _suspicion_of_peer(self, link: Link) -> list[Message]:
        """Return the peer's record if it is suspected, for the peer to refute it."""
        peer = link.peer
        record = self.table.records.get(peer.process_id) if peer else None
        if record is None or record.state is not MemberState.SUSPECT:
            return []
        return [to_wire(record)]

    async def exchange(self, link: Link, known: GossipAnswer | None = None) -> bool:
        """Exchange members with a peer; return True if it responded.

        Parameters
        ----------
        link : Link
            Link to the peer.
        known : GossipAnswer, optional
            Digests of the peer; only members of failure domains whose digests
            differ are sent. All members are sent without it.
        """
        differing = set(self.table.digests)
        if known is not None:
            differing = self.table.differing(digests_from_wire(known.domains))
        members = self.table.in_domains(differing)
        request = Gossip(
            sender=self.own.process_id,
            members=[to_wire(record) for record in members],
            digest=self.table.digest,
            domains=digests_to_wire(self.table),
        )
        match await self._request(link, request):
            case Ok(answer):
                self.apply_records(from_wire(answer.members))
                return True
            case Err(_):
                return False

    async def _request(
        self, link: Link, request: Gossip
    ) -> Result[GossipAnswer, PeerError]:
        # An exception here would end the calling loop, and with it the process.
        match await link.ask(request, timeout_s=REQUEST_TIMEOUT_S):
            case Ok(GossipAnswer() as answer):
                return Ok(answer)
            case Ok(unexpected):
                return Err(
                    PeerError.unexpected_reply(unexpected, peer=str(link.address))
                )
            case Err(error):
                return Err(error)

    def _refute_outdated(self, record: MemberRecord) -> None:
        """Refute a record of this process that takes precedence over its own.

        After a restart or a pause the others may still hold a record of an earlier
        incarnation, or one that marks this process as suspected.
        """
        if record == self.own or not record.supersedes(self.own):
            return
        self._set_own(replace(self.own, beat=record.beat + 1))

    def _set_own(self, record: MemberRecord) -> None:
        self.own = record
        self.table.merge([record])
        self._queue_update(record)

    def _record_change(self, record: MemberRecord) -> None:
        self.last_change_s[record.process_id] = time.monotonic()
        self._process.journal.record(
            Decision(
                event=EVENT_OF[record.state],
                config_revision=self._process.published.catalogue_revision,
                peer=record.process_id,
                detail=f"{record.address} in {record.failure_domain}",
            )
        )
        if record.state is MemberState.LIVE:
            self._redial_now(record)
        self._queue_update(record)

    def _redial_now(self, record: MemberRecord) -> None:
        """Make a waiting link dial a process that is live again.

        The link may wait up to a second before its next attempt; in a rolling
        replacement of targets the next target would leave before that.
        """
        match Address.parse(record.address):
            case Ok(address):
                link = self._process.peers.links.get(address)
                if link is not None and link.connection is None:
                    link.dial_now()
            case Err(_):
                return

    def _queue_update(self, record: MemberRecord) -> None:
        self._pending_updates[record.process_id] = record
        self._has_updates.set()

    def _on_peer_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Gossip):
            self.apply_records(from_wire(message.members))


def _with_stop_time(record: MemberRecord) -> MemberRecord:
    """Return a record that states when its process announced its stop.

    An earlier build does not state it; the stop is then as old as its news.
    """
    if record.state is not MemberState.LEAVING or record.leaving_since_s is not None:
        return record
    return replace(record, leaving_since_s=time.monotonic())
