"""Workers that stop in the middle of their answer, at every byte of it."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Iterable
from typing import Final, TypeVar

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.target_calls import StreamBrokenError
from trefoilpaddle.state.chain.piece_work import PieceOutcome, PieceWork
from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.workers import Worker

from .test_worker_client import (
    CHUNKED,
    OLD_VERSION,
    UNANNOUNCED,
    UNFRAMED,
    body_of,
    call,
    calling,
    chunk,
    head,
    worker_client,
)

BODY: Final = b"body"
LENGTH: Final = head(more=b"Content-Length: 4\r\n")
HEADS: Final = {
    "length": LENGTH,
    "chunks": CHUNKED,
    "neither": UNFRAMED,
    "unannounced": UNANNOUNCED,
    "old": OLD_VERSION,
}
WHOLE: Final = {
    "length": LENGTH + BODY,
    "chunks": CHUNKED + chunk(BODY) + b"0\r\n\r\n",
    "neither": UNFRAMED + BODY,
    "unannounced": UNANNOUNCED + BODY,
    "old": OLD_VERSION + BODY,
}
ITEMS: Final = b'{"items":[{"handle":"h/1"},{"handle":"h/2"}]}'
PIECES: Final = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ITEMS), ITEMS),
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(ITEMS)
    + b"0\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\n\r\n" + ITEMS,
}
FRAMINGS: Final = list(WHOLE)

N_AT_A_TIME: Final = 4
"""Calls at the same time, few enough to connect in time on a busy machine."""

T = TypeVar("T")


async def all_of(calls: Iterable[Awaitable[T]]) -> list[T]:
    """Return the results of all calls, of which few run at the same time."""
    free = asyncio.Semaphore(N_AT_A_TIME)

    async def run(one: Awaitable[T]) -> T:
        async with free:
            return await one

    return await asyncio.gather(*map(run, calls))


async def pieces_of(
    answer: bytes, *, resets: bool
) -> Result[list[PieceOutcome], CallFault]:
    works = [
        PieceWork(
            request_id="a1",
            route="r",
            stage=0,
            piece=number,
            due_s=0.0,
            deadline_s=time.monotonic() + 1,
        )
        for number in range(2)
    ]
    async with calling(answer, resets=resets) as (client, at, _):
        return await client.run_pieces(at, works, timeout_s=1.0, on_sent=lambda: None)


async def has_events(answer: bytes, *, resets: bool) -> bool:
    """Return True if any event of an answer is passed on, or its end as complete."""
    async with calling(answer, resets=resets) as (client, at, _):
        async with client.exchange(at, call()) as opened:
            match opened:
                case Ok(got):
                    with contextlib.suppress(StreamBrokenError):
                        async for _ in got.events():
                            return True
                        return True
        return False


@pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
class TestHeads:
    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_no_body_is_passed_on_after_a_head_that_is_cut_short(
        self, framing: str, resets: bool
    ) -> None:
        # Guards against a 200 with an empty or short body that is framed as whole.
        begun = HEADS[framing]
        bodies = await all_of(
            body_of(begun[:length], resets=resets) for length in range(len(begun))
        )
        assert set(map(repr, bodies)) == {repr(Err(CallFault.BROKEN))}

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_no_event_is_passed_on_after_a_head_that_is_cut_short(
        self, framing: str, resets: bool
    ) -> None:
        # Guards against an empty stream that ends as complete.
        begun = HEADS[framing]
        passed = await all_of(
            has_events(begun[:length], resets=resets) for length in range(len(begun))
        )
        assert not any(passed)

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    async def test_no_short_body_is_passed_on(self, framing: str, resets: bool) -> None:
        # Guards against a part of a body that is taken for the whole one.
        begun, whole = HEADS[framing], WHOLE[framing]
        bodies = await all_of(
            body_of(whole[:length], resets=resets)
            for length in range(len(begun), len(whole))
        )
        assert set(map(repr, bodies)) == {repr(Err(CallFault.BROKEN))}

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_a_head_without_its_last_line_before_the_body_is_broken(
        self, framing: str, resets: bool
    ) -> None:
        # Guards against a body that is read as a part of the head.
        begun = HEADS[framing]
        cut = begun.removesuffix(b"\r\n") + WHOLE[framing].removeprefix(begun)
        assert await body_of(cut, resets=resets) == Err(CallFault.BROKEN)

    @pytest.mark.parametrize("framing", list(PIECES))
    async def test_no_result_of_a_call_that_is_cut_short_is_used(
        self, framing: str, resets: bool
    ) -> None:
        # Guards against results of pieces in a part of an answer.
        whole = PIECES[framing]
        outcomes = await all_of(
            pieces_of(whole[:length], resets=resets) for length in range(len(whole))
        )
        assert set(map(repr, outcomes)) == {repr(Err(CallFault.BROKEN))}


class KeptConnection:
    """Answers the first call of each connection; cuts the head of the second."""

    def __init__(self, *, cut_after: int) -> None:
        self._cut_after = cut_after
        self.n_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for data in (answer, answer[: self._cut_after]):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readuntil(b"]}")
                writer.write(data)
                await writer.drain()
        writer.close()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[Worker]:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        yield Worker(
            worker_id="w1",
            service="stage",
            address=f"127.0.0.1:{port}",
            failure_domain="here",
        )
        server.close()


class TestKeptConnections:
    @pytest.mark.parametrize("cut_after", [0, 9, 17, 30, 38])
    async def test_results_are_freed_on_a_new_one_after_a_head_that_is_cut_short(
        self, cut_after: int
    ) -> None:
        # Guards against a kept connection whose next answer is not its own.
        kept = KeptConnection(cut_after=cut_after)
        async with kept.serving() as at, worker_client() as client:
            for _ in range(3):
                assert await client.free_results(at, ["h1"])
        assert kept.n_connections > 1
