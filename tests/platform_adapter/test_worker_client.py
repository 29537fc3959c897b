"""How a worker's bytes are interpreted; a raw worker writes arbitrary ones."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import ClassVar

import aiohttp
import pytest
from adapter.sessions import pooled_session, single_use_session
from adapter.worker_answers import decode_event
from adapter.worker_client import PART_BYTES, WorkerClient, request_headers
from result import Err, Ok, Result

from tests.chain.fakes import request
from tests.chain.fakes import worker as listed_worker
from trefoilpaddle.coordination.chain.target_calls import (
    OpenAnswer,
    StreamBrokenError,
    StreamCutError,
    TargetCall,
)
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceResult, PieceWork
from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.worker_statements import WorkerStatement
from trefoilpaddle.state.chain.workers import Worker

from .raw_engines import raw_engine

HEAD = (
    b"HTTP/1.1 %s\r\nTrefoilpaddle-Attempt-Id: %s\r\n"
    b"Trefoilpaddle-Server-Seal: s\r\n%s\r\n"
)


def head(*, status: bytes = b"200 OK", seen: bytes = b"a1", more: bytes = b"") -> bytes:
    return HEAD % (status, seen, more)


COMPLETE = head(more=b"Content-Length: 4\r\n") + b"body"
UNFRAMED = head(more=b"Connection: close\r\n")
UNANNOUNCED = head()
OLD_VERSION = UNFRAMED.replace(b"HTTP/1.1", b"HTTP/1.0")
CHUNKED = head(more=b"Transfer-Encoding: chunked\r\n")


class RawWorker:
    """Reads a request, writes `answer`, then closes or resets the connection."""

    def __init__(self, answer: bytes, *, resets: bool = False) -> None:
        self.answer = answer
        self.resets = resets
        self.seen: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.seen.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
            await writer.drain()
            if self.resets:
                await asyncio.sleep(0.05)
                linger = struct.pack("ii", 1, 0)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


def ignore(worker: Worker, statement: WorkerStatement) -> None:
    pass


@contextlib.asynccontextmanager
async def worker_client(
    on_statement: Callable[[Worker, WorkerStatement], None] = ignore,
) -> AsyncIterator[WorkerClient]:
    async with single_use_session() as session, pooled_session() as keepalive_session:
        yield WorkerClient(
            session=session,
            keepalive_session=keepalive_session,
            health_path_of=lambda _: "/health",
            on_statement=on_statement,
        )


@contextlib.asynccontextmanager
async def calling(
    answer: bytes,
    *,
    resets: bool = False,
    on_statement: Callable[[Worker, WorkerStatement], None] = ignore,
) -> AsyncIterator[tuple[WorkerClient, Worker, RawWorker]]:
    raw = RawWorker(answer, resets=resets)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    at = Worker(
        worker_id="w1",
        service="plain",
        address=f"127.0.0.1:{port}",
        failure_domain="here",
    )
    async with worker_client(on_statement) as client:
        yield client, at, raw
    server.close()


def call() -> TargetCall:
    return TargetCall(request=request(), account="acme", ends_s=time.monotonic() + 5)


async def body_of(answer: bytes, *, resets: bool = False) -> Result[bytes, CallFault]:
    async with (
        calling(answer, resets=resets) as (client, at, _),
        client.exchange(at, call()) as opened,
    ):
        match opened:
            case Ok(got):
                return await got.read()
            case Err(fault):
                return Err(fault)


async def events_of(answer: bytes, *, resets: bool = False) -> list[int]:
    async with (
        calling(answer, resets=resets) as (client, at, _),
        client.exchange(at, call()) as opened,
    ):
        got: OpenAnswer = opened.unwrap()
        return [event.number async for event in got.events()]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class TestCompleteAnswers:
    async def test_a_complete_answer_is_forwarded(self) -> None:
        assert await body_of(COMPLETE) == Ok(b"body")

    async def test_bytes_after_an_answer_are_ignored(self) -> None:
        assert await body_of(COMPLETE + COMPLETE) == Ok(b"body")

    async def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        assert await body_of(UNFRAMED + b"body") == Ok(b"body")

    async def test_an_answer_without_a_length_that_is_reset_is_truncated(self) -> None:
        # The worker crashes in the middle of an answer without a length. The part that
        # was sent must not reach the caller as if it were complete.
        assert await body_of(UNFRAMED + b"bo", resets=True) == Err(CallFault.BROKEN)

    async def test_a_short_answer_is_broken(self) -> None:
        short = head(more=b"Content-Length: 9\r\n") + b"body"
        assert await body_of(short) == Err(CallFault.BROKEN)

    async def test_an_incomplete_chunked_answer_is_broken(self) -> None:
        assert await body_of(CHUNKED + chunk(b"bo")) == Err(CallFault.BROKEN)

    async def test_an_answer_to_another_request_is_broken(self) -> None:
        other = head(seen=b"zz", more=b"Content-Length: 4\r\n") + b"body"
        assert await body_of(other) == Err(CallFault.BROKEN)

    async def test_an_unsigned_answer_is_broken(self) -> None:
        plain = COMPLETE.replace(b"Trefoilpaddle-Server-Seal: s\r\n", b"")
        assert await body_of(plain) == Err(CallFault.BROKEN)

    async def test_an_answer_in_another_content_encoding_is_broken(self) -> None:
        coded = head(more=b"Content-Encoding: gzip\r\nContent-Length: 4\r\n") + b"body"
        assert await body_of(coded) == Err(CallFault.BROKEN)

    @pytest.mark.parametrize("data", [b"", b"\0\1\2\3", b"HTTP/9 what\r\n\r\n"])
    async def test_invalid_bytes_are_broken(self, data: bytes) -> None:
        assert await body_of(data) == Err(CallFault.BROKEN)


class TestStatuses:
    # Guards against callers that get the status of an answer that HTTP does not have.
    INVALID: ClassVar = pytest.mark.parametrize(
        "status", [b"000 OK", b"001 OK", b"099 OK", b"101 OK", b"600 OK", b"999 OK"]
    )

    @INVALID
    @pytest.mark.parametrize("more", [b"", b"Trefoilpaddle-Not-Executed: 1\r\n"])
    async def test_an_answer_with_an_invalid_status_is_broken(
        self, status: bytes, more: bytes
    ) -> None:
        answer = head(status=status, more=b"Content-Length: 4\r\n" + more) + b"body"
        assert await body_of(answer) == Err(CallFault.BROKEN)

    @INVALID
    async def test_a_stage_answer_with_an_invalid_status_is_broken(
        self, status: bytes
    ) -> None:
        answer = head(status=status, more=b"Trefoilpaddle-Not-Executed: 1\r\n")
        async with calling(answer) as (client, at, _):
            work = PieceWork(
                request_id="a1",
                route="r",
                stage=0,
                piece=0,
                due_s=0.0,
                deadline_s=time.monotonic() + 1,
            )
            ran = await client.run_pieces(
                at, [work], timeout_s=1.0, on_sent=lambda: None
            )
        assert ran == Err(CallFault.BROKEN)

    @INVALID
    async def test_a_report_with_an_invalid_status_states_nothing(
        self, status: bytes
    ) -> None:
        stated: list[WorkerStatement] = []
        answer = head(status=status, more=b"Server-Leaving: 1\r\n")
        async with calling(
            answer, on_statement=lambda _, each: stated.append(each)
        ) as (
            client,
            at,
            _,
        ):
            assert await client.report(at, timeout_s=1.0) is None
        assert not stated

    @pytest.mark.parametrize("status", [b"200 OK", b"299 OK", b"404 No", b"599 No"])
    async def test_an_answer_with_a_final_status_is_forwarded(
        self, status: bytes
    ) -> None:
        answer = head(status=status, more=b"Content-Length: 4\r\n") + b"body"
        assert await body_of(answer) == Ok(b"body")


class TestControlBytes:
    # Guards against a field that cannot be written to the caller.
    @pytest.mark.parametrize("byte", [b"\x00", b"\x01", b"\x1f", b"\x7f"])
    async def test_an_answer_with_one_is_broken(self, byte: bytes) -> None:
        more = b"Content-Length: 4\r\nX-Odd: a%bb\r\n" % byte
        assert await body_of(head(more=more) + b"body") == Err(CallFault.BROKEN)

    async def test_a_tab_and_bytes_beyond_ascii_are_forwarded(self) -> None:
        more = b"Content-Length: 4\r\nX-Odd: a\tb\xc3\xa4\xff\r\n"
        assert await body_of(head(more=more) + b"body") == Ok(b"body")


class TestLargeHeads:
    # Guards against 502 for requests that ran, as their answers have large heads.
    @pytest.mark.parametrize(
        ("n_fields", "n_bytes"), [(1, 9_000), (1, 200_000), (150, 20), (1000, 200)]
    )
    async def test_they_are_forwarded_whole(self, n_fields: int, n_bytes: int) -> None:
        value = b"v" * n_bytes
        more = b"".join(b"X-%d: %b\r\n" % (n, value) for n in range(n_fields))
        answer = head(more=b"Content-Length: 4\r\n" + more) + b"body"
        async with (
            calling(answer) as (client, at, _),
            client.exchange(at, call()) as opened,
        ):
            forwarded = opened.unwrap().head.headers
        assert sum(each == value for _, each in forwarded) == n_fields


class TestNotRun:
    @pytest.mark.parametrize(
        ("status", "fault"),
        [
            (b"503 Full", CallFault.FULL),
            (b"429 Many", CallFault.FULL),
            (b"409 Gone", CallFault.INPUTS_GONE),
            (b"421 Other", CallFault.MOVED),
        ],
    )
    async def test_marked_statuses_mean_not_run(
        self, status: bytes, fault: CallFault
    ) -> None:
        more = b"Trefoilpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n"
        assert await body_of(head(status=status, more=more)) == Err(fault)

    # Guards against a second run, as the answer to another request says "not run".
    @pytest.mark.parametrize("status", [b"503 Full", b"409 Gone", b"421 Other"])
    async def test_another_request_that_has_not_run_states_nothing(
        self, status: bytes
    ) -> None:
        more = b"Trefoilpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n"
        answer = head(status=status, seen=b"a2", more=more)
        assert await body_of(answer) == Err(CallFault.BROKEN)

    async def test_an_answer_without_an_id_may_say_not_run(self) -> None:
        bare = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
        answer = bare + b"Trefoilpaddle-Not-Executed: 1\r\n\r\n"
        assert await body_of(answer) == Err(CallFault.FULL)

    async def test_an_unmarked_503_may_have_run(self) -> None:
        bare = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        assert await body_of(bare) == Err(CallFault.BROKEN)

    async def test_no_listener_means_nothing_was_sent(self) -> None:
        at = listed_worker("w1")
        gone = Worker(
            worker_id="w1",
            service="plain",
            address="127.0.0.1:1",
            failure_domain=at.failure_domain,
        )
        async with (
            worker_client() as client,
            client.exchange(gone, call()) as opened,
        ):
            assert opened == Err(CallFault.REFUSED)
            assert not CallFault.REFUSED.was_sent


class TestStreams:
    async def test_events_are_complete_however_they_are_split(self) -> None:
        data = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
        pieces = b"".join(chunk(data[at : at + 3]) for at in range(0, len(data), 3))
        assert await events_of(CHUNKED + pieces + b"0\r\n\r\n") == [1, 2]

    async def test_an_end_within_an_event_is_broken(self) -> None:
        data = chunk(b"id: 1\ndata: x\n\nid: 2\nda") + b"0\r\n\r\n"
        with pytest.raises(StreamBrokenError):
            await events_of(CHUNKED + data)

    async def test_an_end_between_events_without_final_chunk_is_broken(self) -> None:
        with pytest.raises(StreamBrokenError):
            await events_of(CHUNKED + chunk(b"id: 1\n\n"))

    async def test_a_reset_without_framing_is_broken(self) -> None:
        with pytest.raises(StreamBrokenError):
            await events_of(UNFRAMED + b"id: 1\n\n", resets=True)

    def test_an_event_without_a_number_is_broken(self) -> None:
        with pytest.raises(StreamBrokenError):
            decode_event(b"data: x\n\n")


class TestCutStreams:
    """Guards against a run that goes on elsewhere while its worker still runs it."""

    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize(
        "data",
        [CHUNKED + chunk(b"id: 1\n\n"), UNFRAMED + b"id: 1\n\nid: 2"],
        ids=["chunked", "unframed"],
    )
    async def test_a_closed_connection_is_told_apart(
        self, data: bytes, resets: bool
    ) -> None:
        with pytest.raises(StreamCutError):
            await events_of(data, resets=resets)

    @pytest.mark.parametrize(
        "data",
        [
            chunk(b"id: 1\n\nid: 2") + b"0\r\n\r\n",
            chunk(b"id: 1\n\ndata: x\n\n"),
        ],
        ids=["ends inside an event", "no number"],
    )
    async def test_a_faulty_stream_is_not_cut(self, data: bytes) -> None:
        with pytest.raises(StreamBrokenError) as raised:
            await events_of(CHUNKED + data)
        assert not isinstance(raised.value, StreamCutError)


@pytest.mark.parametrize(
    "begun", [UNFRAMED, UNANNOUNCED, OLD_VERSION], ids=["closes", "plain", "1.0"]
)
class TestEndWithConnection:
    """Answers with neither a length nor chunks."""

    async def test_an_answer_is_forwarded_whole(self, begun: bytes) -> None:
        body = b"x" * 200_000
        assert await body_of(begun + body) == Ok(body)

    async def test_an_answer_that_is_reset_is_broken(self, begun: bytes) -> None:
        assert await body_of(begun + b"bo", resets=True) == Err(CallFault.BROKEN)

    async def test_a_stream_that_ends_after_an_event_is_complete(
        self, begun: bytes
    ) -> None:
        assert await events_of(begun + b"id: 1\n\nid: 2\ndata: x\n\n") == [1, 2]

    # Guards against a stream that looks complete although its worker broke it off.
    @pytest.mark.parametrize(
        "last", [b"i", b"id: 2", b"id: 2\ndata:", b"id: 2\ndata: x\n"]
    )
    async def test_a_stream_that_ends_inside_an_event_is_broken(
        self, begun: bytes, last: bytes
    ) -> None:
        with pytest.raises(StreamBrokenError):
            await events_of(begun + b"id: 1\ndata: x\n\n" + last)

    async def test_a_stream_that_is_reset_is_broken(self, begun: bytes) -> None:
        with pytest.raises(StreamBrokenError):
            await events_of(begun + b"id: 1\n\n", resets=True)


class TestSent:
    async def test_headers_name_the_worker_and_the_account(self) -> None:
        sent = dict(request_headers(listed_worker("w7"), call()))
        assert sent["Trefoilpaddle-Expected-Instance"] == "w7"
        assert sent["Trefoilpaddle-Tenant"] == "acme"
        assert 4000 < int(sent["Trefoilpaddle-Deadline-Milliseconds"]) <= 5000

    async def test_headers_that_are_not_ascii_keep_their_bytes(self) -> None:
        # Guards against the name of a model that its worker gets encoded twice.
        field = (b"Trefoilpaddle-Model", "modèle".encode())
        named = replace(call(), request=replace(call().request, headers=(field,)))
        ((name, value), *_) = request_headers(listed_worker("w1"), named)
        # The HTTP library writes header fields in UTF-8.
        assert (name.encode(), value.encode()) == field

    async def test_headers_name_the_copy(self) -> None:
        backup = listed_worker("w2")
        sent = dict(
            request_headers(listed_worker("w1"), replace(call(), backup=backup))
        )
        assert sent["Trefoilpaddle-Cache-Backup"] == "w2:1"
        assert "Kv-From" not in sent
        goes_on = replace(call(), copy_of="a1", after_event=7)
        sent = dict(request_headers(listed_worker("w2"), goes_on))
        assert (sent["Kv-From"], sent["Last-Event-Id"]) == ("w2:1/a1", "7")
        assert "Trefoilpaddle-Cache-Backup" not in sent

    async def test_the_request_target_is_sent_unchanged(self) -> None:
        odd = "/a%2Fb/../c?x=%20&&"
        sent = TargetCall(
            request=request(target=odd), account="", ends_s=time.monotonic() + 5
        )
        async with (
            calling(COMPLETE) as (client, at, raw),
            client.exchange(at, sent) as opened,
        ):
            assert opened.is_ok()
            assert raw.seen[0].split(b" ")[1] == odd.encode()


class TestBodies:
    # Guards against parts of a body that are lost or repeated on the way to its worker.
    @pytest.mark.parametrize("size", [0, 1, PART_BYTES, 3 * PART_BYTES + 1])
    async def test_a_body_arrives_whole(self, size: int) -> None:
        body = bytearray(n % 251 for n in range(size))
        arrived: list[bytes] = []

        async def read(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            assert size == 0 or b"Content-Length: %d\r\n" % size in head
            assert b"Content-Type" not in head
            arrived.append(await reader.readexactly(size))
            writer.write(COMPLETE)

        sent = replace(call(), request=replace(call().request, body=body))
        async with raw_engine(read) as address, worker_client() as client:
            at = replace(listed_worker("w1"), address=address)
            async with client.exchange(at, sent) as opened:
                assert opened.is_ok()
        assert arrived == [body]


class TestPieces:
    def setup_method(self) -> None:
        self.sent: list[Worker] = []

    async def run_pieces(self, body: bytes) -> object:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
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
        async with calling(answer) as (client, at, _):
            return await client.run_pieces(
                at, works, timeout_s=1.0, on_sent=lambda: self.sent.append(at)
            )

    async def test_each_piece_has_its_own_outcome(self) -> None:
        outcomes = await self.run_pieces(
            b'{"items":[{"handle":"h/1"},{"reason":"room"}]}'
        )
        made = PieceResult(handle="h/1", worker_id="w1")
        assert outcomes == Ok([made, PieceFault.NO_MEMORY])

    async def test_on_sent_is_called_once(self) -> None:
        await self.run_pieces(b'{"items":[{"handle":"h/1"},{"reason":"room"}]}')
        assert len(self.sent) == 1

    @pytest.mark.parametrize(
        "body", [b"{}", b"nonsense", b'{"items":[{"handle":"h"}]}']
    )
    async def test_a_response_that_does_not_match_is_broken(self, body: bytes) -> None:
        assert await self.run_pieces(body) == Err(CallFault.BROKEN)


class FreeingWorker:
    """Frees results; closes the connection or hangs after its first answer."""

    def __init__(self, *, then: str) -> None:
        self.then = then
        self.bodies: list[bytes] = []
        self.n_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                self.bodies.append(await reader.readexactly(length))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                if self.then == "closes":
                    break
                if self.then == "is silent":
                    await reader.read()
                    break
        writer.close()


class TestFreeing:
    async def free(
        self, then: str, *, n_times: int
    ) -> tuple[list[bool], FreeingWorker]:
        freeing = FreeingWorker(then=then)
        server = await asyncio.start_server(freeing.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        at = Worker(
            worker_id="w1",
            service="stage",
            address=f"127.0.0.1:{port}",
            failure_domain="here",
        )
        freed = []
        async with worker_client() as client:
            for number in range(n_times):
                freed.append(await client.free_results(at, [f"h/{number}"]))
                await asyncio.sleep(0.01)
        server.close()
        return freed, freeing

    async def test_calls_share_a_connection(self) -> None:
        freed, freeing = await self.free("goes on", n_times=5)
        assert freed == [True] * 5
        assert freeing.n_connections == 1
        assert freeing.bodies[-1] == b'{"handles":["h/4"]}'

    # A worker drops idle connections without notice, or becomes unresponsive. Results
    # that are not freed because of that would take its memory for seconds, and calls
    # there would be shortened.
    @pytest.mark.parametrize("then", ["closes", "is silent"])
    async def test_a_lost_keep_alive_connection_is_replaced(self, then: str) -> None:
        freed, freeing = await self.free(then, n_times=2)
        assert freed == [True, True]
        assert b'{"handles":["h/1"]}' in freeing.bodies


class TestListening:
    async def is_listening(
        self, *, n_cut: int, resets: bool = False, reads: bool = False
    ) -> bool | None:
        """Check a worker that cuts the first connections and keeps the others."""
        n_connections = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal n_connections
            n_connections += 1
            if reads:
                await reader.readuntil(b"\r\n\r\n")
            if n_connections > n_cut:
                await reader.read()
            elif resets:
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        at = Worker(
            worker_id="w1",
            service="plain",
            address=f"127.0.0.1:{port}",
            failure_domain="here",
        )
        async with worker_client() as client:
            found = await client.is_listening(at)
        server.close()
        return found

    @pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
    async def test_an_address_that_cuts_every_connection_has_no_worker(
        self, resets: bool
    ) -> None:
        # Guards against crashes that a listener in front of the worker hides.
        assert await self.is_listening(n_cut=9, resets=resets) is False

    @pytest.mark.parametrize("resets", [False, True], ids=["closes", "resets"])
    async def test_an_address_that_cuts_after_reading_has_no_worker(
        self, resets: bool
    ) -> None:
        # Guards against crashes that a proxy in front of the worker hides.
        assert await self.is_listening(n_cut=9, resets=resets, reads=True) is False

    @pytest.mark.parametrize("reads", [False, True])
    async def test_one_cut_connection_is_no_exit(self, reads: bool) -> None:
        # Guards against a reset that is taken for an exit.
        assert await self.is_listening(n_cut=1, reads=reads) is True

    async def test_a_worker_that_reports_ill_health_listens(self) -> None:
        # Guards against a worker that is taken for exited because it is unhealthy.
        answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        async with calling(answer) as (client, at, _):
            assert await client.is_listening(at) is True

    async def test_nothing_is_known_once_the_gateway_has_stopped(self) -> None:
        # Guards against an error in the log for runs that the end of a stop broke off.
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        async with calling(answer) as (client, at, _):
            await client._session.close()
            assert await client.is_listening(at) is None

    async def test_a_worker_that_keeps_connections_listens(self) -> None:
        assert await self.is_listening(n_cut=0) is True

    # Guards against workers that count as exited, and requests that count as having
    # crashed them, as what they send is no answer.
    @pytest.mark.parametrize("sent", [b"no answer\r\n\r\n", b"HTTP/1.1 2x\r\n\r\n"])
    async def test_bytes_that_are_no_answer_come_from_a_process(
        self, sent: bytes
    ) -> None:
        async with calling(sent) as (client, at, _):
            assert await client.is_listening(at) is True


def test_a_session_is_created_in_an_event_loop() -> None:
    async def open_session() -> bool:
        async with single_use_session() as session:
            return isinstance(session, aiohttp.ClientSession)

    assert asyncio.run(open_session())


NEEDS = b"Server-Limit: 2\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n"


class TestStatements:
    # Guards against needs of a worker that only some of its answers tell the gateway.
    @pytest.mark.parametrize(
        ("status", "more", "answers_request"),
        [
            (b"200 OK", b"", True),
            (b"500 Failed", b"", True),
            (b"503 Full", b"Trefoilpaddle-Not-Executed: 1\r\n", False),
            (b"409 Gone", b"Trefoilpaddle-Not-Executed: 1\r\n", False),
        ],
    )
    async def test_every_answer_to_a_request_counts(
        self, *, status: bytes, more: bytes, answers_request: bool
    ) -> None:
        told: list[WorkerStatement] = []
        answer = head(status=status, more=NEEDS + more)
        async with (
            calling(
                answer, on_statement=lambda _, statement: told.append(statement)
            ) as (client, at, _),
            client.exchange(at, call()),
        ):
            pass
        stated = WorkerStatement(
            limit_per_s=2.0, is_leaving=True, answers_request=answers_request
        )
        assert told == [stated]

    # Guards against needs that are read only once a stream has ended.
    async def test_the_head_of_a_stream_counts_at_once(self) -> None:
        told: list[WorkerStatement] = []
        answer = head(more=NEEDS.replace(b"Content-Length: 0\r\n", b""))
        async with (
            calling(
                answer, on_statement=lambda _, statement: told.append(statement)
            ) as (client, at, _),
            client.exchange(at, call()) as opened,
        ):
            assert opened.is_ok()
            assert [statement.is_leaving for statement in told] == [True]

    # Guards against needs of a worker that has taken over the address of another.
    async def test_the_answer_of_another_worker_does_not_count(self) -> None:
        told: list[WorkerStatement] = []
        async with calling(
            head(status=b"421 Moved", more=NEEDS),
            on_statement=lambda _, statement: told.append(statement),
        ) as (client, at, _):
            async with client.exchange(at, call()):
                pass
            await client.free_results(at, ["h1"])
        assert not told

    # Guards against needs of stage workers that are told by answers to other calls.
    async def test_answers_to_calls_of_pieces_reports_and_freeing_count(self) -> None:
        told: list[WorkerStatement] = []
        async with calling(
            head(more=NEEDS), on_statement=lambda _, statement: told.append(statement)
        ) as (client, at, _):
            await client.run_pieces(at, [], timeout_s=1.0, on_sent=lambda: None)
            await client.report(at, timeout_s=1.0)
            await client.free_results(at, ["h1"])
        assert [statement.answers_request for statement in told] == [True, False, False]
        assert all(statement.is_leaving for statement in told)


class TestSentOnce:
    # Guards against a request that the HTTP library sends again by itself: it may run
    # twice, and "not run" is told for one that has run.
    async def test_a_request_whose_connection_breaks_is_sent_once(self) -> None:
        n_seen = {}
        for method in ("GET", "PUT", "DELETE", "POST"):
            sent = replace(call(), request=request(method=method))
            async with calling(b"") as (client, at, raw):
                async with client.exchange(at, sent) as opened:
                    assert opened == Err(CallFault.BROKEN)
                n_seen[method] = len(raw.seen)
        assert n_seen == dict.fromkeys(n_seen, 1)
