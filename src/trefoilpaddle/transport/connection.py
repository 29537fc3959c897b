"""One framed connection to a peer, after both sides have said hello."""

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
from ..protocol.frames import Frame, Message, encode
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
        """Return the address that `text`, ``ip:port``, spells."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdecimal() or int(port) > MAX_PORT:
            return Err(f"{text!r} is not IP:PORT")
        return Ok(cls(ip=ip, port=int(port)))


class Connection:
    """A connection on which frames pass both ways.

    Parameters
    ----------
    reader, writer : asyncio streams
        The open streams.
    own : Hello
        What this process says of itself.

    Attributes
    ----------
    all_received : asyncio.Event
        Set once nothing more can come from the peer that wants an answer: it has
        said so after `request_close`, or the connection has ended.
    """

    __slots__ = (
        "_close_requested",
        "_ended",
        "_frames",
        "_is_closed",
        "_is_finished",
        "_is_reading",
        "_reader",
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
        self._frames = FrameReader()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._close_requested = False
        self._ended = asyncio.Event()
        self._is_closed = False
        self._is_finished = False
        self._is_reading = False
        self.own = own
        self.peer = Hello()
        self.last_received_s = time.monotonic()
        self.hello_received_ns = 0
        self.pending: list[Frame] = []
        self.all_received = asyncio.Event()

    @property
    def peer_name(self) -> str:
        """Process id of the peer, or its address before it has said hello."""
        return self.peer.process_id or str(self._writer.get_extra_info("peername"))

    def is_closing(self) -> bool:
        """Return True if nothing more can be sent."""
        return self._is_finished or self._writer.is_closing()

    def write(self, message: Message, *, call: int = 0) -> bool:
        """Queue `message` for sending; return False if the connection is closed.

        All that is written in one turn of the event loop leaves in one call of
        the kernel, which costs more than a small frame. A peer that stops
        reading while control messages pile up is cut off rather than allowed to
        fill this process's memory.
        """
        if self.is_closing():
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
        """Wait until the peer takes what was written; a closed one is no error."""
        self._flush()
        with contextlib.suppress(OSError):
            await self._writer.drain()

    async def keep_alive(
        self, own_heartbeat: Callable[[], Heartbeat], n_ticks: Callable[[], int]
    ) -> None:
        """Send heartbeats until the connection closes or the peer is dead.

        One goes out every `n_ticks` times ``HEARTBEAT_S``.

        A peer whose host vanished sends no FIN and would keep its connection
        open for ever. Silence is counted in own heartbeats, not on the clock:
        after a pause of this process the peer's heartbeats still wait unread,
        and the clock would blame the peer for the pause. One that has said that it
        closes is judged like any other: it may vanish before it does.
        """
        n_silent = 0
        last_received_s = self.last_received_s
        for tick in itertools.count():
            if self._writer.is_closing():
                return
            if tick % n_ticks() == 0:
                self._send_heartbeat(own_heartbeat)
            await aligned_sleep(HEARTBEAT_S)
            n_silent = n_silent + 1 if self.last_received_s == last_received_s else 0
            last_received_s = self.last_received_s
            if n_silent * HEARTBEAT_S > DEAD_AFTER_S:
                logging.warning("%s is silent; connection dropped", self.peer_name)
                self.abort()

    def _send_heartbeat(self, own_heartbeat: Callable[[], Heartbeat]) -> None:
        # One heartbeat that cannot be made must not end all later ones: the
        # peer would take this process for paused and send it no more work.
        try:
            self.write(own_heartbeat())
        except Exception:
            logging.exception("no heartbeat for %s", self.peer_name)

    async def exchange_hello(self) -> Result[Hello, PeerError]:
        """Send our hello and return the peer's, refusing another version."""
        self.write(self.own)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                frame = await self._first_frame()
        except TimeoutError:
            return self._error("no hello in time")
        if frame is None or not isinstance(frame.message, Hello):
            return self._error("the first frame was not a hello")
        if frame.message.version != PROTOCOL_VERSION:
            return self._error(f"speaks version {frame.message.version}")
        if not 0 < len(frame.message.process_id) <= MAX_NAME_CHARS:
            return self._error("its process id is empty or too long")
        if self._is_own(frame.message):
            return self._error("is this process itself")
        self.hello_received_ns = time.monotonic_ns()
        self.peer = frame.message
        return Ok(self.peer)

    def _is_own(self, hello: Hello) -> bool:
        # Dialling a dead local port can make the kernel join the socket to
        # itself. The link would look alive and hold the port against the
        # restart of the process that listened there.
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
        match self._frames.feed(data):
            case Ok(frames):
                TRAFFIC.n_frames_received += len(frames)
                TRAFFIC.received_bytes += len(data)
                self.pending += frames
                return True
            case Err(problem):
                logging.warning("%s: stream closed: %s", self.peer_name, problem)
                self.abort()
                return False

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield frames until the peer closes, breaks or garbles the stream."""
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
            self._ended.set()
            self.all_received.set()

    def request_close(self) -> None:
        """Ask the peer to send nothing more, once it has sent what it must.

        What it sent before it heard of the close is still on its way. A process
        that only closed its sending side read that too, but its answers went
        nowhere: the peer saw the connection end and could not tell what had run.
        """
        self._close_requested = True
        self.write(Closing())

    def _on_closing(self) -> None:
        if self._close_requested:
            self.all_received.set()
            return
        self.write(Closing())
        self._is_finished = True

    def abort(self) -> None:
        """Close at once, dropping what is unsent; does nothing once closed."""
        if not self._is_closed:
            self._is_closed = True
            self.all_received.set()
            self._writer.transport.abort()

    async def close(self, *, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Send what is queued, then close; a peer that never reads is dropped.

        Closing a socket with unread bytes makes the kernel reset it, and the
        peer then loses what was sent last. So only the sending side closes
        first, and the rest when the peer has closed its side.
        """
        self._flush()
        self._is_finished = True
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer.can_write_eof():
                    self._writer.write_eof()
                else:
                    self._writer.close()
                await self._peer_closes()
        except (OSError, RuntimeError):
            # OSError is a timeout too; the loop raises RuntimeError where the
            # peer's reset closed the socket a moment before.
            pass
        self.abort()

    async def _peer_closes(self) -> None:
        if self._is_reading:
            await self._ended.wait()
            return
        while await self._read_more():
            self.pending.clear()

    def _error(self, detail: str) -> Err[PeerError]:
        error = PeerError(
            step="hello", peer=self.peer_name, detail=detail, is_sent=False
        )
        return Err(error)
