"""What callers may send, and that nothing is smuggled in it."""

import asyncio
import contextlib
import socket
import time

import pytest
from adapter.caller_answers import AnswerWriter
from adapter.caller_requests import decode_prompt
from adapter.callers import CLOSE_CHECK_S, CallerServer
from aiohttp import web_protocol
from hypothesis import given, settings
from hypothesis import strategies as st

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

from ..waiting import until
from .caller_rig import GET, HEAD, Served, ask, serving, status


class TestRequests:
    async def test_what_a_caller_sends_is_decoded(self) -> None:
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

    async def test_what_is_the_systems_to_set_is_not_passed_on(self) -> None:
        # A caller names another account, reserves memory at an engine, or hands
        # over its key: none of it may reach a worker.
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
    def test_counts_that_cannot_be_read_are_refused(self, counts: str) -> None:
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
    async def test_what_can_be_read_in_two_ways_is_refused(self, more: bytes) -> None:
        # Two readers that disagree where a body ends let its rest pass for a
        # request of its own, which no caller sent.
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

    async def test_a_chunked_body_is_read_whole(self) -> None:
        served = Served()
        body = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        await ask(served, GET + body)
        assert served.requests[0].body == b"abcde"

    async def test_however_it_is_sent_a_body_has_one_digest(self) -> None:
        # A request that crashes workers is known again by the hash of its body.
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

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(noise=st.binary(min_size=1, max_size=60), at=st.integers(0, 80))
    def test_noise_never_becomes_a_second_request(self, noise: bytes, at: int) -> None:
        async def run() -> None:
            served = Served()
            whole = GET + b"Content-Length: 3\r\n\r\nabc"
            await ask(served, whole[:at] + noise + whole[at:])
            assert len(served.requests) <= 1 + noise.count(b"HTTP/1")

        asyncio.run(run())


class TestAnswers:
    async def test_a_refusal_says_when_to_come_back(self) -> None:
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
    async def test_ends_have_their_status(
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
    async def test_one_that_crashes_workers_is_not_invited_back(
        self, outcome: Outcome
    ) -> None:
        # Callers come back after a 502 or a 503, and each time end a worker.
        answer = await ask(Served(outcome=outcome), GET + b"\r\n")
        assert status(answer) == 400
        assert b"Retry-After" not in answer

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

    async def test_a_kept_connection_serves_one_request_after_another(self) -> None:
        served = Served()
        answer = await ask(served, (GET + b"\r\n") * 3)
        assert answer.count(b"HTTP/1.1 200") == 3

    async def test_a_caller_that_leaves_ends_its_request(self) -> None:
        served = Served(hangs=True)
        async with serving(served) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            while not served.requests:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(1.0):
                await served.left.wait()

    async def test_a_fault_inside_never_says_that_it_has_not_run(self) -> None:
        class Faulty(Served):
            async def __call__(
                self, request: CallerRequest, sink: CallerSink
            ) -> Outcome:
                raise RuntimeError("a fault")

        assert status(await ask(Faulty(), GET + b"\r\n")) == 502


class TestClosing:
    async def test_what_is_read_as_it_closes_is_answered(self) -> None:
        # All requests of a gateway that stops are answered and it closes. In that
        # moment a caller sends one more on an open connection; it is read, passed on
        # to a worker, and its connection closed 0.2 s later, within the worker's
        # time. The cause: whoever was read after the last look was not waited for.
        served = Served(works_s=0.4)
        async with serving(served) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await until(lambda: served.requests)
        assert status(await reader.read()) == 200
        writer.close()

    async def test_one_that_is_half_read_is_told_that_it_has_not_run(self) -> None:
        # A caller still sends its body when a gateway that stops closes. It saw a
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

    async def test_what_is_read_in_the_turn_of_its_close_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # As above, but the request is read in the very turn of the loop in which the
        # gateway sees that all is answered. It was counted two turns later, after the
        # last look, passed on to a worker and cut.
        came = asyncio.Event()
        read = web_protocol.RequestHandler.data_received

        def data_received(connection: web_protocol.RequestHandler, data: bytes) -> None:
            read(connection, data)
            came.set()

        monkeypatch.setattr(web_protocol.RequestHandler, "data_received", data_received)
        served = Served(works_s=0.4)
        async with serving(served) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n")
            await came.wait()
        assert status(await reader.read()) in (200, 503)
        assert len(served.requests) == served.n_ended
        writer.close()

    async def test_what_came_while_the_process_stood_still_is_answered(self) -> None:
        # All is answered, and a gateway that stops gives a last request the time to
        # be read. Its process stands still for just that time, as on a host with too
        # little processor; a request that comes meanwhile is not read before the last
        # look, and its connection is closed without a word.
        with socket.socket() as caller:

            def stand_still() -> None:
                caller.sendall(GET + b"\r\n")
                time.sleep(4 * CLOSE_CHECK_S)

            async with serving(Served()) as port:
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, ("127.0.0.1", port))
                await asyncio.sleep(0.05)
                loop.call_later(CLOSE_CHECK_S / 5, stand_still)
            assert status(await loop.sock_recv(caller, 1 << 16)) in (200, 503)

    async def test_who_sends_while_it_waits_for_the_last_is_told_at_once(self) -> None:
        # One request is still at its worker when a gateway closes. Another caller
        # sends on a connection that it had open: its request was read and thrown
        # away, and its connection closed only when the first had its answer.
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

    async def test_a_caller_that_reads_slowly_gets_its_answer_whole(self) -> None:
        # The last answer of a gateway that stops goes to a caller that reads slowly,
        # or far away. Its last part, up to 64 KB, was still in the process when all
        # counted as answered; the process ended a moment later, and the caller had
        # half of an answer that its worker had made whole.
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
            # What the end of the process does to what it has not sent.
            served.transport.abort()
            assert (await reading).count(b"x") >= size

    async def test_what_was_sent_behind_a_request_is_answered_too(self) -> None:
        # A caller sends two requests, one behind the other, and the gateway is told
        # to stop while the first is at its worker. The first answer closed the
        # connection, and the second, read long before, ended without a word.
        stop = PlannedStop(grace_s=8.0)
        served = Served(works_s=0.2)
        server = CallerServer(serve=served, limits=CallerLimits, stop=stop)
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
