"""Workers in trouble that send bytes without end, until the gateway closes."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from adapter.sessions import HEAD_TRANSFER_S
from adapter.worker_client import CHECK_TIMEOUT_S
from result import Err, Ok

from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.workers import Worker

from .raw_engines import raw_engine
from .test_worker_client import call, worker_client

TRICKLE_S = 0.02
"""Time between two bytes of a slow worker; shorter than any time-out of a read."""

SLACK_S = 0.5


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
