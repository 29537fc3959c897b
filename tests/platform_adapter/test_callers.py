"""Requests of callers: decoding, unambiguous framing, answers and closing."""

import asyncio
import contextlib
import gc
import gzip
import socket
import time
from collections.abc import Iterator

import pytest
from adapter import callers
from adapter.caller_answers import AnswerWriter
from adapter.caller_requests import decode_prompt
from adapter.callers import CallerServer
from aiohttp import web, web_protocol
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from trefoilpaddle.coordination.chain.caller_sink import CallerSink
from trefoilpaddle.coordination.chain.planned_stop import PlannedStop
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.state.chain.requests import (
    Answered,
    CallerRequest,
    Failed,
    Outcome,
    PromptPart,
    Refused,
)
from trefoilpaddle.state.chain.routes import CallerLimits
from trefoilpaddle.state.chain.target_answers import AnswerHead
from trefoilpaddle.state.held_bytes import HeldBytes
from trefoilpaddle.state.journal import Event, Journal
from trefoilpaddle.transport.http_connection import CLOSE_POLL_S

from ..waiting import until
from .caller_harness import (
    GET,
    HEAD,
    HELD_BYTES,
    PAUSE_S,
    Served,
    ask,
    exchange,
    serving,
    status,
)

UNREAD_BYTES = 4 * 1024 * 1024
MAX_UNCOUNTED_BYTES = 96 * 1024
"""What a connection may hold of a body before it is counted.

Of 600 it is 58 MB, which a machine of 300 MB has beside the process, its bodies and its
answers.
"""


class TestRequests:
    async def test_a_request_is_decoded(self) -> None:
        served = Served()
        sent = (
            GET + b"Trefoilpaddle-Deadline-Milliseconds: 1500\r\n"
            b"Trefoilpaddle-Credential: key\r\nTrefoilpaddle-Pieces: 2,0,7\r\n"
            b"Trefoilpaddle-Token-Counts: 100,20\r\n"
            b"Trefoilpaddle-Prompt-Prefix: ab:60,cd:40\r\nLast-Event-Id: 3\r\n\r\n"
        )
        assert status(await ask(served, sent)) == 200
        (request,) = served.requests
        assert (request.request_id, request.key) == ("a", "key")
        assert request.n_pieces == (2, 0, 7)
        assert request.after_event == 3
        assert request.prompt is not None
        assert request.prompt.parts[0] == PromptPart(part_id="ab", n_tokens=60)
        assert 1.4 < request.deadline_s - request.received_s <= 1.5

    async def test_reserved_headers_are_not_forwarded(self) -> None:
        # A caller sets another account, reserves memory at an engine, or sends its key:
        # none of these headers may reach a worker.
        served = Served()
        names = (
            b"Trefoilpaddle-Credential",
            b"Trefoilpaddle-Tenant",
            b"Trefoilpaddle-Hold",
            b"Trefoilpaddle-Pin-Milliseconds",
            b"Trefoilpaddle-Cache-Backup",
            b"Kv-From",
            b"Trefoilpaddle-Expected-Instance",
            b"X-Named",
        )
        sent = GET + b"".join(name + b": x\r\n" for name in names)
        await ask(served, sent + b"Connection: x-named\r\nX-Kept: 1\r\n\r\n")
        kept = {name.lower() for name, _ in served.requests[0].headers}
        assert kept == {b"trefoilpaddle-attempt-id", b"x-kept"}

    @pytest.mark.parametrize(
        "counts", ["1", "x,y", "1,2,3"], ids=["one", "words", "three"]
    )
    def test_invalid_token_counts_are_refused(self, counts: str) -> None:
        with pytest.raises(ValueError):
            decode_prompt(counts, "ab:1")


class TestFraming:
    @pytest.mark.parametrize(
        "more",
        [
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            b"Content-Length: +5\r\n\r\nhello",
            b"Content-Length: 5 \x0b\r\n\r\nhello",
            b"Host: other\r\n\r\n",
            b"Bad Name: x\r\n\r\n",
            b" folded: x\r\n\r\n",
        ],
    )
    async def test_ambiguous_framing_is_refused(self, more: bytes) -> None:
        # If two readers disagree where a body ends, its rest is taken for a separate
        # request that no caller sent.
        served = Served()
        assert status(await ask(served, GET + more)) == 400
        assert served.requests == []

    async def test_a_request_inside_a_body_stays_a_body(self) -> None:
        served = Served()
        inner = GET + b"\r\n"
        length = b"Content-Length: %d\r\n\r\n" % len(inner)
        await ask(served, GET + length + inner)
        (request,) = served.requests
        assert request.body == inner

    async def test_a_chunked_body_is_read_completely(self) -> None:
        served = Served()
        body = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        await ask(served, GET + body)
        assert served.requests[0].body == b"abcde"

    @pytest.mark.parametrize("coding", [b"gzip", b"deflate", b"br", b"zstd"])
    async def test_a_body_with_a_coding_is_forwarded_as_sent(
        self, coding: bytes
    ) -> None:
        # Guards against a body that a worker gets decoded with the header unchanged,
        # and against one that is refused as its coding is unknown or damaged here.
        served = Served()
        body = gzip.compress(b"hello") if coding == b"gzip" else b"\x1f\x8b damaged"
        fields = b"Content-Encoding: %b\r\nContent-Length: %d\r\n\r\n"
        sent = GET + fields % (coding, len(body)) + body
        assert status(await ask(served, sent)) == 200
        (request,) = served.requests
        assert request.body == body
        assert (b"Content-Encoding", coding) in request.headers

    async def test_the_digest_of_a_body_does_not_depend_on_its_framing(self) -> None:
        # A request that crashes workers is recognised by the hash of its body.
        served = Served()
        chunks = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        await ask(served, GET + chunks)
        await ask(served, GET + b"Content-Length: 5\r\n\r\nabcde")
        await ask(served, GET + b"Content-Length: 5\r\n\r\nabcdf")
        first, second, third = (request.body_digest for request in served.requests)
        assert first == second != third

    async def test_a_body_that_is_too_large_is_refused(self) -> None:
        body = b"Content-Length: 101\r\n\r\n" + b"x" * 101
        assert status(await ask(Served(), GET + body)) == 413

    async def test_a_stall_of_the_test_does_not_look_like_a_missing_answer(
        self,
    ) -> None:
        # Guards against tests of framing that fail as their own process stalls.
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_S / 3, time.sleep, 2 * PAUSE_S)
        answer = await ask(Served(works_s=PAUSE_S / 2), GET + b"\r\n")
        assert status(answer) == 200

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(noise=st.binary(min_size=1, max_size=60), at=st.integers(0, 80))
    def test_noise_never_becomes_a_second_request(self, noise: bytes, at: int) -> None:
        async def run() -> None:
            served = Served()
            whole = GET + b"Content-Length: 3\r\n\r\nabc"
            sent = whole[:at] + noise + whole[at:]
            await ask(served, sent, is_answered=False)
            assert len(served.requests) <= 1 + noise.count(b"HTTP/1")

        asyncio.run(run())


class TestAnswers:
    async def test_a_refusal_contains_retry_after(self) -> None:
        refused = Refused(reason=Reason.PREDICTED_LATE, retry_after_s=0.75)
        answer = await ask(Served(outcome=refused), GET + b"\r\n")
        assert status(answer) == 503
        assert b"Retry-After: 0.750" in answer

    @pytest.mark.parametrize(
        ("outcome", "expected"),
        [
            (Refused(reason=Reason.NO_ENTRY), 404),
            (Refused(reason=Reason.UNAUTHORISED), 401),
            (Refused(reason=Reason.NO_CONFIGURATION), 503),
            (Failed(reason=Reason.CONNECTION_LOST), 502),
            (Failed(reason=Reason.TARGET_TIMEOUT), 504),
        ],
    )
    async def test_outcomes_have_their_status(
        self, outcome: Outcome, expected: int
    ) -> None:
        assert status(await ask(Served(outcome=outcome), GET + b"\r\n")) == expected

    @pytest.mark.parametrize(
        "outcome",
        [
            Refused(reason=Reason.CRASHES_WORKERS),
            Failed(reason=Reason.CRASHES_WORKERS),
        ],
    )
    async def test_a_request_that_crashes_workers_gets_no_retry_after(
        self, outcome: Outcome
    ) -> None:
        # Callers retry after a 502 or a 503, and crash a worker each time.
        answer = await ask(Served(outcome=outcome), GET + b"\r\n")
        assert status(answer) == 400
        assert b"Retry-After" not in answer

    @pytest.mark.parametrize("n_events", [0, 1])
    async def test_headers_that_are_not_ascii_keep_their_bytes(
        self, n_events: int
    ) -> None:
        # Guards against a header of a worker that its caller gets encoded twice.
        head = AnswerHead(status=200, headers=((b"X-Name", "modèle".encode()),))
        served = Served(head=head, n_events=n_events)
        assert "X-Name: modèle\r\n".encode() in await ask(served, GET + b"\r\n")

    async def test_a_stream_ends_as_complete(self) -> None:
        answer = await ask(Served(n_events=2), GET + b"\r\n")
        assert answer.endswith(b"0\r\n\r\n")

    async def test_a_broken_stream_does_not_look_complete(self) -> None:
        failed = Failed(reason=Reason.CONNECTION_LOST, is_begun=True)
        answer = await ask(Served(n_events=2, outcome=failed), GET + b"\r\n")
        assert b"id: 2" in answer
        assert not answer.endswith(b"0\r\n\r\n")

    async def test_a_stopping_gateway_closes_after_its_answer(self) -> None:
        answer = await ask(Served(), GET + b"\r\n", stopping=True)
        assert b"connection: close" in answer.lower()

    async def test_a_keep_alive_connection_serves_several_requests(self) -> None:
        served = Served()
        answer = await ask(served, (GET + b"\r\n") * 3)
        assert answer.count(b"HTTP/1.1 200") == 3

    async def test_a_disconnected_caller_cancels_its_request(self) -> None:
        served = Served(hangs=True)
        async with serving(served) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            while not served.requests:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(1.0):
                await served.left.wait()

    async def test_an_internal_error_does_not_say_that_nothing_has_run(self) -> None:
        class Faulty(Served):
            async def __call__(
                self, request: CallerRequest, sink: CallerSink
            ) -> Outcome:
                raise RuntimeError("a fault")

        assert status(await ask(Faulty(), GET + b"\r\n")) == 502


class TestUnwritableAnswers:
    # Guards against a connection that is closed without an answer for one odd field.
    @pytest.mark.parametrize("n_events", [0, 2])
    async def test_one_becomes_a_failure(self, n_events: int) -> None:
        head = AnswerHead(status=200, headers=((b"X-Odd", b"a\x01b"),))
        served = Served(head=head, n_events=n_events)
        answer = await ask(served, GET + b"\r\n")
        assert status(answer) == 502
        assert b"Seal" not in answer


class TestClosing:
    async def test_a_request_read_during_the_close_is_answered(self) -> None:
        # All requests of a stopping gateway are answered and it closes. At that moment
        # a caller sends another one on an open connection. It was read and sent to a
        # worker, and its connection was closed 0.2 s later, before the worker was done.
        # The cause: requests read after the last check were not waited for.
        served = Served(works_s=0.4)
        async with serving(served) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await until(lambda: served.requests)
        assert status(await reader.read()) == 200
        writer.close()

    async def test_a_partly_read_request_is_refused(self) -> None:
        # A caller is still sending its body when a stopping gateway closes. It saw a
        # closed connection, and could not know whether its request had run.
        served = Served()
        async with serving(served) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"Content-Length: 9\r\n\r\nhalf")
            await asyncio.sleep(0.1)
        answer = await reader.read()
        assert status(answer) == 503
        assert b"retry-after" in answer.lower()
        assert not served.requests
        writer.close()

    async def test_a_request_read_in_the_iteration_of_the_close_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # As above, but the request is read in the same iteration of the event loop in
        # which the gateway finds that all requests are answered. It was counted two
        # iterations later, after the last check, sent to a worker and interrupted.
        received = asyncio.Event()
        read = web_protocol.RequestHandler.data_received

        def data_received(connection: web_protocol.RequestHandler, data: bytes) -> None:
            read(connection, data)
            received.set()

        monkeypatch.setattr(web_protocol.RequestHandler, "data_received", data_received)
        served = Served(works_s=0.4)
        async with serving(served) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await received.wait()
        assert status(await reader.read()) in (200, 503)
        assert len(served.requests) == served.n_ended
        writer.close()

    async def test_a_request_that_arrives_during_a_stall_is_answered(self) -> None:
        # All requests are answered, and a stopping gateway allows time for a last one
        # to be read. The process stalls for just that time, as on a host with too
        # little processor time. A request that arrives meanwhile is not read before
        # the last check, and its connection was closed without an answer.
        with socket.socket() as caller:

            def stall() -> None:
                caller.sendall(GET + b"\r\n")
                time.sleep(4 * CLOSE_POLL_S)

            async with serving(Served()) as port:
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, ("127.0.0.1", port))
                await asyncio.sleep(0.05)
                loop.call_later(CLOSE_POLL_S / 5, stall)
            assert status(await loop.sock_recv(caller, 1 << 16)) in (200, 503)

    async def test_a_request_sent_while_the_close_waits_is_refused_at_once(
        self,
    ) -> None:
        # One request is still at its worker when a gateway closes. Another caller sends
        # on a connection that it had open. Its request was read and discarded, and its
        # connection was closed only when the first request had its answer.
        served = Served(works_s=1.0)
        async with serving(served) as port:
            idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await until(lambda: served.requests)
            later = asyncio.get_running_loop().call_later(
                0.2, idle_writer.write, GET + b"\r\n"
            )
        assert status(await reader.read()) == 200
        answer = await idle_reader.read()
        assert status(answer) == 503
        assert b"retry-after" in answer.lower()
        assert len(served.requests) == 1
        later.cancel()
        writer.close()
        idle_writer.close()

    async def test_a_caller_that_reads_slowly_gets_a_complete_answer(self) -> None:
        # The last answer of a stopping gateway goes to a caller that reads slowly, or
        # is far away. Its last part, up to 64 KB, was still in the process when all
        # requests counted as answered. The process exited a moment later, and the
        # caller received a truncated answer that its worker had completed.
        size = 60_000

        class Large(Served):
            transport: asyncio.Transport

            async def __call__(
                self, request: CallerRequest, sink: CallerSink
            ) -> Outcome:
                assert isinstance(sink, AnswerWriter)
                transport = sink._request.transport
                assert transport is not None
                self.transport = transport
                accepted = transport.get_extra_info("socket")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await sink.whole(HEAD, b"x" * size)
                self.n_ended += 1
                return Answered()

        served = Large()
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)

        async def read_late() -> bytes:
            await asyncio.sleep(0.3)
            got = b""
            with contextlib.suppress(ConnectionError):
                while more := await loop.sock_recv(caller, 1 << 16):
                    got += more
            return got

        with caller:
            async with serving(served) as port:
                await loop.sock_connect(caller, ("127.0.0.1", port))
                await loop.sock_sendall(caller, GET + b"\r\n")
                await until(lambda: served.n_ended)
                reading = asyncio.create_task(read_late())
            # What the exit of the process does to bytes that it has not sent.
            served.transport.abort()
            assert (await reading).count(b"x") >= size

    async def test_a_pipelined_request_is_answered_too(self) -> None:
        # A caller sends two requests in a row, and the gateway is ordered to stop while
        # the first is at its worker. The first answer closed the connection, and the
        # second request, read long before, ended without an answer.
        stop = PlannedStop(grace_s=8.0)
        served = Served(works_s=0.2)
        server = CallerServer(
            serve=served,
            limits=CallerLimits,
            stop=stop,
            admits=lambda: True,
            held=HeldBytes(limit_bytes=HELD_BYTES),
            held_answers=HeldBytes(limit_bytes=HELD_BYTES),
            journal=Journal(process_id="g", n_records=100),
        )
        port = free_port()
        async with server.listening(f"127.0.0.1:{port}"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n" + GET + b"\r\n")
            await until(lambda: served.requests)
            stop.order()
            answers = await reader.read()
        assert answers.count(b"HTTP/1.1 200") == 2
        assert answers.lower().count(b"connection: close") == 1
        writer.close()


class TestMemory:
    # Guards against a body that is read although its length alone refuses it.
    async def test_a_body_too_long_is_refused_before_it_is_sent(self) -> None:
        served = Served()
        async with serving(served) as port:
            answer = await exchange(port, GET + b"Content-Length: 101\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert not served.requests

    # Guards against a refusal for memory that does not say when to come back.
    async def test_a_body_without_room_is_refused_as_not_run(self) -> None:
        held = HeldBytes(limit_bytes=1)
        other = held.holding()
        assert other.take(1)
        served = Served()
        async with serving(served, held=held) as port:
            answer = await exchange(port, GET + b"Content-Length: 2\r\n\r\nab")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 0.500\r\n" in answer
        assert not served.requests

    # Guards against bytes that each connection of a crowd holds and nobody counts yet.
    @pytest.mark.parametrize(
        ("framing", "body"),
        [
            (b"Content-Length: %d" % UNREAD_BYTES, bytes(UNREAD_BYTES)),
            (b"Transfer-Encoding: chunked", (b"10000\r\n%b\r\n" % bytes(65536)) * 64),
        ],
        ids=["length", "chunks"],
    )
    async def test_little_is_read_before_a_body_is_counted(
        self, framing: bytes, body: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        n_buffered: list[int] = []

        async def look(request: web.BaseRequest, *_: object) -> Err[Reason]:
            await asyncio.sleep(PAUSE_S)
            n_buffered.append(request.content._size)
            return Err(Reason.MEMORY_FULL)

        monkeypatch.setattr(callers, "read_request", look)
        async with serving(Served(), held=HeldBytes(limit_bytes=1)) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + framing + b"\r\n\r\n" + body)
            await until(lambda: bool(n_buffered))
            writer.close()
        assert n_buffered[0] <= MAX_UNCOUNTED_BYTES


class TestUnreadRequests:
    # Guards against requests that end without a line in the log.
    @pytest.mark.parametrize(
        ("framing", "reason", "detail"),
        [
            (b"Content-Length: 101", Reason.TOO_LARGE, "its body was not read whole"),
            (b"Trefoilpaddle-Deadline-Milliseconds: soon", Reason.BAD_REQUEST, ""),
        ],
    )
    async def test_a_refusal_is_in_the_log(
        self, framing: bytes, reason: Reason, detail: str
    ) -> None:
        journal = Journal(process_id="g", n_records=10)
        async with serving(Served(), journal=journal) as port:
            await exchange(port, GET + framing + b"\r\n\r\n")
        (record,) = journal.recent()
        assert record.decision.event is Event.REQUEST_REFUSED
        assert record.decision.reason is reason
        assert record.decision.detail == detail

    async def test_a_caller_that_leaves_within_its_body_is_in_the_log(self) -> None:
        journal = Journal(process_id="g", n_records=10)
        async with serving(Served(), journal=journal) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"Content-Length: 2\r\n\r\nx")
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            writer.close()
            await until(lambda: list(journal.recent()))
        (record,) = journal.recent()
        assert record.decision.event is Event.CALLER_LEFT


class TestLog:
    async def test_a_request_that_is_interrupted_says_what_it_waited_for(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against connections that are closed without a word about what was open.
        stop = PlannedStop(grace_s=0.6)
        served = Served(hangs=True)
        server = CallerServer(
            serve=served,
            limits=CallerLimits,
            stop=stop,
            admits=lambda: True,
            held=HeldBytes(limit_bytes=HELD_BYTES),
            held_answers=HeldBytes(limit_bytes=HELD_BYTES),
            journal=Journal(process_id="g", n_records=100),
            waiting_for=lambda request: f"worker of {request.request_id}",
        )
        port = free_port()
        async with server.listening(f"127.0.0.1:{port}"):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await until(lambda: served.requests)
            stop.order()
        assert "1 waiting for worker of a" in caplog.text
        writer.close()


class TestFreedRequests:
    # Guards against bodies that fill the memory of an idle gateway, as they stay until
    # the cyclic collector runs.

    @pytest.fixture
    def n_before(self) -> Iterator[int]:
        """Keep the collector off; yield the requests that are alive before a test."""
        gc.collect()
        gc.disable()
        try:
            yield self.n_alive()
        finally:
            gc.enable()

    def n_alive(self) -> int:
        """Return the number of requests that have not been freed."""
        return sum(type(each) is CallerRequest for each in gc.get_objects())

    @pytest.mark.parametrize(
        "outcome",
        [
            Answered(),
            Refused(reason=Reason.STOPPING),
            Failed(reason=Reason.CONNECTION_LOST, is_begun=True),
        ],
    )
    async def test_a_request_is_freed_with_its_answer(
        self, n_before: int, outcome: Outcome
    ) -> None:
        served = Served(outcome=outcome)
        async with serving(served) as port:
            await exchange(port, GET + b"\r\n", is_answered=False)
            served.requests.clear()
            assert self.n_alive() == n_before

    async def test_a_request_is_freed_when_its_caller_leaves(
        self, n_before: int
    ) -> None:
        served = Served(hangs=True)
        async with serving(served) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await until(lambda: served.requests)
            writer.close()
            await served.left.wait()
            served.requests.clear()
            await until(lambda: self.n_alive() == n_before)


class TestAdmission:
    # Guards against a lagging process that reads a request before it closes the
    # connection, so that the caller cannot know that it has not run.
    async def test_a_connection_that_is_not_admitted_is_closed_unread(self) -> None:
        served = Served()
        async with serving(served, admits=False) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(ConnectionError):
                writer.write(GET + b"\r\n")
                assert await reader.read() == b""
            writer.close()
        assert served.requests == []

    async def test_a_stopping_gateway_refuses_with_an_answer(self) -> None:
        served = Served(outcome=Refused(reason=Reason.STOPPING))
        async with serving(served, admits=False, stopping=True) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            assert b" 503 " in await reader.readline()
            writer.close()
