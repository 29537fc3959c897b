"""A sidecar in this process with a fake target and a gateway's connection."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web
from result import Ok

from tests.waiting import until
from trefoilpaddle.protocol.checksum import RunningChecksum, checksum
from trefoilpaddle.protocol.const import PROTOCOL_VERSION
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Chunk,
    End,
    Failure,
    Hello,
    Start,
)
from trefoilpaddle.protocol.ids import new_attempt_id
from trefoilpaddle.roles.process import Process, identity_of
from trefoilpaddle.roles.sidecar import Sidecar
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.state.catalogue import ServiceKind
from trefoilpaddle.state.journal import Event, Journal
from trefoilpaddle.state.settings import (
    LogFormat,
    PlatformSettings,
    PolicySettings,
    ProcessSettings,
    RetentionSettings,
    SidecarSettings,
    StopSettings,
    TargetSettings,
)
from trefoilpaddle.transport.connection import Address, Connection

TIMEOUT_S = 10.0
NS_PER_S = 1_000_000_000
AMPLE_CREDIT_BYTES = 1 << 30


class FakeTarget:
    """Fake plain service and engine in one; tests set attributes to control it."""

    def __init__(self) -> None:
        self.port = 0
        self.runs: list[str] = []
        self.cancelled: list[str] = []
        self.resumed_from: list[int] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.status = 200
        self.headers: dict[str, str] = {}
        self.answer = b'{"result": 1}'
        self.n_tokens = 3
        self.disconnect_after: int | None = None
        self.knows_attempts = True
        self.token = "word "
        self.finish_reason = "stop"

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["FakeTarget"]:
        app = web.Application(client_max_size=1 << 26)
        app.router.add_get("/health", self._health)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/v1/resume/{attempt_id}", self._resume)
        app.router.add_post("/v1/cancel/{attempt_id}", self._cancel)
        app.router.add_post("/{path:.*}", self._plain)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = runner.addresses[0][1]
        try:
            yield self
        finally:
            self.gate.set()
            await runner.cleanup()

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response()

    async def _plain(self, request: web.Request) -> web.StreamResponse:
        self.runs.append(request.headers["X-Attempt-Id"])
        await request.read()
        await self.gate.wait()
        if self.disconnect_after is not None and request.transport is not None:
            request.transport.close()
        return web.Response(status=self.status, body=self.answer, headers=self.headers)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        self.runs.append(request.headers["X-Attempt-Id"])
        fields = orjson.loads(await request.read())
        assert fields["stream"] is True
        return await self._stream(request, 0, self.disconnect_after)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        if not self.knows_attempts:
            return web.Response(status=404)
        first = int(request.query["from_token"])
        self.resumed_from.append(first)
        return await self._stream(request, first, None)

    async def _stream(
        self, request: web.Request, first: int, disconnect_after: int | None
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for index in range(first, self.n_tokens):
            if disconnect_after is not None and index >= disconnect_after:
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(self._event(f"{index}{self.token}", None))
            await self.gate.wait()
        usage = {
            "prompt_tokens": 2,
            "completion_tokens": self.n_tokens,
            "prompt_tokens_details": {"cached_tokens": 1},
            "cost_s": 0.5,
        }
        await response.write(self._event("", usage) + b"data: [DONE]\n\n")
        return response

    def _event(self, text: str, usage: dict[str, Any] | None) -> bytes:
        finish = self.finish_reason if usage else None
        event: dict[str, Any] = {
            "choices": [{"index": 0, "text": text, "finish_reason": finish}]
        }
        if usage:
            event["usage"] = usage
        return b"data: " + orjson.dumps(event) + b"\n\n"

    async def _cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info["attempt_id"])
        return web.Response()


def settings_for(
    *,
    target_port: int,
    kind: ServiceKind = ServiceKind.PLAIN,
    policy: PolicySettings | None = None,
    retention: RetentionSettings | None = None,
    stop: StopSettings | None = None,
) -> SidecarSettings:
    return SidecarSettings(
        process=ProcessSettings(
            host="h1",
            failure_domain="fd1",
            listen=f"127.0.0.1:{free_port()}",
            operators_listen=f"127.0.0.1:{free_port()}",
        ),
        platform=PlatformSettings(
            config_url="http://127.0.0.1:9", hosts_url="http://127.0.0.1:9"
        ),
        target=TargetSettings(
            name="t1",
            service="s1",
            kind=kind,
            url=f"http://127.0.0.1:{target_port}",
            lock_port=free_port(),
        ),
        policy=policy or PolicySettings(),
        retention=retention or RetentionSettings(),
        stop=stop or StopSettings(drain_s=5.0),
    )


class SidecarHarness:
    """A sidecar in this process, with the events that it records."""

    def __init__(self, settings: SidecarSettings) -> None:
        identity = identity_of(
            process=settings.process,
            role="sidecar",
            service=settings.target.service,
            target=settings.target.name,
        )
        self.events: list[Event] = []
        journal = Journal(
            process_id=identity.process_id,
            n_records=1000,
            format=LogFormat.KEY_VALUE,
        )
        journal.subscribe(lambda decision: self.events.append(decision.event))
        port = int(settings.process.listen.rpartition(":")[2])
        self.address = Address(ip="127.0.0.1", port=port)
        self.process = Process(identity=identity, listen=self.address, journal=journal)
        self.sidecar = Sidecar(settings=settings, process=self.process)

    def gateway(self) -> contextlib.AbstractAsyncContextManager["GatewaySide"]:
        """Yield a new connection to the sidecar."""
        return connected(self.address)


@contextlib.asynccontextmanager
async def connected(address: Address) -> AsyncIterator["GatewaySide"]:
    """Yield the gateway's side of a new connection to the sidecar at `address`."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    hello = Hello(version=PROTOCOL_VERSION, process_id="g1-gateway", role="gateway")
    connection = Connection(reader=reader, writer=writer, own=hello)
    assert isinstance(await connection.exchange_hello(), Ok)
    side = GatewaySide(connection)
    task = asyncio.create_task(side.read())
    try:
        yield side
    finally:
        connection.abort()
        task.cancel()


@contextlib.asynccontextmanager
async def running_sidecar(settings: SidecarSettings) -> AsyncIterator[SidecarHarness]:
    harness = SidecarHarness(settings)
    async with harness.sidecar.open():
        yield harness


class GatewaySide:
    """The gateway's side of one connection; keeps the messages that it receives."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.messages: list[Message] = []
        self._calls = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Message]] = {}

    async def read(self) -> None:
        async for frame in self.connection.frames():
            if frame.call:
                self._replies.pop(frame.call).set_result(frame.message)
            else:
                self.messages.append(frame.message)

    async def request(self, message: Message) -> Any:
        call = next(self._calls)
        reply = asyncio.get_running_loop().create_future()
        self._replies[call] = reply
        self.connection.write(message, call=call)
        async with asyncio.timeout(TIMEOUT_S):
            return await reply

    def messages_of(self, kind: type[Any], attempt_id: bytes) -> list[Any]:
        return [
            message
            for message in self.messages
            if type(message) is kind and message.attempt_id == attempt_id
        ]

    async def first_message(self, kind: type, attempt_id: bytes) -> Any:
        await until(lambda: bool(self.messages_of(kind, attempt_id)))
        return self.messages_of(kind, attempt_id)[0]

    async def complete_answer(self, attempt_id: bytes) -> bytes:
        """Return the answer after checking count, order and checksum."""
        end: End = await self.first_message(End, attempt_id)
        chunks = self.messages_of(Chunk, attempt_id)
        assert [chunk.seq for chunk in chunks] == list(range(end.n_chunks))
        total = RunningChecksum()
        for chunk in chunks:
            total.add(chunk.data)
        assert total.value() == end.checksum
        return b"".join(chunk.data for chunk in chunks)

    async def failure(self, attempt_id: bytes) -> Failure:
        failure: Failure = await self.first_message(Failure, attempt_id)
        return failure

    def start(self, body: bytes = b'{"input": 1}', **fields: Any) -> bytes:
        """Send a start message and return its attempt id."""
        message = self.start_message(body, **fields)
        self.connection.write(message)
        return message.attempt_id

    def start_message(self, body: bytes = b'{"input": 1}', **fields: Any) -> Start:
        """Return a start message as a gateway sends it at this time."""
        values: dict[str, Any] = {
            "attempt_id": new_attempt_id(),
            "request_id": "r1",
            "owner": "o1",
            "path": "/work",
            "idempotent": True,
            "stamp_ns": self.connection.peer.stamp_ns,
            "elapsed_ns": time.monotonic_ns() - self.connection.peer.stamp_ns,
            "budget_ns": 10 * NS_PER_S,
            "body": body,
            "body_bytes": len(body),
            "body_checksum": checksum(body),
            "credit_bytes": AMPLE_CREDIT_BYTES,
            "incarnation": self.connection.peer.incarnation,
        }
        return Start(**(values | fields))


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSetup:
    """A target, its sidecar and one gateway connection."""

    target: FakeTarget
    harness: SidecarHarness
    gateway: GatewaySide


@contextlib.asynccontextmanager
async def sidecar_setup(**settings: Any) -> AsyncIterator[SidecarSetup]:
    """Run a fake target, its sidecar with `settings`, and one connection."""
    async with FakeTarget().serving() as target:
        checked = settings_for(target_port=target.port, **settings)
        async with running_sidecar(checked) as harness, harness.gateway() as gateway:
            yield SidecarSetup(target=target, harness=harness, gateway=gateway)
