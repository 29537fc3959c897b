"""A fake sidecar without a target: a real peer server with scripted replies."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.const import PROTOCOL_VERSION
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Ack,
    Bar,
    BarAnswer,
    BarState,
    BodyChunk,
    Cancel,
    Chunk,
    Credit,
    End,
    Fetch,
    Go,
    Heartbeat,
    Hello,
    Load,
    Queued,
    Ready,
    Start,
    Started,
)
from trefoilpaddle.protocol.ids import new_incarnation
from trefoilpaddle.state.hosts import Host
from trefoilpaddle.transport.connection import Address, Connection
from trefoilpaddle.transport.server import PeerServer


@dataclass
class Call:
    """One attempt as received by the sidecar."""

    sidecar: "FakeSidecar"
    connection: Connection
    start: Start
    body: bytes = b""
    is_cancelled: asyncio.Event = field(default_factory=asyncio.Event)
    is_go: asyncio.Event = field(default_factory=asyncio.Event)
    is_acked: asyncio.Event = field(default_factory=asyncio.Event)
    credit_bytes: int = 0
    fetches: list[int] = field(default_factory=list)

    def send(self, message: Message) -> bool:
        return self.connection.write(message)

    def started(self) -> None:
        self.sidecar.runs.append(self.start.request_id)
        self.send(Queued(attempt_id=self.start.attempt_id))
        self.send(Started(attempt_id=self.start.attempt_id))

    def chunk(self, seq: int, data: bytes) -> None:
        self.send(Chunk(attempt_id=self.start.attempt_id, seq=seq, data=data))

    def end(self, *chunks: bytes, bad_checksum: bool = False) -> None:
        body = b"".join(chunks)
        self.send(
            End(
                attempt_id=self.start.attempt_id,
                n_chunks=len(chunks),
                n_bytes=len(body),
                checksum=checksum(body) ^ int(bad_checksum),
                service_s=self.sidecar.service_s,
                cost_s=0.001,
                n_tokens=len(chunks),
                load=self.sidecar.load(),
            )
        )

    def answer(self, *chunks: bytes) -> None:
        self.started()
        for seq, data in enumerate(chunks):
            self.chunk(seq, data)
        self.end(*chunks)


Script = Callable[[Call], Awaitable[None]]
OnFetch = Callable[[Call, Fetch], None]


async def echo(call: Call) -> None:
    call.answer(b'{"echo": ', call.body or b"null", b"}")


class FakeSidecar:
    """Answers calls by its script and records the received calls."""

    def __init__(self, *, service: str, name: str, script: Script = echo) -> None:
        self.service = service
        self.name = name
        self.script = script
        self.incarnation = new_incarnation()
        self.leaving = False
        self.calls: list[Call] = []
        self.runs: list[str] = []
        self.n_bars = 0
        self.bar_state = BarState.BARRED
        self.n_target_slots = 4
        self.service_s = 0.001
        self.queued_work_s = 0.0
        self.n_queued = 0
        self.is_free = asyncio.Event()
        self.is_free.set()
        self.on_fetch: OnFetch = lambda call, fetch: None
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = self._server(0)

    def _server(self, port: int) -> PeerServer:
        server = PeerServer(
            address=Address(ip="127.0.0.1", port=port),
            own_hello=self.hello,
            own_heartbeat=lambda: Heartbeat(load=self.load()),
            on_message=self.on_message,
        )
        server.add_handler(Bar, self.on_bar)
        return server

    def hello(self) -> Hello:
        return Hello(
            version=PROTOCOL_VERSION,
            process_id=f"{self.name}-sidecar",
            incarnation=self.incarnation,
            role="sidecar",
            failure_domain="fd1",
            service_name=self.service,
            target=self.name,
            stamp_ns=time.monotonic_ns(),
        )

    def load(self) -> Load:
        return Load(
            stamp_ns=time.monotonic_ns(),
            n_slots=self.n_target_slots,
            n_queued=self.n_queued,
            queued_work_s=self.queued_work_s,
            leaving=self.leaving,
            target_up=True,
        )

    @property
    def port(self) -> int:
        assert self.server._server is not None
        port: int = self.server._server.sockets[0].getsockname()[1]
        return port

    def host(self) -> Host:
        return Host(
            name=self.name,
            failure_domain="fd1",
            role="sidecar",
            peer_address=f"127.0.0.1:{self.port}",
            service=self.service,
            target=self.name,
        )

    async def on_bar(self, bar: Bar, peer: Hello) -> BarAnswer:
        self.n_bars += 1
        return BarAnswer(attempt_id=bar.attempt_id, state=self.bar_state)

    def call_of(self, attempt_id: bytes) -> Call | None:
        for call in self.calls:
            if call.start.attempt_id == attempt_id:
                return call
        return None

    def on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, Start):
            call = Call(self, connection, message, body=message.body)
            call.credit_bytes = message.credit_bytes
            self.calls.append(call)
            if len(call.body) == message.body_bytes:
                self._run(call)
            return
        known = self.call_of(getattr(message, "attempt_id", b""))
        if known is None:
            return
        match message:
            case BodyChunk():
                known.body += message.data
                if len(known.body) == known.start.body_bytes:
                    self._run(known)
            case Cancel():
                known.is_cancelled.set()
            case Ack():
                known.is_acked.set()
            case Credit():
                known.credit_bytes += message.n_bytes
            case Fetch():
                known.connection = connection
                known.fetches.append(message.from_seq)
                self.on_fetch(known, message)
            case Go():
                known.is_go.set()

    def _run(self, call: Call) -> None:
        async def run() -> None:
            if call.start.reserve:
                await self.is_free.wait()
                call.send(Ready(attempt_id=call.start.attempt_id))
                await call.is_go.wait()
            await self.script(call)

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def restart(self) -> None:
        """Restart on the same port as a new incarnation."""
        port = self.port
        await self.close_server()
        self.incarnation = new_incarnation()
        self.server = self._server(port)
        await self.open_server()

    def abort_connections(self) -> None:
        """Abort every connection; the sidecar itself keeps running."""
        for connection in list(self.server.connections):
            connection.abort()

    async def open_server(self) -> None:
        self._context = self.server.listening()
        await self._context.__aenter__()

    async def close_server(self) -> None:
        self.abort_connections()
        await self._context.__aexit__(None, None, None)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["FakeSidecar"]:
        await self.open_server()
        try:
            yield self
        finally:
            for task in self._tasks:
                task.cancel()
            await self.close_server()
