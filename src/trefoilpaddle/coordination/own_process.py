"""What coordination needs of the process that it runs in."""

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
    """Who the process is."""

    @property
    def process_id(self) -> str:
        """Stable over restarts."""

    @property
    def incarnation(self) -> int:
        """New at each start."""

    @property
    def role(self) -> str:
        """``"gateway"`` or ``"sidecar"``."""

    @property
    def failure_domain(self) -> str:
        """Where it stands."""

    @property
    def region(self) -> str:
        """Region of the failure domain."""

    @property
    def service(self) -> str:
        """Of a sidecar."""

    @property
    def target(self) -> str:
        """Of a sidecar."""

    @property
    def millicores(self) -> int:
        """Processor that it may use, in thousandths of a core; 0 if untold."""


class OwnProcess(Protocol):
    """The process, as far as coordination deals with it."""

    @property
    def identity(self) -> OwnIdentity:
        """Who it is."""

    @property
    def journal(self) -> Journal:
        """Takes its decisions."""

    @property
    def published(self) -> "Published":
        """The catalogue and the host list in force."""

    @property
    def peers(self) -> Peers:
        """The links that it dials."""

    @property
    def server(self) -> PeerServer:
        """Where its peers reach it."""

    @property
    def stopping(self) -> asyncio.Event:
        """Set once a planned stop has begun."""

    @property
    def link_listeners(self) -> list[Callable[[Link, Message], None]]:
        """Called with each message on a dialled link that answers nothing."""

    @property
    def message_listeners(self) -> list[Callable[[Connection, Message], None]]:
        """Called with each message from a dialling peer that asks nothing."""

    def hello(self) -> Hello:
        """Return what this process says of itself on a new connection."""

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
