"""Queries of a process before it accepts work: peers first, then the platform."""

import asyncio
import random
from typing import Final

from result import Err, Ok

from ...transport.connection import Address
from ..members.membership import Membership
from ..members.probe import probe_link
from ..own_process import OwnProcess
from .config_peers import ConfigPeers
from .config_readers import ConfigReader
from .config_state import ConfigState

N_RESPONSES: Final = 2
"""Responses of peers after which the highest revision counts as known."""

N_CONCURRENT_QUERIES: Final = 6
"""Number of peers queried at the same time."""

MAX_QUERIED: Final = 12
"""Largest number of peers queried before this process relies on the platform."""


class StartupSync:
    """Fetches members and configuration from peers, then reads if necessary.

    A configuration service that is stale or unavailable when a process starts or
    resumes after a pause offers an older revision than the one that is active in
    the fleet. Peers know the active one.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    membership : Membership
        Provides seeds, listed hosts and members.
    state : ConfigState
        The configuration known here.
    config_peers : ConfigPeers
        Pulls configuration from a peer.
    reader : ConfigReader
        Reads the platform.
    """

    __slots__ = ("_config_peers", "_membership", "_process", "_reader", "_state")

    def __init__(
        self,
        *,
        process: OwnProcess,
        membership: Membership,
        state: ConfigState,
        config_peers: ConfigPeers,
        reader: ConfigReader,
    ) -> None:
        self._process = process
        self._membership = membership
        self._state = state
        self._config_peers = config_peers
        self._reader = reader

    async def run(self) -> None:
        """Query peers, then the platform if needed, and mark the queries as done."""
        if not self._process.published.hosts.hosts:
            await self._reader.read_hosts()
        n_responses = await self._query_peers()
        if n_responses == 0 or self._state.items.revision == 0:
            await self._reader.read_values()
        self._state.set_peers_queried(True)

    async def _query_peers(self) -> int:
        candidates = self._candidates()
        n_responses = 0
        while candidates and n_responses < N_RESPONSES:
            batch, candidates = (
                candidates[:N_CONCURRENT_QUERIES],
                candidates[N_CONCURRENT_QUERIES:],
            )
            responses = await asyncio.gather(*(self._query(text) for text in batch))
            n_responses += sum(responses)
        return n_responses

    def _candidates(self) -> list[str]:
        """Return the addresses to query in random order, live members first."""
        members = [
            record.address
            for record in self._membership.live()
            if record.process_id != self._membership.own.process_id
        ]
        unknown = self._membership.unknown_addresses()
        random.shuffle(members)
        random.shuffle(unknown)
        return (members + unknown)[:MAX_QUERIED]

    async def _query(self, address_text: str) -> bool:
        match Address.parse(address_text):
            case Ok(address):
                async with probe_link(self._process, address) as link:
                    if not await self._membership.exchange(link):
                        return False
                    return await self._config_peers.pull(link)
            case Err(_):
                return False
