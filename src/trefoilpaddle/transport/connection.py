"""One framed connection to a peer, with the exchange of hellos that opens it."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ..protocol.const import HEARTBEAT_S, PROTOCOL_VERSION, UNRESPONSIVE_AFTER_S
from ..protocol.errors import PeerError
from ..protocol.frames import Frame, Message, encode, is_read_by
from ..protocol.gen.stage.ttypes import Closing, Heartbeat, Hello
from ..protocol.reader import FrameReader
from .aligned import aligned_sleep
from .traffic import TRAFFIC

READ_BYTES: Final = 128 * 1024
HELLO_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 2.0
DEAD_AFTER_S: Final = 3 * UNRESPONSIVE_AFTER_S
MAX_NAME_CHARS: Final = 256
MAX_UNSENT_BYTES: Final = 16 * 1024 * 1024
MAX_PORT: Final = 65535


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Where a process listens for its peers."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Result[Address, str]":
        """Return the address written as ``ip:port`` in `text`, or why it is invalid."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdecimal() or int(port) > MAX_PORT:
            return Err(f"{text!r} is not IP:PORT")
        return Ok(cls(ip=ip, port=int(port)))


class Connection:
    """A connection that carries frames in both directions.

    Parameters
    ----------
    reader, writer : asyncio streams
        The open streams.
    own : Hello
        Hello message of this process.

    Attributes
    ----------
    last_received_s : float
        Monotonic time in seconds at which bytes last arrived from the peer.
    hello_received_ns : int
        Monotonic time in nanoseconds at which the peer's hello was accepted; 0
        before.
    all_received : asyncio.Event
        Set once the peer can send nothing more that needs a reply: it has
        confirmed this after `request_close`, or the connection has ended.
    """

    __slots__ = (
        "_close_requested",
        "_frame_reader",
        "_is_closed",
        "_is_reading",
        "_is_send_closed",
        "_reader",
        "_reading_ended",
        "_unsent",
        "_unsent_bytes",
        "_writer",
        "all_received",
        "hello_received_ns",
        "last_received_s",
        "own",
        "peer",
        "pending",
    )

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: Hello,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._frame_reader = FrameReader()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._close_requested = False
        self._reading_ended = asyncio.Event()
        self._is_closed = False
        self._is_send_closed = False
        self._is_reading = False
        self.own = own
        self.peer = Hello()
        self.last_received_s = time.monotonic()
        self.hello_received_ns = 0
        self.pending: list[Frame] = []
        self.all_received = asyncio.Event()

    @property
    def peer_name(self) -> str:
        """Process id of the peer, or its address before its hello has arrived."""
        return self.peer.process_id or str(self._writer.get_extra_info("peername"))

    def is_closing(self) -> bool:
        """Return True if nothing more can be sent."""
        return self._is_send_closed or self._writer.is_closing()

    def write(self, message: Message, *, call: int = 0) -> bool:
        """Queue `message` for sending; return False if it cannot be sent.

        That is if the connection is closed, or the peer's build cannot read it.

        Everything written in one iteration of the event loop is sent with one
        system call, which costs more than a small frame. A peer that stops
        reading while messages accumulate is disconnected once more than
        ``MAX_UNSENT_BYTES`` are unsent, so that it cannot exhaust the memory of
        this process.
        """
        if self.is_closing() or not is_read_by(self.peer, message):
            return False
        data = encode(message, call=call)
        TRAFFIC.n_frames_sent += 1
        TRAFFIC.sent_bytes += len(data)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        queued_bytes = self._writer.transport.get_write_buffer_size()
        if queued_bytes + self._unsent_bytes > MAX_UNSENT_BYTES:
            self.abort()
            return False
        return True

    def _flush(self) -> None:
        data = b"".join(self._unsent)
        self._unsent.clear()
        self._unsent_bytes = 0
        if data and not self._writer.is_closing():
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has space; a closed connection is no error."""
        self._flush()
        with contextlib.suppress(OSError):
            await self._writer.drain()

    async def keep_alive(
        self, own_heartbeat: Callable[[], Heartbeat], n_ticks: Callable[[], int]
    ) -> None:
        """Send heartbeats until the connection closes or the peer is dead.

        A peer whose host disappears sends no FIN, and its connection would stay
        open forever. The time without data is counted in ticks of this loop, not
        by the clock: after a pause of this process, heartbeats of the peer are
        still unread, and the clock would attribute the pause to the peer. A peer
        that has announced its close is checked like any other, because its host
        may disappear before the connection is closed.

        Parameters
        ----------
        own_heartbeat : callable
            Returns the heartbeat to send now.
        n_ticks : callable
            Returns the heartbeat period as a multiple of ``HEARTBEAT_S``.
        """
        n_ticks_without_data = 0
        last_received_s = self.last_received_s
        for tick in itertools.count():
            if self._writer.is_closing():
                return
            if tick % n_ticks() == 0:
                self._send_heartbeat(own_heartbeat)
            await aligned_sleep(HEARTBEAT_S)
            n_ticks_without_data = (
                n_ticks_without_data + 1
                if self.last_received_s == last_received_s
                else 0
            )
            last_received_s = self.last_received_s
            if n_ticks_without_data * HEARTBEAT_S > DEAD_AFTER_S:
                logging.warning(
                    "%s is unresponsive; closing the connection", self.peer_name
                )
                self.abort()

    def _send_heartbeat(self, own_heartbeat: Callable[[], Heartbeat]) -> None:
        # A heartbeat that cannot be built must not stop the later ones: the peer
        # would consider this process paused and send it no more work.
        try:
            self.write(own_heartbeat())
        except Exception:
            logging.exception("the heartbeat for %s could not be sent", self.peer_name)

    async def exchange_hello(self) -> Result[Hello, PeerError]:
        """Send the own hello and return the peer's hello.

        A peer is refused if its hello does not arrive in time, is of another
        protocol version, has an invalid process id, or is this process's own.
        """
        self.write(self.own)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                frame = await self._first_frame()
        except TimeoutError:
            return self._hello_error("no hello in time")
        if frame is None or not isinstance(frame.message, Hello):
            return self._hello_error("the first frame was not a hello")
        if frame.message.version != PROTOCOL_VERSION:
            return self._hello_error(f"speaks version {frame.message.version}")
        if not 0 < len(frame.message.process_id) <= MAX_NAME_CHARS:
            return self._hello_error("its process id is empty or too long")
        if self._is_own(frame.message):
            return self._hello_error("is this process itself")
        self.hello_received_ns = time.monotonic_ns()
        self.peer = frame.message
        return Ok(self.peer)

    def _is_own(self, hello: Hello) -> bool:
        # Dialling a local port without a listener can make the kernel connect the
        # socket to itself. The link would look alive and occupy the port, so that
        # the process that listened there could not restart.
        own = (self.own.process_id, self.own.incarnation)
        return own == (hello.process_id, hello.incarnation)

    async def _first_frame(self) -> Frame | None:
        while not self.pending:
            if not await self._read_more():
                return None
        return self.pending.pop(0)

    async def _read_more(self) -> bool:
        try:
            data = await self._reader.read(READ_BYTES)
        except OSError:
            return False
        if not data:
            return False
        self.last_received_s = time.monotonic()
        match self._frame_reader.feed(data):
            case Ok(frames):
                TRAFFIC.n_frames_received += len(frames)
                TRAFFIC.received_bytes += len(data)
                self.pending += frames
                return True
            case Err(problem):
                logging.warning(
                    "%s: closing the connection after invalid data: %s",
                    self.peer_name,
                    problem,
                )
                self.abort()
                return False

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield frames until the connection ends or the peer sends invalid data."""
        self._is_reading = True
        try:
            while True:
                for frame in self.pending:
                    if isinstance(frame.message, Closing):
                        self._on_closing()
                    else:
                        yield frame
                self.pending = []
                if not await self._read_more():
                    return
        finally:
            self._is_reading = False
            self._reading_ended.set()
            self.all_received.set()

    def request_close(self) -> None:
        """Request that the peer send nothing more after what it has already sent.

        Messages that the peer sent before it received the request are still in
        flight and need replies. Closing only the sending side would let this
        process read them, but not reply: the peer would see the connection end
        and could not know which calls had run.
        """
        self._close_requested = True
        self.write(Closing())

    def _on_closing(self) -> None:
        if self._close_requested:
            self.all_received.set()
            return
        self.write(Closing())
        self._is_send_closed = True

    def abort(self) -> None:
        """Close at once and discard unsent data; do nothing if already closed."""
        if not self._is_closed:
            self._is_closed = True
            self.all_received.set()
            self._writer.transport.abort()

    async def close(self, *, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Send what is queued, then close; a peer that never reads is disconnected.

        Closing a socket with unread bytes makes the kernel reset the connection,
        and the peer loses what was sent last. Therefore the sending side is
        closed first, and the socket once the peer has closed its side.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for the peer.
        """
        self._flush()
        self._is_send_closed = True
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer.can_write_eof():
                    self._writer.write_eof()
                else:
                    self._writer.close()
                await self._wait_for_peer_close()
        except (OSError, RuntimeError):
            # TimeoutError is an OSError. The event loop raises RuntimeError if a
            # reset by the peer has just closed the socket.
            pass
        self.abort()

    async def _wait_for_peer_close(self) -> None:
        if self._is_reading:
            await self._reading_ended.wait()
            return
        while await self._read_more():
            self.pending.clear()

    def _hello_error(self, detail: str) -> Err[PeerError]:
        error = PeerError(
            step="hello", peer=self.peer_name, detail=detail, is_sent=False
        )
        return Err(error)
