"""Tells peers what this gateway knows of the store, and asks them in turn.

The store may turn some gateways away while it serves the others. A gateway
that reads on by itself would go on using keys, routes and workers that are
gone for as long as that lasts.
"""

import random
from typing import Final

from result import Err, Ok

from ...protocol.gen.chain.ttypes import StorePull, StoreState
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.workers import WorkerTable
from ...state.members import MemberRecord
from ...transport.connection import Address
from ...transport.link import Link
from ..own_process import OwnProcess
from .published_store import PublishedTable
from .store_wire import listed_to_wire

ASK_TIMEOUT_S: Final = 0.3
"""Longest wait for a peer; many times a message's way within a region."""

N_ASKED: Final = 2
"""Peers asked at a time; one of them may be turned away as well."""


class StoreRelay:
    """Passes on between gateways what the store has published.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and keeps links to them.
    workers : WorkerTable
        As the store lists them.

    Attributes
    ----------
    published : PublishedTable or None
        The newest table known here.
    revision : int
        Store revision up to which this gateway knows the changes.
    is_away : bool
        True while this gateway cannot read the store itself.
    """

    __slots__ = ("_process", "_workers", "is_away", "published", "revision")

    def __init__(self, *, process: OwnProcess, workers: WorkerTable) -> None:
        self._process = process
        self._workers = workers
        self.published: PublishedTable | None = None
        self.revision = 0
        self.is_away = False
        process.server.answer(StorePull, self.answer)

    async def answer(self, question: StorePull, peer: Hello) -> StoreState:
        """Answer a peer with what is newer than what it knows."""
        state = StoreState(revision=self.revision, is_away=self.is_away)
        published = self.published
        if published is not None:
            state.version = published.table.version
            if state.version > question.version:
                state.data = published.data
        if self.revision > question.revision:
            state.workers = [listed_to_wire(worker) for worker in self._workers.all()]
        return state

    async def ask(self, members: list[MemberRecord], own_id: str) -> list[StoreState]:
        """Return what some live peers know."""
        others = [member for member in members if member.process_id != own_id]
        states = []
        for member in random.sample(others, min(N_ASKED, len(others))):
            match Address.parse(member.address):
                case Ok(address):
                    state = await self._ask(self._process.peers.link(address))
                    if state is not None:
                        states.append(state)
                case Err(_):
                    continue
        return states

    def question(self) -> StorePull:
        """Return what peers are asked, with how far this gateway's view has got."""
        version = 0 if self.published is None else self.published.table.version
        return StorePull(revision=self.revision, version=version)

    async def _ask(self, link: Link) -> StoreState | None:
        match await link.ask(self.question(), timeout_s=ASK_TIMEOUT_S):
            case Ok(StoreState() as state):
                return state
            case _:
                return None
