"""The close of an HTTP listener: no request ends without an answer."""

import asyncio
import contextlib
import socket
import ssl
import time
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

import aiohttp
import pytest
from aiohttp import web, web_protocol

from tests.waiting import until
from trefoilpaddle.transport import http_listener, lingering
from trefoilpaddle.transport.http_connection import ConnectionLimits, raw_answer
from trefoilpaddle.transport.http_listener import HttpListener

IP = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
REFUSAL = raw_answer(HTTPStatus.SERVICE_UNAVAILABLE, {}, b"stopping")
CLOSE_S = 2.0


class Listening:
    """A listener of which each request is answered with ``served``."""

    def __init__(
        self,
        *,
        max_connections: int | None = None,
        keepalive_timeout: float = 60.0,
        tls: ssl.SSLContext | None = None,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        self.http = web.Server(
            self._serve,
            handler_cancellation=True,
            keepalive_timeout=keepalive_timeout,
        )
        self.listener = HttpListener(
            http=self.http,
            refusal=REFUSAL,
            max_connections=max_connections,
            tls=tls,
            limits=limits,
        )
        self.port = 0
        self.work_s = 0.0
        self.text = "served"
        self.n_served = 0

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.n_served += 1
        await asyncio.sleep(self.work_s)
        return web.Response(text=self.text)

    async def close(self) -> None:
        await self.listener.close(until_s=time.monotonic() + CLOSE_S)
        await self.listener.interrupt()

    @contextlib.asynccontextmanager
    async def open(self, port: int = 0) -> AsyncIterator["Listening"]:
        self.port = await self.listener.open(IP, port)
        try:
            yield self
        finally:
            await self.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(IP, self.port)


def connect_unaccepted(port: int) -> socket.socket:
    """Connect, in the same iteration of the event loop, before it can accept."""
    caller = socket.create_connection((IP, port), timeout=CLOSE_S)
    caller.setblocking(False)
    return caller


async def read_all(caller: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    got = b""
    while more := await loop.sock_recv(caller, 1 << 16):
        got += more
    return got


@pytest.fixture(params=["filter", "no filter"])
def with_and_without_filter(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    if request.param == "no filter":
        monkeypatch.setattr(http_listener, "drop_new_connections", lambda _: False)


@pytest.mark.usefixtures("with_and_without_filter")
class TestClose:
    async def test_a_connection_that_is_not_accepted_yet_gets_an_answer(self) -> None:
        # Guards against the reset of connections that wait when the listener closes.
        async with Listening().open() as listening:
            callers = [connect_unaccepted(listening.port) for _ in range(20)]
            for caller in callers:
                caller.sendall(GET)
        for caller in callers:
            answer = await read_all(caller)
            assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            caller.close()

    async def test_it_gets_one_if_no_time_is_left(self) -> None:
        # Guards against the reset of new connections as long as a request is open.
        listening = Listening()
        async with listening.open():
            listening.work_s = CLOSE_S
            _, writer = await listening.connect()
            writer.write(GET)
            await until(lambda: listening.n_served)
            listening.work_s = 0.0
            callers = [connect_unaccepted(listening.port) for _ in range(20)]
            for number, caller in enumerate(callers):
                caller.sendall(GET if number % 2 else b"")
            await listening.listener.close(until_s=time.monotonic())
            for number, caller in enumerate(callers):
                if not number % 2:
                    with contextlib.suppress(OSError):
                        caller.sendall(GET)
            await listening.listener.interrupt()
        for caller in callers:
            answer = await read_all(caller)
            assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            caller.close()
        writer.close()

    async def test_a_request_that_crosses_the_close_reads_the_refusal(self) -> None:
        # Guards against the reset of an idle connection with a request under way.
        async with Listening().open() as listening:
            reader, writer = await listening.connect()
            writer.write(GET)
            await reader.readuntil(b"served")
            closing = asyncio.create_task(listening.close())
            await until(lambda: not listening.http.connections)
            writer.write(GET)
            assert await reader.read() == REFUSAL
            writer.close()
            await closing
        assert listening.n_served == 1

    async def test_a_request_without_an_end_reads_the_refusal(self) -> None:
        # Guards against a closed connection after a part of the headers was read.
        async with Listening().open() as listening:
            reader, writer = await listening.connect()
            writer.write(GET[:-4])
            await asyncio.sleep(0.05)
        assert await reader.read() == REFUSAL
        writer.close()

    async def test_an_open_request_is_answered(self) -> None:
        # Guards against an end of the close before the last answer.
        async with Listening().open() as listening:
            listening.work_s = 0.2
            reader, writer = await listening.connect()
            writer.write(GET)
            await until(lambda: listening.n_served)
            answered = asyncio.create_task(_close_after_answer(reader, writer))
        assert b"served" in await answered

    async def test_callers_that_stay_do_not_delay_the_close(self) -> None:
        # Guards against a close that waits for callers which never close.
        async with Listening().open() as listening:
            _, writer = await listening.connect()
            await until(lambda: listening.http.connections)
            started_s = time.monotonic()
        assert time.monotonic() - started_s < CLOSE_S
        writer.close()

    async def test_a_client_drops_a_connection_that_was_refused_idle(self) -> None:
        # Guards against a refusal that a client takes for the answer to a later call.
        async with aiohttp.ClientSession() as client:
            port = 0
            for _ in range(2):
                async with Listening().open(port) as listening:
                    port = listening.port
                    async with client.get(f"http://{IP}:{port}/") as answer:
                        assert (answer.status, await answer.text()) == (200, "served")


class TestLog:
    # Guards against connections that are closed without a word about what was open.
    async def test_what_was_open_is_logged(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setitem(globals(), "CLOSE_S", 0.2)
        async with Listening().open() as listening:
            listening.work_s = 10.0
            _, alone = await listening.connect()
            _, pipelined = await listening.connect()
            alone.write(GET)
            pipelined.write(GET + GET)
            await until(lambda: listening.n_served == 2)
        assert "closes 2 open connections" in caplog.text
        assert "1 handled," in caplog.text
        assert "1 handled with more requests behind it" in caplog.text
        alone.close()
        pipelined.close()

    async def test_an_answer_that_its_caller_does_not_read_is_logged(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setitem(globals(), "CLOSE_S", 0.2)
        async with Listening().open() as listening:
            reader, writer = await listening.connect()
            writer.write(GET)
            await reader.readuntil(b"served")
            (connection,) = listening.http.connections
            assert connection.transport is not None
            connection.transport.set_write_buffer_limits(high=1 << 30)
            connection.transport.write(bytes(1 << 24))
        assert "1 last answer unsent" in caplog.text
        writer.close()

    async def test_an_answer_that_holds_its_connection_up_is_logged(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setitem(globals(), "CLOSE_S", 0.2)
        async with Listening().open() as listening:
            listening.text = "x" * (1 << 24)
            _, writer = await listening.connect()
            writer.write(GET)
            await until(lambda: listening.n_served)
        assert "1 answer unsent" in caplog.text
        writer.close()

    async def test_a_close_that_interrupts_nothing_is_not_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async with Listening().open() as listening:
            reader, writer = await listening.connect()
            writer.write(GET)
            await reader.readuntil(b"served")
            writer.close()
        assert "open connections" not in caplog.text


class TestNewConnections:
    async def test_a_caller_without_a_handshake_does_not_delay_the_close(self) -> None:
        # Guards against a close that waits a minute for a handshake that never comes.
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        async with asyncio.timeout(2 * CLOSE_S):
            async with Listening(tls=tls).open() as listening:
                caller = connect_unaccepted(listening.port)
            assert await read_all(caller) == b""
        caller.close()

    async def test_a_new_connection_is_refused_and_not_reset(self) -> None:
        # Guards against connections that are made while the listener closes.
        listening = Listening()
        async with listening.open():
            closing = asyncio.create_task(listening.close())
            await asyncio.sleep(http_listener.HANDSHAKE_S / 5)
            with pytest.raises(ConnectionRefusedError):
                await listening.connect()
            await closing


class TestOtherCloses:
    async def test_a_caller_over_the_bound_reads_its_refusal(self) -> None:
        # Guards against a reset that discards the refusal of a large request.
        async with Listening(max_connections=0).open() as listening:
            reader, writer = await listening.connect()
            body = b"x" * 3_000_000
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(body) + body)
            await writer.drain()
            assert (await reader.read()).startswith(b"HTTP/1.1 503")
            writer.close()

    async def test_a_request_that_crosses_the_idle_timeout_has_an_answer(self) -> None:
        # Guards against the reset of a request on a connection that was idle too long.
        async with Listening(keepalive_timeout=0.1).open() as listening:
            reader, writer = await listening.connect()
            await until(lambda: listening.http.connections)
            await until(lambda: not listening.http.connections)
            writer.write(GET)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 408")
            assert b"Retry-After" in answer
            writer.close()

    async def test_an_answer_before_the_end_of_the_body_is_read(self) -> None:
        # Guards against a reset that discards an answer while its body is still sent.
        async with Listening().open() as listening:
            reader, writer = await listening.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                b"Content-Length: 3000000\r\n\r\n"
            )
            await until(lambda: listening.n_served)
            writer.write(b"x" * 3_000_000)
            await writer.drain()
            assert b"served" in await reader.read()
            writer.close()


class TestIdleTimeout:
    # Guards against a limit on idle connections that is published in vain.
    @pytest.mark.parametrize(
        ("at_first_s", "later_s"),
        [(0.5, 0.5), (0.1, 0.5), (0.5, 0.1)],
        ids=["unchanged", "longer", "shorter"],
    )
    async def test_a_connection_stays_open_for_the_longer_limit(
        self, at_first_s: float, later_s: float
    ) -> None:
        idle_timeout_s = at_first_s

        def limits() -> ConnectionLimits:
            return ConnectionLimits(idle_timeout_s=idle_timeout_s)

        async with Listening(keepalive_timeout=0.05, limits=limits).open() as listening:
            reader, writer = await listening.connect()
            writer.write(GET)
            await reader.readuntil(b"served")
            idle_s = time.monotonic()
            idle_timeout_s = later_s
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
            assert time.monotonic() - idle_s > 0.45
            writer.close()

    async def test_a_request_of_its_last_moment_is_served(self) -> None:
        # Guards against a limit that counts from the opening of a connection.
        limits = ConnectionLimits(idle_timeout_s=0.5)
        async with Listening(
            keepalive_timeout=0.05, limits=lambda: limits
        ).open() as listening:
            reader, writer = await listening.connect()
            for _ in range(3):
                await asyncio.sleep(0.4)
                writer.write(GET)
                assert b"200" in await reader.readuntil(b"served")
            writer.close()


class TestCrowded:
    # Guards against new callers that displace each other, or running requests.
    async def test_a_connection_just_opened_keeps_its_place(self) -> None:
        async with Listening(max_connections=2).open() as listening:
            pairs = [await listening.connect() for _ in range(3)]
            reader, writer = pairs[0]
            writer.write(GET)
            assert (await reader.readuntil(b"served")).startswith(b"HTTP/1.1 200")
            for _, each in pairs:
                each.close()

    # Guards against silent callers that keep all others out, and a request that
    # crosses the close of its connection and reads no refusal.
    async def test_the_longest_idle_makes_room(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_listener, "IDLE_CLOSE_S", 0.05)
        async with Listening(max_connections=2).open() as listening:
            idle = [await listening.connect() for _ in range(2)]
            await asyncio.sleep(0.1)
            reader, writer = await listening.connect()
            writer.write(GET)
            assert (await reader.readuntil(b"served")).startswith(b"HTTP/1.1 200")
            crossing, sending = idle[0]
            sending.write(GET + b"x" * 100_000)
            await sending.drain()
            assert (await crossing.read()).startswith(b"HTTP/1.1 503")
            for _, each in (*idle, (reader, writer)):
                each.close()


class TestSentAhead:
    # Guards against requests that are sent ahead without end, and a version of the
    # library that reads all of them.
    async def test_requests_without_end_are_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(web_protocol, "MAX_MSG_QUEUE_SIZE", 1 << 30)
        async with Listening().open() as listening:
            listening.work_s = CLOSE_S
            _, writer = await listening.connect()
            with contextlib.suppress(ConnectionError):
                for _ in range(20):
                    writer.write(GET * 1000)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            await until(lambda: not listening.http.connections, cap_s=5.0)
            assert listening.n_served <= 1
            writer.close()


class TestLingering:
    async def test_connections_over_the_bound_are_closed_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against callers that occupy descriptors after their last answer.
        monkeypatch.setattr(lingering, "MAX_LINGERING", 2)
        async with Listening(max_connections=0).open() as listening:
            pairs = [await listening.connect() for _ in range(6)]
            await asyncio.sleep(0.05)
            assert len(listening.listener._lingering) <= 2
            for _, writer in pairs:
                writer.close()


async def _close_after_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    answer = await reader.readuntil(b"served")
    writer.close()
    return answer
