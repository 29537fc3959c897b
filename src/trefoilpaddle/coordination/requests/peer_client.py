"""What coordination needs of the transport: a question to an address."""

from typing import Protocol

from result import Err, Ok, Result

from ...protocol.errors import PeerError
from ...protocol.frames import Message
from ...transport.connection import Address


class PeerClient(Protocol):
    """Asks peers; `transport.peers.Peers` is one."""

    async def ask(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Return the reply of the peer at `address`, or the step that failed."""
        ...


async def query_address(
    asker: PeerClient, address: str, message: Message, *, timeout_s: float
) -> Result[Message, PeerError]:
    """Ask the peer whose address is written ``ip:port``."""
    match Address.parse(address):
        case Ok(parsed):
            return await asker.ask(parsed, message, timeout_s=timeout_s)
        case Err(problem):
            error = PeerError(
                step="connect", peer=address, detail=problem, is_sent=False
            )
            return Err(error)
