"""A server for callers, and helpers that send raw bytes to it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from adapter.callers import CallerServer

from trefoilpaddle.coordination.chain.caller_sink import CallerSink
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.state.chain.requests import Answered, CallerRequest, Outcome
from trefoilpaddle.state.chain.routes import CallerLimits
from trefoilpaddle.state.chain.target_answers import AnswerHead, StreamEvent
from trefoilpaddle.state.held_bytes import HeldBytes
from trefoilpaddle.state.journal import Journal

HEAD = AnswerHead(status=200, headers=((b"X-Seen", b"1"),))
GET = b"GET /p/1 HTTP/1.1\r\nHost: h\r\nTrefoilpaddle-Attempt-Id: a\r\n"

ANSWER_TIMEOUT_S = 20.0
PAUSE_S = 0.15


@dataclass
class Served:
    """Records the requests that reach the product, and answers them."""

    requests: list[CallerRequest] = field(default_factory=list)
    outcome: Outcome = field(default_factory=Answered)
    head: AnswerHead = HEAD
    n_events: int = 0
    left: asyncio.Event = field(default_factory=asyncio.Event)
    hangs: bool = False
    works_s: float = 0.0
    n_ended: int = 0

    async def __call__(self, request: CallerRequest, sink: CallerSink) -> Outcome:
        self.requests.append(request)
        await asyncio.sleep(self.works_s)
        self.n_ended += 1
        if self.hangs:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.left.set()
                raise
        for number in range(1, self.n_events + 1):
            if number == 1:
                await sink.begin(self.head)
            await sink.event(StreamEvent(number=number, data=b"id: %d\n\n" % number))
        if isinstance(self.outcome, Answered):
            if self.n_events:
                await sink.end()
            else:
                await sink.whole(self.head, b"whole")
        return self.outcome


HELD_BYTES = 1 << 20
"""Bytes that a server may hold; more than any caller of the tests sends."""


@contextlib.asynccontextmanager
async def serving(
    served: Served,
    *,
    stopping: bool = False,
    admits: bool = True,
    held: HeldBytes | None = None,
    held_answers: HeldBytes | None = None,
    journal: Journal | None = None,
    limits: Callable[[], CallerLimits | None] = lambda: CallerLimits(
        max_body_bytes=100
    ),
) -> AsyncIterator[int]:
    stop = PlannedStop(grace_s=8.0)
    if stopping:
        stop.order()
    server = CallerServer(
        serve=served,
        limits=limits,
        stop=stop,
        admits=lambda: admits,
        held=held or HeldBytes(limit_bytes=HELD_BYTES),
        held_answers=held_answers or HeldBytes(limit_bytes=HELD_BYTES),
        journal=journal or Journal(process_id="g", n_records=100),
    )
    port = free_port()
    async with server.listening(f"127.0.0.1:{port}"):
        yield port


async def exchange(port: int, data: bytes, *, is_answered: bool = True) -> bytes:
    """Send bytes, then return everything that arrives until a short pause.

    The first bytes of an answer are waited for longer, as the process may stall; with
    `is_answered` False, there may be no answer.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    got = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        while True:
            is_first = is_answered and not got
            async with asyncio.timeout(ANSWER_TIMEOUT_S if is_first else PAUSE_S):
                more = await reader.read(65536)
            if not more:
                break
            got += more
    writer.close()
    return got


async def ask(
    served: Served, data: bytes, *, stopping: bool = False, is_answered: bool = True
) -> bytes:
    async with serving(served, stopping=stopping) as port:
        return await exchange(port, data, is_answered=is_answered)


def status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])
