"""Sends what this gateway knows of the store to peers, and queries them.

The store may refuse some gateways while it serves the others. Without peers, a
refused gateway would use outdated keys, routes and workers for as long as that
lasts.
"""

import asyncio
import math
import random
import time
from collections.abc import Sequence
from typing import Final

from result import Err, Ok

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StorePull, StoreState
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.list_digest import ListDigest
from ...state.chain.workers import WorkerTable
from ...state.members import MemberRecord
from ...transport.connection import Address
from ..own_process import OwnProcess
from .evacuations import Evacuations
from .published_store import PublishedTable
from .store_position import StorePosition
from .store_wire import digest_of, is_credible, listed_to_wire, position_of
from .table_transfer import TableTransfer
from .view_age import ViewAge
from .worker_listing import WorkerListing

QUERY_TIMEOUT_S: Final = 0.3
"""Longest wait for a peer; many times the latency of a message within a region."""

MAX_ANSWERED_MS: Final = 3_600_000
"""Largest age sent for the store's last response; it fits the field."""

N_PEERS_QUERIED: Final = 2
"""Peers queried at a time; the store may refuse one of them as well."""


class StoreRelay:
    """Exchanges between gateways what the store has published.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and holds connections to them.
    workers : WorkerTable
        Workers that the store lists, and those in their grace period.

    Attributes
    ----------
    age : ViewAge
        How old this gateway's list may be.
    answered_s : float or None
        Monotonic time of the store's last response to this gateway.
    evacuations : Evacuations or None
        Knows which failure domains get no work; set by its owner.
    listing : WorkerListing or None
        Knows which workers are in their grace period; set by its owner.
    needs_list : bool
        True while this gateway's list is not reliable.
    published : PublishedTable or None
        The newest table known to this gateway.
    position : StorePosition
        Position up to which this gateway knows the store's changes.
    table_position : StorePosition
        Position up to which the store has no newer table than `published`.
    is_unavailable : bool
        True while this gateway cannot read the store itself.
    transfer : TableTransfer
        Exchanges tables with peers.
    """

    __slots__ = (
        "_process",
        "_workers",
        "age",
        "answered_s",
        "evacuations",
        "is_unavailable",
        "listing",
        "needs_list",
        "position",
        "published",
        "table_position",
        "transfer",
    )

    def __init__(self, *, process: OwnProcess, workers: WorkerTable) -> None:
        self._process = process
        self._workers = workers
        self.age = ViewAge()
        self.answered_s: float | None = None
        self.evacuations: Evacuations | None = None
        self.listing: WorkerListing | None = None
        self.needs_list = False
        self.published: PublishedTable | None = None
        self.position = StorePosition()
        self.table_position = StorePosition()
        self.is_unavailable = False
        self.transfer = TableTransfer(process=process, published=lambda: self.published)
        process.server.add_handler(StorePull, self.respond)

    async def respond(self, request: StorePull, peer: Hello) -> StoreState:
        """Return what is newer than what the requesting peer knows."""
        state = StoreState(
            era=self.position.era,
            revision=self.position.revision,
            is_away=self.is_unavailable,
            table_revision=self.table_position.revision,
        )
        digest = self._digest() if self.position.is_known else ListDigest()
        state.digest, state.domain_digest = digest.entries, digest.domains
        state.version_digest = digest.versions
        state.slot_digest = digest.slots
        if self.evacuations is not None:
            state.evacuated = sorted(self.evacuations.domains)
        if self.answered_s is not None:
            age_s = time.monotonic() - self.answered_s
            state.answered_ms = min(int(age_s * MS_PER_S), MAX_ANSWERED_MS)
        if self.age.is_known:
            state.view_age_ms = math.ceil(self.age.age_s * MS_PER_S)
        published = self.published
        if published is not None:
            state.version = published.table.version
            if state.version > request.version and not request.takes_parts:
                state.data = published.data
        # Heartbeats advance the revision all the time, even if no list changes.
        is_known = digest.is_known and digest.matches(digest_of(request))
        is_newer = self.position > position_of(request)
        has_list = self.position.is_known and not self.needs_list
        if is_newer and not is_known and has_list:
            self._add_workers(state)
        return state

    def _digest(self) -> ListDigest:
        """Return the digest of the list, also if there is no reliable list."""
        if self.listing is None or self.needs_list:
            return ListDigest()
        return self.listing.digest

    def _add_workers(self, state: StoreState) -> None:
        state.workers = [listed_to_wire(worker) for worker in self._workers.all()]
        if self.listing is not None:
            state.lapsed = self.listing.expired_ids()
            state.doubted = [listed_to_wire(w) for w in self.listing.unconfirmed()]
            state.back_ms = self.listing.recovery_age_ms(time.monotonic())

    async def query_peers(
        self, members: Sequence[MemberRecord], own_id: str
    ) -> list[StoreState]:
        """Return what some live peers know of the store."""
        others = [member for member in members if member.process_id != own_id]
        queried = random.sample(others, min(N_PEERS_QUERIED, len(others)))
        # Concurrently: a peer that does not respond must not delay the other.
        responses = await asyncio.gather(*(self.query(member) for member in queried))
        return [response for response in responses if response is not None]

    def build_request(self) -> StorePull:
        """Return a request that states the position of this gateway's view.

        A gateway that needs the complete list accepts one of its own revision, but
        none of an earlier one: its next read of the store requests what came after
        the latest known revision.
        """
        version = 0 if self.published is None else self.published.table.version
        revision = self.position.revision
        digest = self._digest()
        return StorePull(
            era=self.position.era,
            revision=revision - 1 if self.needs_list else revision,
            version=version,
            digest=digest.entries,
            domain_digest=digest.domains,
            version_digest=digest.versions,
            slot_digest=digest.slots,
            takes_parts=True,
        )

    async def query(self, member: MemberRecord) -> StoreState | None:
        """Return what a gateway knows of the store; None if it does not respond."""
        match Address.parse(member.address):
            case Ok(address):
                link = self._process.peers.link(address)
            case Err(_):
                return None
        request = self.build_request()
        match await link.ask(request, timeout_s=QUERY_TIMEOUT_S):
            case Ok(StoreState() as state):
                is_newer = is_credible(state) and state.version > request.version
                if is_newer and not state.data:
                    self.transfer.add_holder(address, state.version)
                return state
            case _:
                return None
