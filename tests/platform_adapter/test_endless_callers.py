"""Callers that send bytes without end, until the gateway takes no more."""

import asyncio
import contextlib
import time
from dataclasses import replace

import pytest

from trefoilpaddle.state.chain.routes import CallerLimits
from trefoilpaddle.transport.lingering import MAX_LINGER_BYTES

from .caller_harness import GET, Served, serving

FLOOD_S = 2.0
"""Time in seconds for which a caller sends if nobody stops it."""

TRICKLE_S = 0.02
PART_BYTES = 64 * 1024

SOCKET_BYTES = 16 * 1024 * 1024
"""Most that the kernel and the library hold of a connection that is not read."""

FRAMING_BYTES = 1024 * 1024
"""Most that may be read of a request in a row that is not its body."""

CHUNKED = GET + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = f"{PART_BYTES:x}\r\n".encode() + b"x" * PART_BYTES + b"\r\n"


async def flood(port: int, begun: bytes, more: bytes) -> tuple[int, bytes]:
    """Send `begun` and then `more` again and again; return what was taken and read."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    n_taken = 0
    got = asyncio.create_task(reader.read(65536))
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(FLOOD_S):
            writer.write(begun)
            while True:
                writer.write(more)
                await writer.drain()
                n_taken += len(more)
                await asyncio.sleep(0)
    writer.transport.abort()
    with contextlib.suppress(OSError):
        return n_taken, await got
    return n_taken, b""


class TestFraming:
    # Guards against requests that never arrive and keep the gateway from all others.
    @pytest.mark.parametrize(
        ("begun", "more"),
        [
            (b"", b"\r\n" * 1000),
            (CHUNKED, b"0" * PART_BYTES),
            (CHUNKED + b"1;", b"x" * PART_BYTES),
        ],
        ids=["blank-lines", "chunk-size", "chunk-extension"],
    )
    async def test_framing_without_end_is_given_up(
        self, begun: bytes, more: bytes
    ) -> None:
        async with serving(Served()) as port:
            began_s = time.monotonic()
            n_taken, _ = await flood(port, begun, more)
        assert time.monotonic() - began_s < FLOOD_S
        assert n_taken <= FRAMING_BYTES + SOCKET_BYTES


class TestAfterAnAnswer:
    # Guards against callers that have their answer and keep the gateway busy.
    @pytest.mark.parametrize(
        ("begun", "more", "status"),
        [
            (CHUNKED, CHUNK, b"413"),
            (GET, b"a: b\r\n" * 10000, b"431"),
            (GET + b"Connection: close\r\n\r\n", b"x" * PART_BYTES, b"400"),
        ],
        ids=["body", "headers", "after-the-end"],
    )
    async def test_little_more_is_read(
        self, begun: bytes, more: bytes, status: bytes
    ) -> None:
        async with serving(Served()) as port:
            n_taken, got = await flood(port, begun, more)
        assert got.split(b" ", 2)[1] == status
        assert n_taken <= MAX_LINGER_BYTES + SOCKET_BYTES


class TestIdleConnections:
    # Guards against a limit of the configuration that is used nowhere.
    async def test_one_is_closed_after_the_active_limit(self) -> None:
        limits = CallerLimits(idle_timeout_s=1.5)
        async with serving(Served(), limits=lambda: limits) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            opened_s = time.monotonic()
            async with asyncio.timeout(10.0):
                assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
            assert time.monotonic() - opened_s > limits.idle_timeout_s
            writer.close()


class TestSlowHeads:
    # Guards against callers that hold connections with heads that never end.
    async def test_a_head_that_comes_byte_by_byte_is_given_up(self) -> None:
        async with serving(Served()) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"X: ")
            answer = asyncio.create_task(reader.read(65536))
            until_s = time.monotonic() + CallerLimits().header_timeout_s + 1.0
            while not answer.done() and time.monotonic() < until_s:
                writer.write(b"x")
                await asyncio.sleep(TRICKLE_S)
            writer.transport.abort()
            assert (await answer).startswith(b"HTTP/1.1 408 ")

    # Guards against a longer limit that does not reach a head under way.
    async def test_a_head_goes_on_under_a_longer_limit(self) -> None:
        limits = CallerLimits(header_timeout_s=0.3)
        async with serving(Served(), limits=lambda: limits) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET)
            await asyncio.sleep(0.1)
            limits = replace(limits, header_timeout_s=0.9)
            await asyncio.sleep(0.5)
            writer.write(b"\r\n")
            assert (await reader.readuntil(b"whole")).startswith(b"HTTP/1.1 200 ")
            writer.write(GET)
            began_s = time.monotonic()
            assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
            assert time.monotonic() - began_s >= 0.9
            writer.close()

    # Guards against callers within the limit that are given up.
    async def test_a_slow_head_within_the_limit_is_served(self) -> None:
        async with serving(Served()) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(2):
                writer.write(GET)
                await asyncio.sleep(0.6 * CallerLimits().header_timeout_s)
                writer.write(b"\r\n")
                assert (await reader.readuntil(b"whole")).startswith(b"HTTP/1.1 200 ")
            writer.close()
