"""The transport as coordination uses it: a query to the peer at an address."""

from typing import Protocol

from result import Err, Ok, Result

from ...protocol.errors import PeerError
from ...protocol.frames import Message
from ...transport.connection import Address


class PeerClient(Protocol):
    """Sends queries to peers; `transport.peers.Peers` implements it."""

    async def ask(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Return the reply of the peer at `address`, or the error of a step."""
        ...


async def query_address(
    client: PeerClient, address: str, message: Message, *, timeout_s: float
) -> Result[Message, PeerError]:
    """Query the peer whose address is given as the text ``ip:port``."""
    match Address.parse(address):
        case Ok(parsed):
            return await client.ask(parsed, message, timeout_s=timeout_s)
        case Err(problem):
            error = PeerError(
                step="connect", peer=address, detail=problem, is_sent=False
            )
            return Err(error)
