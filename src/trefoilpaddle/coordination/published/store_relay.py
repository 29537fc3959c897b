"""Tells peers what this gateway knows of the store, and asks them in turn.

The store may turn some gateways away while it serves the others. A gateway
that reads on by itself would go on using keys, routes and workers that are
gone for as long as that lasts.
"""

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Final

from result import Err, Ok

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import StorePull, StoreState
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.workers import WorkerTable
from ...state.members import MemberRecord
from ...transport.connection import Address
from ..own_process import OwnProcess
from .published_store import PublishedTable
from .store_position import StorePosition
from .store_wire import listed_to_wire, position_of
from .worker_listing import WorkerListing

QUERY_TIMEOUT_S: Final = 0.3
"""Longest wait for a peer; many times a message's way within a region."""

MAX_ANSWERED_MS: Final = 3_600_000
"""Longest time told since the store's last answer; it fits the field."""

N_PEERS_QUERIED: Final = 2
"""Peers asked at a time; one of them may be turned away as well."""


class StoreRelay:
    """Passes on between gateways what the store has published.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and keeps links to them.
    workers : WorkerTable
        As the store lists them, with those that may come back.

    Attributes
    ----------
    answered_s : float or None
        Monotonic time at which the store answered this gateway last.
    listing : WorkerListing or None
        Says which of them may come back; set by who keeps it.
    needs_list : bool
        True while this gateway's list cannot be relied on.
    published : PublishedTable or None
        The newest table known here.
    position : StorePosition
        Up to which this gateway knows the store's changes.
    is_unavailable : bool
        True while this gateway cannot read the store itself.
    """

    __slots__ = (
        "_process",
        "_workers",
        "answered_s",
        "is_unavailable",
        "listing",
        "needs_list",
        "position",
        "published",
    )

    def __init__(self, *, process: OwnProcess, workers: WorkerTable) -> None:
        self._process = process
        self._workers = workers
        self.answered_s: float | None = None
        self.listing: WorkerListing | None = None
        self.needs_list = False
        self.published: PublishedTable | None = None
        self.position = StorePosition()
        self.is_unavailable = False
        process.server.answer(StorePull, self.respond)

    async def respond(self, question: StorePull, peer: Hello) -> StoreState:
        """Answer a peer with what is newer than what it knows."""
        state = StoreState(
            era=self.position.era,
            revision=self.position.revision,
            is_away=self.is_unavailable,
            digest=self._digest() if self.position.is_known else 0,
        )
        if self.answered_s is not None:
            age_s = time.monotonic() - self.answered_s
            state.answered_ms = min(int(age_s * MS_PER_S), MAX_ANSWERED_MS)
        published = self.published
        if published is not None:
            state.version = published.table.version
            if state.version > question.version:
                state.data = published.data
        # Heartbeats move the revision all the time, also while no list changes.
        is_known = state.digest != 0 and state.digest == question.digest
        is_newer = self.position > position_of(question)
        has_list = self.position.is_known and not self.needs_list
        if is_newer and not is_known and has_list:
            self._add_workers(state)
        return state

    def _digest(self) -> int:
        """Return the digest of the list; 0 if there is none to go by."""
        if self.listing is None or self.needs_list:
            return 0
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
        """Return what some live peers know."""
        others = [member for member in members if member.process_id != own_id]
        asked = random.sample(others, min(N_PEERS_QUERIED, len(others)))
        # Side by side: one that does not answer must not put off the other.
        answers = await asyncio.gather(*(self._ask(member) for member in asked))
        return [answer for answer in answers if answer is not None]

    def build_request(self) -> StorePull:
        """Return what peers are asked, with how far this gateway's view has got.

        Who needs the whole list takes one of its own revision, but none before
        it: the store is asked next for what came after the furthest known.
        """
        version = 0 if self.published is None else self.published.table.version
        revision = self.position.revision
        return StorePull(
            era=self.position.era,
            revision=revision - 1 if self.needs_list else revision,
            version=version,
            digest=self._digest(),
        )

    async def _ask(self, member: MemberRecord) -> StoreState | None:
        match Address.parse(member.address):
            case Ok(address):
                link = self._process.peers.link(address)
            case Err(_):
                return None
        match await link.ask(self.build_request(), timeout_s=QUERY_TIMEOUT_S):
            case Ok(StoreState() as state):
                return state
            case _:
                return None
