"""Workers in trouble that send bytes without end, until the gateway closes."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import ClassVar, cast

import aiohttp
import pytest
from adapter.sessions import HEAD_TRANSFER_S
from adapter.worker_answers import (
    MAX_ANSWER_BYTES,
    MAX_EVENT_BYTES,
    MAX_MESSAGE_BYTES,
    WorkerAnswer,
)
from adapter.worker_client import CHECK_TIMEOUT_S
from result import Err, Ok

from trefoilpaddle.coordination.chain.target_calls import StreamBrokenError
from trefoilpaddle.state.chain.piece_work import PieceWork
from trefoilpaddle.state.chain.target_answers import AnswerHead, CallFault
from trefoilpaddle.state.chain.workers import Worker
from trefoilpaddle.state.held_bytes import holding_alone

from .raw_engines import raw_engine
from .test_worker_client import CHUNKED, UNFRAMED, call, worker_client

TRICKLE_S = 0.02
"""Time between two bytes of a slow worker; shorter than any time-out of a read."""

SLACK_S = 0.5
PART_BYTES = 64 * 1024

CHUNK = f"{PART_BYTES:x}\r\n".encode() + b"x" * PART_BYTES + b"\r\n"
MESSAGE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

SOCKET_BYTES = 16 * 1024 * 1024
"""Most that the kernel and the library hold of a connection that is not read."""


@dataclass(slots=True, kw_only=True)
class EndlessWorker:
    """Answers each request with `begun`, and then with `more` again and again."""

    begun: bytes
    more: bytes
    pause_s: float = 0.0
    n_sent: list[int] = field(default_factory=list)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.n_sent.append(0)
        number = len(self.n_sent) - 1
        writer.write(self.begun)
        while True:
            writer.write(self.more)
            await writer.drain()
            self.n_sent[number] += len(self.more)
            await asyncio.sleep(self.pause_s)


@contextlib.asynccontextmanager
async def serving(endless: EndlessWorker) -> AsyncIterator[Worker]:
    async with raw_engine(endless.handle) as address:
        yield Worker(
            worker_id="w1", service="plain", address=address, failure_domain="here"
        )


async def fault_of(endless: EndlessWorker) -> tuple[CallFault, float]:
    """Return how a request to a worker ends, and after how many seconds."""
    began_s = time.monotonic()
    async with (
        serving(endless) as at,
        worker_client() as client,
        client.exchange(at, call()) as opened,
    ):
        answer = await opened.ok_value.read() if isinstance(opened, Ok) else opened
    assert isinstance(answer, Err)
    return answer.err_value, time.monotonic() - began_s


class TestHeads:
    # Guards against requests that wait until their deadline for a head without end.
    @pytest.mark.parametrize(
        "begun", [b"HTTP/1.1 200 OK\r\nX: ", b"", b"HTTP/1.1 200 OK\r\n"]
    )
    async def test_a_head_that_comes_byte_by_byte_is_given_up(
        self, begun: bytes
    ) -> None:
        endless = EndlessWorker(begun=begun, more=b"H", pause_s=TRICKLE_S)
        fault, took_s = await fault_of(endless)
        assert fault is CallFault.BROKEN
        assert took_s <= HEAD_TRANSFER_S + SLACK_S

    # Guards against checks of a worker, and reports, that last as long as its bytes.
    async def test_checks_and_reports_end(self) -> None:
        begun = b"HTTP/1.1 200 OK\r\nX: "
        endless = EndlessWorker(begun=begun, more=b"x", pause_s=TRICKLE_S)
        async with serving(endless) as at, worker_client() as client:
            async with asyncio.timeout(CHECK_TIMEOUT_S + SLACK_S):
                assert await client.is_listening(at) is True
            async with asyncio.timeout(SLACK_S):
                assert await client.report(at, timeout_s=0.3) is None


TINY_HEADERS = b"".join(b"a%d: b\r\n" % number for number in range(5000))
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class TestFraming:
    # Guards against answers that bring nothing, without end, and keep the gateway from
    # all other requests.
    @pytest.mark.parametrize(
        ("begun", "more"),
        [
            (b"", INTERIM * 1000),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 1000),
            (b"", b"\r\n" * 1000),
            (b"HTTP/1.1 200 OK\r\n", TINY_HEADERS),
            (CHUNKED + b"1;", b"x" * PART_BYTES),
            (CHUNKED, b"0" * PART_BYTES),
            (CHUNKED + b"1\r\nx\r\n0\r\n", TINY_HEADERS),
        ],
        ids=[
            "interim-heads",
            "early-hints",
            "blank-lines",
            "headers",
            "chunk-extension",
            "chunk-size",
            "trailers",
        ],
    )
    async def test_framing_without_end_is_given_up(
        self, begun: bytes, more: bytes
    ) -> None:
        endless = EndlessWorker(begun=begun, more=more)
        async with asyncio.timeout(HEAD_TRANSFER_S + SLACK_S):
            fault, _ = await fault_of(endless)
        assert fault is CallFault.BROKEN

    # Guards against a slow series of interim heads that lasts until the deadline.
    async def test_interim_heads_are_counted(self) -> None:
        endless = EndlessWorker(begun=b"", more=INTERIM, pause_s=TRICKLE_S)
        async with asyncio.timeout(HEAD_TRANSFER_S + SLACK_S):
            fault, _ = await fault_of(endless)
        assert fault is CallFault.BROKEN

    # Guards against an answer that is given up as its worker first says that it works.
    async def test_an_answer_after_an_interim_head_is_passed_on(self) -> None:
        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(INTERIM)
            await asyncio.sleep(HEAD_TRANSFER_S + SLACK_S)
            writer.write(CHUNKED + b"4\r\nbody\r\n0\r\n\r\n")
            await writer.drain()
            await reader.read()

        async with raw_engine(handle) as address, worker_client() as client:
            at = Worker(
                worker_id="w1", service="plain", address=address, failure_domain="here"
            )
            async with client.exchange(at, call()) as opened:
                assert await opened.unwrap().read() == Ok(b"body")


class TestBodies:
    # Guards against an answer that fills the memory of the gateway.
    @pytest.mark.parametrize(("begun", "more"), [(CHUNKED, CHUNK), (UNFRAMED, CHUNK)])
    async def test_an_answer_without_end_is_given_up(
        self, begun: bytes, more: bytes
    ) -> None:
        endless = EndlessWorker(begun=begun, more=more)
        fault, _ = await fault_of(endless)
        assert fault is CallFault.BROKEN
        assert endless.n_sent[0] <= MAX_ANSWER_BYTES + SOCKET_BYTES

    # Guards against a stream whose event is kept in memory until its end.
    async def test_an_event_without_end_is_given_up(self) -> None:
        endless = EndlessWorker(begun=CHUNKED, more=CHUNK)
        async with (
            serving(endless) as at,
            worker_client() as client,
            client.exchange(at, call()) as opened,
        ):
            with pytest.raises(StreamBrokenError):
                async for _ in opened.unwrap().events():
                    pass
        assert endless.n_sent[0] <= MAX_EVENT_BYTES + SOCKET_BYTES

    # Guards against the same in answers of stage workers to calls, frees and reports.
    async def test_messages_without_end_are_given_up(self) -> None:
        endless = EndlessWorker(begun=MESSAGE, more=CHUNK)
        async with serving(endless) as at, worker_client() as client:
            work = PieceWork(
                request_id="a1",
                route="r",
                stage=0,
                piece=0,
                due_s=0.0,
                deadline_s=time.monotonic() + 5.0,
            )
            ran = await client.run_pieces(
                at, [work], timeout_s=5.0, on_sent=lambda: None
            )
            assert ran == Err(CallFault.BROKEN)
            assert not await client.free_results(at, ["h"])
            assert await client.report(at, timeout_s=5.0) is None
        assert max(endless.n_sent) <= MAX_MESSAGE_BYTES + SOCKET_BYTES


LONG_S = 1.0
"""Processor time in seconds for an event that is given up; far above what it takes."""


class SmallParts:
    """The body of an answer: one event without an end, whose last part is in bytes."""

    headers: ClassVar[dict[str, str]] = {}
    connection = None

    @property
    def content(self) -> "SmallParts":
        return self

    async def iter_any(self) -> AsyncIterator[bytes]:
        n_small = 5_000
        yield b"x" * (MAX_EVENT_BYTES - n_small + 1)
        for _ in range(n_small):
            yield b"x"


class TestEvents:
    # Guards against a stream of one worker that takes the processor from all others.
    async def test_an_event_of_many_small_parts_takes_little_time(self) -> None:
        opened = cast("aiohttp.ClientResponse", SmallParts())
        answer = WorkerAnswer(
            answer=opened,
            head=AnswerHead(status=200, headers=()),
            holding=holding_alone(),
        )
        began_s = time.process_time()
        with pytest.raises(StreamBrokenError):
            async for _ in answer.events():
                pass
        assert time.process_time() - began_s < LONG_S
