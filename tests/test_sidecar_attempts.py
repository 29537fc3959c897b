"""A sidecar runs an attempt at most once and reports correctly what ran."""

import pytest

from tests.sidecar_harness import (
    FakeTarget,
    running_sidecar,
    settings_for,
    sidecar_setup,
)
from tests.waiting import until
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Ack,
    Bar,
    BarState,
    BodyChunk,
    Cancel,
    Failure,
    Fetch,
    Outcome,
)
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.catalogue import ServiceKind


class TestCompleteCall:
    async def test_plain_call_is_answered_completely(self) -> None:
        async with sidecar_setup() as s:
            target, harness, gateway = s.target, s.harness, s.gateway
            target.headers = {"X-Cost-S": "0.25"}
            attempt_id = gateway.start()
            assert await gateway.complete_answer(attempt_id) == target.answer
            gateway.connection.write(Ack(attempt_id=attempt_id))
            await until(lambda: len(harness.sidecar.table) == 0)
            assert target.runs == [attempt_id.hex()]

    async def test_engine_streams_its_tokens(self) -> None:
        async with sidecar_setup(kind=ServiceKind.ENGINE) as s:
            gateway = s.gateway
            body = b'{"prompt": "a b", "max_tokens": 3}'
            attempt_id = gateway.start(body)
            answer = await gateway.complete_answer(attempt_id)
            assert answer == b"0word 1word 2word "
            end = gateway.messages[-1]
            assert (end.n_tokens, end.n_prompt_tokens) == (3, 2)
            assert (end.n_cached_tokens, end.cost_s) == (1, 0.5)

    async def test_large_body_is_received_in_chunks(self) -> None:
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            body = b'"' + b"x" * 200_000 + b'"'
            start = gateway.start_message(body)
            start.body = b""
            gateway.connection.write(start)
            for seq, at in enumerate(range(0, len(body), 65536)):
                piece = body[at : at + 65536]
                gateway.connection.write(
                    BodyChunk(attempt_id=start.attempt_id, seq=seq, data=piece)
                )
            assert await gateway.complete_answer(start.attempt_id) == target.answer

    async def test_corrupt_body_is_not_run(self) -> None:
        """A byte of the body is corrupted on its way to the sidecar.

        The caller would get the answer to another input. The checksum in the
        start message does not match, so the call is refused.
        """
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            attempt_id = gateway.start(body_checksum=1)
            failure = await gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.CORRUPT
            assert target.runs == []


class TestAtMostOnce:
    async def test_resent_start_runs_once(self) -> None:
        """A gateway resends a start message after its connection broke.

        The first message has started the call. The second one only attaches to
        its answer. A third one, after the acknowledgement, is refused because the
        attempt has run; it must not start it again.
        """
        async with sidecar_setup() as s, s.harness.gateway() as two:
            target, one = s.target, s.gateway
            target.gate.clear()
            start = one.start_message(idempotent=False)
            one.connection.write(start)
            await until(lambda: len(target.runs) == 1)
            two.connection.write(start)
            two.connection.write(start)
            target.gate.set()
            assert await two.complete_answer(start.attempt_id) == target.answer
            two.connection.write(Ack(attempt_id=start.attempt_id))
            two.connection.write(start)
            failure = await two.failure(start.attempt_id)
            assert failure.outcome == Outcome.UNKNOWN
            assert failure.reason == Reason.RESULT_GONE
            assert len(target.runs) == 1

    async def test_start_that_arrives_after_its_bar_is_refused(self) -> None:
        """A start message is delayed in the buffers of a broken connection.

        The gateway bars the attempt over a new connection and reports "not run"
        to its caller. The delayed message that arrives later must not start.
        """
        async with sidecar_setup() as s, s.harness.gateway() as new:
            target, old = s.target, s.gateway
            start = old.start_message(idempotent=False)
            answer = await new.request(Bar(attempt_id=start.attempt_id))
            assert answer.state == BarState.BARRED
            old.connection.write(start)
            failure = await old.failure(start.attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.BARRED
            assert target.runs == []

    async def test_bar_reports_running_done_and_forgotten_attempts(self) -> None:
        async with sidecar_setup() as s:
            target, harness, gateway = s.target, s.harness, s.gateway
            target.gate.clear()
            attempt_id = gateway.start()
            await until(lambda: len(target.runs) == 1)
            bar = Bar(attempt_id=attempt_id)
            assert (await gateway.request(bar)).state == BarState.RUNNING
            target.gate.set()
            await gateway.complete_answer(attempt_id)
            assert (await gateway.request(bar)).state == BarState.DONE
            gateway.connection.write(Ack(attempt_id=attempt_id))
            await until(lambda: len(harness.sidecar.table) == 0)
            assert (await gateway.request(bar)).state == BarState.FORGOTTEN

    async def test_start_for_another_incarnation_is_refused(self) -> None:
        """A start message for the previous incarnation of a sidecar arrives.

        Its time stamp is from another clock, so no start-by time can be computed.
        """
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            failure = await gateway.failure(gateway.start(incarnation=7))
            assert failure.reason == Reason.WRONG_INCARNATION
            failure = await gateway.failure(gateway.start(stamp_ns=0))
            assert failure.reason == Reason.WRONG_INCARNATION
            assert target.runs == []

    async def test_restarted_sidecar_makes_no_promise_for_former_incarnation(
        self,
    ) -> None:
        """A sidecar is killed during a call that may run only once, and restarted.

        The gateway's request to bar the attempt reaches the new process, which
        knows nothing of the call. A reply that it never ran would be a guess, and
        the caller would run it a second time.
        """
        async with sidecar_setup() as s:
            start = s.gateway.start_message(idempotent=False)
            other = s.gateway.connection.peer.incarnation + 1
            bar = Bar(attempt_id=start.attempt_id, incarnation=other)
            assert (await s.gateway.request(bar)).state == BarState.FORGOTTEN
            s.gateway.connection.write(
                Fetch(attempt_id=start.attempt_id, incarnation=other)
            )
            failure = await s.gateway.failure(start.attempt_id)
            assert failure.outcome == Outcome.UNKNOWN
            assert failure.reason == Reason.WRONG_INCARNATION
            own = s.gateway.connection.peer.incarnation
            bar = Bar(attempt_id=start.attempt_id, incarnation=own)
            assert (await s.gateway.request(bar)).state == BarState.BARRED


class TestReportedOutcome:
    @pytest.mark.parametrize(
        ("status", "headers", "outcome"),
        [
            (503, {"X-Not-Run": "1"}, Outcome.NOT_RUN),
            (404, {"X-Not-Run": "1"}, Outcome.NOT_RUN),
            (503, {}, Outcome.FAILED),
            (500, {}, Outcome.FAILED),
            (400, {}, Outcome.FAILED),
        ],
    )
    async def test_error_status_determines_outcome(
        self, status: int, headers: dict[str, str], outcome: int
    ) -> None:
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            target.status, target.headers = status, headers
            failure = await gateway.failure(gateway.start())
            assert failure.outcome == outcome

    async def test_unreachable_target_gives_not_run(self) -> None:
        async with FakeTarget().serving() as target:
            port = target.port
        async with (
            running_sidecar(settings_for(target_port=port)) as harness,
            harness.gateway() as gateway,
        ):
            failure = await gateway.failure(gateway.start(idempotent=False))
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.TARGET_DOWN

    async def test_call_broken_after_it_was_sent_is_unknown(self) -> None:
        """A target closes the connection during a call that may run only once.

        The call may have completed or not. On "failed" or "not run" the caller
        would run it a second time.
        """
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            target.disconnect_after = 0
            failure = await gateway.failure(gateway.start(idempotent=False))
            assert failure.outcome == Outcome.UNKNOWN
            assert len(target.runs) == 1


class TestCancel:
    async def test_idempotent_work_is_cancelled_at_the_engine(self) -> None:
        async with sidecar_setup(kind=ServiceKind.ENGINE) as s:
            target, gateway = s.target, s.gateway
            target.gate.clear()
            attempt_id = gateway.start(b'{"prompt": "a"}')
            await until(lambda: len(target.runs) == 1)
            gateway.connection.write(Cancel(attempt_id=attempt_id))
            failure = await gateway.failure(attempt_id)
            assert failure.outcome == Outcome.FAILED
            assert failure.reason == Reason.CANCELLED
            await until(lambda: target.cancelled == [attempt_id.hex()])

    async def test_non_idempotent_work_is_not_interrupted(self) -> None:
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            target.gate.clear()
            attempt_id = gateway.start(idempotent=False)
            await until(lambda: len(target.runs) == 1)
            gateway.connection.write(Cancel(attempt_id=attempt_id))
            await gateway.request(Bar(attempt_id=attempt_id))
            target.gate.set()
            assert await gateway.complete_answer(attempt_id) == target.answer

    async def test_queued_work_is_dropped(self) -> None:
        async with sidecar_setup() as s:
            target, gateway = s.target, s.gateway
            target.gate.clear()
            running = [gateway.start() for _ in range(4)]
            waiting = gateway.start()
            gateway.connection.write(Cancel(attempt_id=waiting))
            failure = await gateway.failure(waiting)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.CANCELLED
            target.gate.set()
            for attempt_id in running:
                await gateway.complete_answer(attempt_id)
            assert waiting.hex() not in target.runs
            assert gateway.messages_of(Failure, running[0]) == []
