"""Connections and the close of the sessions of a gateway."""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import cast

import aiohttp
import pytest
import uvloop
from adapter import sessions
from adapter.sessions import (
    CLOSE_S,
    CONNECT_TIMEOUT_S,
    BoundedAnswerHandler,
    closing,
    connect_after_stall,
    single_use_session,
)

from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.transport.send_watch import CHECK_PERIOD_S

from ..waiting import until
from .raw_engines import raw_engine, take_slowly

LARGE_BYTES = 1 << 24
"""Size of a body that does not fit into the buffers of a connection."""

SLACK_S = 0.3
"""Time in seconds by which a busy machine may exceed a bound."""


class TestClosing:
    async def test_a_peer_that_takes_a_call_slowly_does_not_delay_the_close(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a close that waits until the peer has taken all bytes.
        stop = PlannedStop(grace_s=8.0)
        stop.order()
        async with raw_engine(take_slowly) as address:
            async with closing(single_use_session(), stop=stop) as session:
                calling = asyncio.create_task(
                    session.request(
                        "POST", f"http://{address}", data=b"x" * LARGE_BYTES
                    )
                )
                await until(lambda: _has_unsent(session))
                began_s = time.monotonic()
            assert time.monotonic() - began_s < CLOSE_S + SLACK_S
            assert "the stop no longer waits for calls that are open: 1" in caplog.text
            with pytest.raises(aiohttp.ClientError):
                await calling


class Connecting:
    """Connections of which the first `n_late` are not open in time.

    Attributes
    ----------
    n_tried : int
        Connections that were tried.
    """

    def __init__(self, *, n_late: int, stalls_s: float) -> None:
        self._n_late = n_late
        self._stalls_s = stalls_s
        self.n_tried = 0

    async def __call__(self, request: aiohttp.ClientRequest) -> aiohttp.ClientResponse:
        self.n_tried += 1
        if self.n_tried <= self._n_late:
            time.sleep(self._stalls_s)  # noqa: ASYNC251
            raise aiohttp.ConnectionTimeoutError
        return OPENED


OPENED = cast(aiohttp.ClientResponse, object())
REQUEST = cast(aiohttp.ClientRequest, object())


class TestStalls:
    # Guards against sound workers that count as out of reach as this process stalled.
    async def test_a_connection_is_tried_again_after_a_stall(self) -> None:
        connecting = Connecting(n_late=1, stalls_s=2 * CONNECT_TIMEOUT_S)
        assert await connect_after_stall(REQUEST, connecting) is OPENED

    # Guards against a request that is held at a worker which is out of reach.
    @pytest.mark.parametrize(
        ("stalls_s", "n_tried"), [(0.0, 1), (2 * CONNECT_TIMEOUT_S, 2)]
    )
    async def test_a_worker_out_of_reach_is_tried_no_further(
        self, stalls_s: float, n_tried: int
    ) -> None:
        connecting = Connecting(n_late=9, stalls_s=stalls_s)
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await connect_after_stall(REQUEST, connecting)
        assert connecting.n_tried == n_tried

    # Guards against the same with the library's own time-out.
    async def test_a_stall_while_a_call_connects_does_not_fail_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        n_opened = 0

        def stall_once(address: tuple[object, ...]) -> socket.socket:
            nonlocal n_opened
            n_opened += 1
            if n_opened == 1:
                time.sleep(2 * CONNECT_TIMEOUT_S)
            return open_socket(address)

        open_socket = sessions._socket
        monkeypatch.setattr(sessions, "_socket", stall_once)
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        async with (
            raw_engine(answer_at_once) as address,
            single_use_session() as session,
            session.get(f"http://{address}", timeout=timeout) as answer,
        ):
            assert answer.status == 200


async def answer_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


class TestCancelledConnections:
    # Guards against errors in the log, as connections that are cancelled while they
    # open are closed and their watches are not told.
    @pytest.mark.parametrize(
        "run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"]
    )
    def test_no_error_is_left(
        self,
        run: Callable[[Coroutine[None, None, None]], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        errors: list[dict[str, object]] = []

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))

            class CancelledConnection(BoundedAnswerHandler):
                def connection_made(self, transport: asyncio.BaseTransport) -> None:
                    super().connection_made(transport)
                    calling.cancel()

            monkeypatch.setattr(sessions, "BoundedAnswerHandler", CancelledConnection)
            async with (
                raw_engine(take_slowly) as address,
                single_use_session() as session,
            ):
                calling = asyncio.create_task(
                    session.request("GET", f"http://{address}")
                )
                with pytest.raises(asyncio.CancelledError):
                    await calling
                await asyncio.sleep(CHECK_PERIOD_S + SLACK_S)

        run(scenario())
        assert errors == []


def _has_unsent(session: aiohttp.ClientSession) -> bool:
    connector = session.connector
    assert connector is not None
    return any(
        each.transport is not None and each.transport.get_write_buffer_size() > 0
        for each in connector._acquired
    )
