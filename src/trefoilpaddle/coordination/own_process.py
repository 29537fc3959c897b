"""Protocols of the process that the coordination modules run in."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..protocol.frames import Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello
from ..state.journal import Journal
from ..transport.connection import Connection
from ..transport.link import Link
from ..transport.peers import Peers
from ..transport.server import PeerServer

if TYPE_CHECKING:
    from ..state.published import Published


class OwnIdentity(Protocol):
    """Identity of the process."""

    @property
    def process_id(self) -> str:
        """Identifier that is stable across restarts."""

    @property
    def incarnation(self) -> int:
        """Number that is new at each start of the process."""

    @property
    def role(self) -> str:
        """``"gateway"`` or ``"sidecar"``."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of the process."""

    @property
    def region(self) -> str:
        """Region of the failure domain."""

    @property
    def service(self) -> str:
        """Service of a sidecar; empty for a gateway."""

    @property
    def target(self) -> str:
        """Target of a sidecar; empty for a gateway."""

    @property
    def millicores(self) -> int:
        """Processor capacity in thousandths of a core; 0 if unknown."""


class OwnProcess(Protocol):
    """The process that the coordination modules run in."""

    @property
    def identity(self) -> OwnIdentity:
        """Identity of the process."""

    @property
    def journal(self) -> Journal:
        """Records the decisions of the process."""

    @property
    def published(self) -> "Published":
        """The active catalogue and host list."""

    @property
    def peers(self) -> Peers:
        """The links that the process dials."""

    @property
    def server(self) -> PeerServer:
        """The server that accepts connections of peers."""

    @property
    def stopping(self) -> asyncio.Event:
        """Set once a planned stop has begun."""

    @property
    def link_listeners(self) -> list[Callable[[Link, Message], None]]:
        """Called with each message on a dialled link that responds to no request."""

    @property
    def message_listeners(self) -> list[Callable[[Connection, Message], None]]:
        """Called with each message from a dialling peer that is not a request."""

    def hello(self) -> Hello:
        """Return the message that introduces this process on a new connection."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
