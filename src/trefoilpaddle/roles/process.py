"""Components common to gateway and sidecar: identity, peers, signals."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from absl import logging

from ..protocol.const import PROTOCOL_VERSION
from ..protocol.frames import NEWEST_KIND, Message
from ..protocol.gen.stage.ttypes import Heartbeat, Hello, Load
from ..protocol.ids import new_incarnation
from ..state.journal import Decision, Event, Figure, Journal
from ..state.published import Published
from ..transport.connection import CLOSE_TIMEOUT_S, Address, Connection
from ..transport.link import Link
from ..transport.peers import Peers
from ..transport.server import PeerServer

if TYPE_CHECKING:
    from ..state.settings import ProcessSettings

STOP_SIGNALS: Final[tuple[signal.Signals, ...]] = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
)
"""Signals that request a planned stop of the process.

A hangup without a handler would terminate the process immediately and interrupt all
open requests.
"""

LoadReader = Callable[[], Load]
LinkListener = Callable[[Link, Message], None]
ConnectionListener = Callable[[Connection, Message], None]
CloseListener = Callable[[Connection], None]
ChangeListener = Callable[[Link], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of a process.

    Parameters
    ----------
    process_id : str
        Host and role; stable across restarts.
    incarnation : int
        Positive number, new at each start.
    role : str
        ``"gateway"`` or ``"sidecar"``.
    failure_domain, region : str
        Location of its host.
    service, target : str
        Service and target of a sidecar; empty for a gateway.
    millicores : int
        CPU that the process may use, in thousandths of a core; 0 if unknown.
    """

    process_id: str
    incarnation: int
    role: str
    failure_domain: str
    region: str
    service: str = ""
    target: str = ""
    millicores: int = 0


def identity_of(
    *, process: "ProcessSettings", role: str, service: str = "", target: str = ""
) -> Identity:
    """Return the identity of a process that starts with these settings."""
    return Identity(
        process_id=f"{process.host}-{role}",
        incarnation=new_incarnation(),
        role=role,
        failure_domain=process.failure_domain,
        region=process.region,
        service=service,
        target=target,
    )


class Process:
    """Components that both roles share; each role adds its own.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    listen : Address
        Address to listen on for peers.
    journal : Journal
        Records the decisions of this process.

    Attributes
    ----------
    close_timeout_s : callable
        Returns the longest time in seconds for each step of closing the
        connections to peers.
    request_stop : callable
        Called on a stop signal.
    n_interrupted : int
        Number of requests or calls that the stop has interrupted.
    stop_signals : tuple of signal.Signals
        Signals for which the event loop calls `request_stop`.
    """

    __slots__ = (
        "change_listeners",
        "close_listeners",
        "close_timeout_s",
        "identity",
        "journal",
        "link_listeners",
        "load_reader",
        "message_listeners",
        "n_interrupted",
        "peers",
        "published",
        "request_stop",
        "server",
        "stop_signals",
        "stopping",
    )

    def __init__(
        self, *, identity: Identity, listen: Address, journal: Journal
    ) -> None:
        self.identity = identity
        self.journal = journal
        self.published = Published()
        self.stopping = asyncio.Event()
        self.stop_signals = STOP_SIGNALS
        self.request_stop: Callable[[], None] = self.stopping.set
        self.load_reader: LoadReader = self._minimal_load
        self.link_listeners: list[LinkListener] = []
        self.message_listeners: list[ConnectionListener] = []
        self.close_listeners: list[CloseListener] = []
        self.n_interrupted = 0
        self.close_timeout_s: Callable[[], float] = lambda: CLOSE_TIMEOUT_S
        self.change_listeners: list[ChangeListener] = []
        self.peers = Peers(
            own_hello=self.hello,
            own_heartbeat=self.heartbeat,
            on_message=self._on_link_message,
            on_change=self._on_link_change,
            close_timeout_s=lambda: self.close_timeout_s(),
        )
        self.server = PeerServer(
            address=listen,
            own_hello=self.hello,
            own_heartbeat=self.heartbeat,
            on_message=self._on_peer_message,
            on_close=self._on_peer_close,
            close_timeout_s=lambda: self.close_timeout_s(),
        )

    def hello(self) -> Hello:
        """Return the hello message that this process sends on a new connection."""
        return Hello(
            version=PROTOCOL_VERSION,
            process_id=self.identity.process_id,
            incarnation=self.identity.incarnation,
            role=self.identity.role,
            failure_domain=self.identity.failure_domain,
            service_name=self.identity.service,
            target=self.identity.target,
            config_revision=self.published.catalogue_revision,
            stamp_ns=time.monotonic_ns(),
            newest_kind=NEWEST_KIND,
        )

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(load=self.load_reader())

    def _minimal_load(self) -> Load:
        return Load(
            stamp_ns=time.monotonic_ns(),
            leaving=self.stopping.is_set(),
            config_revision=self.published.catalogue_revision,
        )

    def _on_link_message(self, link: Link, message: Message) -> None:
        for listener in self.link_listeners:
            listener(link, message)

    def _on_link_change(self, link: Link) -> None:
        for listener in self.change_listeners:
            listener(link)

    def _on_peer_message(self, connection: Connection, message: Message) -> None:
        for listener in self.message_listeners:
            listener(connection, message)

    def _on_peer_close(self, connection: Connection) -> None:
        for listener in self.close_listeners:
            listener(connection)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Process"]:
        """Listen for peers and signals while the context is open.

        Raises
        ------
        OSError
            If the peer port is held by another process.
        """
        loop = asyncio.get_running_loop()
        for number in self.stop_signals:
            # Under nohup, a hangup remains ignored.
            if signal.getsignal(number) is signal.SIG_IGN and number == signal.SIGHUP:
                continue
            loop.add_signal_handler(number, self.request_stop)
        async with self.server.listening(), self.peers.open():
            self.journal.record(
                Decision(event=Event.PROCESS_STARTED, peer=self.identity.process_id)
            )
            yield self
        self.journal.record(
            Decision(
                event=Event.PROCESS_STOPPED,
                peer=self.identity.process_id,
                figures=(Figure(name="n_cut_off", value=self.n_interrupted),),
            )
        )
        self.journal.flush()
        logging.flush()
