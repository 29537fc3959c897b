"""Answers that wait for room, and callers that read them slowly."""

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Final, cast

import aiohttp
import pytest
from adapter.worker_answers import WorkerAnswer

from trefoilpaddle.coordination.chain.caller_sink import CallerSink
from trefoilpaddle.state.chain.requests import Answered, CallerRequest, Outcome
from trefoilpaddle.state.chain.target_answers import AnswerHead
from trefoilpaddle.state.held_bytes import SMALL_BYTES, HeldBytes

from .caller_harness import GET, HEAD, Served, serving

LARGE_BYTES: Final = 4 * 1024 * 1024
READ_BYTES: Final = 50_000
READ_PERIOD_S: Final = 0.05
N_ANSWERS: Final = 10


@dataclass
class Content:
    """The body of a worker's answer."""

    n_bytes: int

    async def iter_any(self) -> AsyncIterator[bytes]:
        if self.n_bytes:
            yield bytes(self.n_bytes)


@dataclass
class Opened:
    """A worker's answer whose head has arrived."""

    n_bytes: int
    content_length: int
    method: str = "POST"
    status: int = 200
    connection: None = None
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> Content:
        return Content(n_bytes=self.n_bytes)


def answer_of(opened: Opened, held: HeldBytes) -> WorkerAnswer:
    return WorkerAnswer(
        answer=cast("aiohttp.ClientResponse", opened),
        head=AnswerHead(status=opened.status, headers=()),
        holding=held.holding(),
    )


class LargeAnswer(Served):
    """Answers each request with a large body."""

    async def __call__(self, request: CallerRequest, sink: CallerSink) -> Outcome:
        request.answer_holding.add(LARGE_BYTES)
        await sink.whole(HEAD, bytes(LARGE_BYTES))
        return Answered()


class TestRoom:
    # Guards against answers of workers that wait for one another until their deadlines.
    async def test_answers_get_room_in_turn(self) -> None:
        held = HeldBytes(limit_bytes=LARGE_BYTES)
        unstated = Opened(n_bytes=LARGE_BYTES, content_length=0)
        stated = Opened(n_bytes=LARGE_BYTES, content_length=LARGE_BYTES)

        async def read(opened: Opened) -> None:
            answer = answer_of(opened, held)
            await answer.wait_for_room()
            assert (await answer.read()).is_ok()

        async with asyncio.timeout(10.0), asyncio.TaskGroup() as group:
            for _ in range(N_ANSWERS):
                group.create_task(read(stated))
                group.create_task(read(unstated))
        assert held.n_bytes == 0

    # Guards against small answers, or ones without a body, that wait for large ones.
    @pytest.mark.parametrize(
        "opened",
        [
            Opened(n_bytes=10, content_length=10),
            Opened(n_bytes=SMALL_BYTES, content_length=SMALL_BYTES),
            Opened(n_bytes=0, content_length=LARGE_BYTES, method="HEAD"),
            Opened(n_bytes=0, content_length=LARGE_BYTES, status=304),
        ],
    )
    async def test_small_answers_do_not_wait(self, opened: Opened) -> None:
        held = HeldBytes(limit_bytes=LARGE_BYTES)
        other = held.holding()
        other.add(2 * LARGE_BYTES)
        async with asyncio.timeout(1.0):
            answer = answer_of(opened, held)
            await answer.wait_for_room()
            assert (await answer.read()).is_ok()
        assert held.n_bytes <= 2 * LARGE_BYTES + opened.n_bytes


class TestSlowReaders:
    # Guards against callers that read steadily and are cut for others.
    async def test_an_answer_is_not_cut_for_a_slow_reader(self) -> None:
        held = HeldBytes(limit_bytes=LARGE_BYTES, stalled_s=1.0)
        async with serving(LargeAnswer(), held_answers=held) as port:
            loop = asyncio.get_running_loop()
            with socket.socket() as reading:
                reading.setblocking(False)
                reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
                await loop.sock_connect(reading, ("127.0.0.1", port))
                await loop.sock_sendall(reading, GET + b"\r\n")
                other = held.holding()
                n_read = 0
                while n_read < LARGE_BYTES:
                    n_read += len(await loop.sock_recv(reading, READ_BYTES))
                    await asyncio.sleep(READ_PERIOD_S)
                    other.take(LARGE_BYTES)
        assert held.n_dropped == 0
