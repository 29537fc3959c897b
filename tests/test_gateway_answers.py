"""Answers of stage calls: each reaches only its caller, and only if complete."""

import asyncio

import pytest

from tests.fake_sidecar import Call
from tests.gateway_harness import (
    catalogue,
    engine_stage,
    error_of,
    gateway_harness,
    plain_stage,
)
from tests.sidecar_scripts import sidecar
from tests.test_gateway_path import sse
from tests.waiting import until
from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.gen.stage.ttypes import Chunk, End, Fetch
from trefoilpaddle.state.journal import Event

# Each chunk is large enough that the gateway grants new credit after it.
CHUNK_BYTES = 300_000
CHUNKS = (
    b'{"a": "'.rjust(CHUNK_BYTES),
    b"w" * CHUNK_BYTES,
    b'"}'.rjust(CHUNK_BYTES, b"h"),
)
COMPLETE_ANSWER = {"a": "w" * CHUNK_BYTES + "h" * (CHUNK_BYTES - 2)}


class TestLateAndInterleavedAnswers:
    async def test_a_late_answer_of_an_abandoned_attempt_reaches_no_caller(
        self,
    ) -> None:
        """A request reaches its deadline and the next one is sent to the same
        target. Only then does the target answer the first, on the connection that
        both share. The second caller must get only its own answer.
        """
        first: list[Call] = []

        async def script(call: Call) -> None:
            if not first:
                first.append(call)
                call.started()
                return
            first[0].chunk(0, b'{"whose": "first"}')
            first[0].end(b'{"whose": "first"}')
            call.answer(b'{"whose": "second"}')

        async with gateway_harness(
            sidecar(script), published=catalogue(plain_stage())
        ) as b:
            error = await error_of(b, X_Deadline_S="0.2")
            assert error["outcome"] == "failed"
            async with b.post(json={}) as answer:
                assert await answer.json() == {"whose": "second"}
            assert Event.FRAME_DROPPED in b.events()

    async def test_two_interleaved_answers_reach_their_own_callers(self) -> None:
        """Two requests wait at one target, which answers the later one first and
        interleaves its chunks with those of the earlier one.
        """
        calls: list[Call] = []

        async def script(call: Call) -> None:
            calls.append(call)
            call.started()
            if len(calls) < 2:
                return
            for seq in range(2):
                for other in reversed(calls):
                    other.chunk(seq, (b"[" if seq == 0 else other.body + b"]"))
            for other in reversed(calls):
                other.end(b"[", other.body + b"]")

        async with gateway_harness(
            sidecar(script), published=catalogue(plain_stage())
        ) as b:

            async def ask(n: int) -> object:
                async with b.post(json={"n": n}) as answer:
                    return await answer.json()

            answers = list(await asyncio.gather(ask(1), ask(2)))
            assert answers == [[{"input": {"n": 1}}], [{"input": {"n": 2}}]]

    async def test_a_frame_from_another_sidecar_is_dropped(self) -> None:
        """A faulty or restored sidecar answers an attempt that was sent to another
        one. The caller must get the answer of its own target.
        """
        other = sidecar(service="x", name="t2")

        async def script(call: Call) -> None:
            call.started()
            for connection in other.server.connections:
                data = b'"wrong"'
                attempt_id = call.start.attempt_id
                connection.write(Chunk(attempt_id=attempt_id, seq=0, data=data))
                connection.write(
                    End(
                        attempt_id=attempt_id,
                        n_chunks=1,
                        n_bytes=len(data),
                        checksum=checksum(data),
                        load=other.load(),
                    )
                )
            dropped = b.gateway.attempts
            await until(lambda: dropped.n_dropped == 2)
            call.chunk(0, b'"right"')
            call.end(b'"right"')

        published = catalogue(plain_stage(), plain_stage("x"))
        published.pipelines["p"] = type(published.pipelines["p"])(
            stages=published.pipelines["p"].stages[:1]
        )
        async with (
            gateway_harness(sidecar(script), other, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert await answer.json() == "right"


class TestLostConnection:
    @pytest.mark.parametrize("n_before", [0, 1, 3])
    async def test_the_answer_is_fetched_from_the_same_incarnation(
        self, n_before: int
    ) -> None:
        """The connection is lost while a call that must run at most once is at its
        target, during the answer or right before its end frame. The gateway
        reconnects and fetches the rest, so the caller notices nothing.
        """

        async def script(call: Call) -> None:
            call.started()
            for seq in range(n_before):
                call.chunk(seq, CHUNKS[seq])
            first_credit = call.start.credit_bytes
            taken = n_before * CHUNK_BYTES
            await until(lambda: call.credit_bytes == first_credit + taken)
            s.abort_connections()

        def on_fetch(call: Call, fetch: Fetch) -> None:
            for seq in range(fetch.from_seq, len(CHUNKS)):
                call.chunk(seq, CHUNKS[seq])
            call.end(*CHUNKS)

        s = sidecar(script)
        s.on_fetch = on_fetch
        published = catalogue(plain_stage(idempotent=False))
        async with (
            gateway_harness(s, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 200
            assert await answer.json() == COMPLETE_ANSWER
            assert len(s.runs) == 1
            assert Event.RESULT_FETCHED in b.events()
            await s.calls[0].is_acked.wait()

    async def test_a_non_idempotent_call_at_a_restarted_sidecar_is_unknown(
        self,
    ) -> None:
        """The sidecar exits while a call that must run at most once may be at its
        target. Its next incarnation does not know the call. The caller gets
        "unknown", and no other target is tried.
        """

        async def script(call: Call) -> None:
            call.started()
            restarts.append(asyncio.create_task(s.restart()))

        restarts: list[asyncio.Task[None]] = []
        s, other = sidecar(script), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(s, other, published=published) as b:
            error = await error_of(b)
            assert error["outcome"] == "unknown"
            assert error["reason"] == "wrong_incarnation"
            assert error["retry_safe"] is False
            assert not other.calls

    async def test_an_idempotent_call_is_retried_at_another_target(self) -> None:
        """The same, but the call may be retried: another target answers it."""

        async def script(call: Call) -> None:
            call.started()
            restarts.append(asyncio.create_task(s.restart()))

        restarts: list[asyncio.Task[None]] = []
        s, other = sidecar(script), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        async with (
            gateway_harness(s, other, published=catalogue(plain_stage())) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 200
            assert len(other.calls) == 1
            assert Event.RETRIED in b.events()


class TestCorruptAnswers:
    async def test_a_corrupt_answer_is_fetched_once_more(self) -> None:
        """An answer arrives with a checksum that does not match, and the sidecar
        still holds the correct one. The caller gets the correct one.
        """

        async def script(call: Call) -> None:
            call.started()
            call.chunk(0, CHUNKS[0])
            call.end(CHUNKS[0], bad_checksum=True)

        def on_fetch(call: Call, fetch: Fetch) -> None:
            assert fetch.from_seq == 0
            for seq, data in enumerate(CHUNKS):
                call.chunk(seq, data)
            call.end(*CHUNKS)

        s = sidecar(script)
        s.on_fetch = on_fetch
        published = catalogue(plain_stage(idempotent=False))
        async with (
            gateway_harness(s, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert await answer.json() == COMPLETE_ANSWER

    @pytest.mark.parametrize("fault", ["count", "checksum", "gap"])
    async def test_a_corrupt_answer_is_never_passed_to_the_caller(
        self, fault: str
    ) -> None:
        """The answer is still corrupt when it is fetched again: a chunk is missing
        or the checksum is wrong. The caller gets an error, never a partial answer.
        """

        def send_corrupt(call: Call, _fetch: object = None) -> None:
            call.chunk(0, b"[1]")
            if fault == "gap":
                call.chunk(2, b" ")
            call.end(
                *([b"[1]"] if fault != "count" else [b"[1]", b" "]),
                bad_checksum=fault == "checksum",
            )

        async def script(call: Call) -> None:
            call.started()
            send_corrupt(call)

        s = sidecar(script)
        s.on_fetch = send_corrupt
        published = catalogue(plain_stage(idempotent=False))
        async with (
            gateway_harness(s, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 502
            error = (await answer.json())["error"]
            assert (error["outcome"], error["reason"]) == ("failed", "corrupt")

    async def test_a_truncated_stream_ends_with_an_error_event(self) -> None:
        """Tokens have reached the caller when the end frame shows that some were
        lost. The stream ends with ``error``, so it cannot be taken for complete,
        and no other target is called to generate the text again.
        """

        async def script(call: Call) -> None:
            call.started()
            call.chunk(0, b"half")
            call.end(b"half", b"lost")

        s, other = sidecar(script, service="gen"), sidecar(service="gen", name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        async with (
            gateway_harness(s, other, published=catalogue(engine_stage())) as b,
            b.post(data="x", Accept="text/event-stream") as answer,
        ):
            names = [name for name, _ in sse(await answer.text())]
            assert names == ["token", "error"]
            assert not other.calls
