"""A sidecar with lost connections, pauses, slow readers, faults and stops."""

import asyncio
import contextlib
import time
from typing import Any

import pytest

from tests.peer_helpers import RawPeer, hello_of, raw_listener, raw_peer
from tests.sidecar_harness import (
    AMPLE_CREDIT_BYTES,
    NS_PER_S,
    TIMEOUT_S,
    FakeTarget,
    running_sidecar,
    settings_for,
    sidecar_setup,
)
from tests.waiting import until
from trefoilpaddle.coordination.requests import streams
from trefoilpaddle.coordination.targets import dispatcher
from trefoilpaddle.coordination.targets.target_calls import PlainCaller
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Ack,
    Chunk,
    Credit,
    End,
    Failure,
    Fetch,
    Heartbeat,
    Outcome,
    Queued,
)
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.roles.sidecar import LOCK_MARGIN_S
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.state.catalogue import ServiceKind
from trefoilpaddle.state.journal import Event, Journal
from trefoilpaddle.state.settings import PolicySettings, RetentionSettings, StopSettings
from trefoilpaddle.transport import connection
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.port_lock import PortLockError, held_port

ENGINE = ServiceKind.ENGINE
PROMPT = b'{"prompt": "a b"}'


class TestLostConnection:
    async def test_stream_continues_over_a_new_connection(self) -> None:
        """The connection breaks during a streamed answer.

        The sidecar continues to read from the engine. The gateway reconnects,
        names the first chunk that it lacks and gets the rest. No chunk is lost or
        duplicated, and the engine runs once.
        """
        async with sidecar_setup(kind=ENGINE) as s, s.harness.gateway() as new:
            s.target.gate.clear()
            attempt_id = s.gateway.start(PROMPT, idempotent=False)
            first = await s.gateway.first_message(Chunk, attempt_id)
            s.gateway.connection.abort()
            await until(lambda: len(s.harness.process.server.connections) == 1)
            s.target.gate.set()
            await until(lambda: s.harness.sidecar.table.n_open == 0)
            new.messages.append(first)
            new.connection.write(
                Fetch(
                    attempt_id=attempt_id, from_seq=1, credit_bytes=AMPLE_CREDIT_BYTES
                )
            )
            assert await new.complete_answer(attempt_id) == b"0word 1word 2word "
            assert len(s.target.runs) == 1

    async def test_answer_is_held_until_it_is_acknowledged(self) -> None:
        """The connection breaks before the target's answer reaches the gateway."""
        async with sidecar_setup() as s, s.harness.gateway() as new:
            attempt_id = s.gateway.start(credit_bytes=0)
            await until(lambda: len(s.harness.sidecar.table.held) == 1)
            s.gateway.connection.abort()
            for _ in range(2):
                new.messages.clear()
                new.connection.write(
                    Fetch(attempt_id=attempt_id, credit_bytes=AMPLE_CREDIT_BYTES)
                )
                assert await new.complete_answer(attempt_id) == s.target.answer
            new.connection.write(Ack(attempt_id=attempt_id))
            new.connection.write(Fetch(attempt_id=attempt_id))
            failure = await new.failure(attempt_id)
            assert failure.outcome == Outcome.UNKNOWN
            assert failure.reason == Reason.RESULT_GONE

    async def test_held_answer_expires_and_is_logged(self) -> None:
        retention = RetentionSettings(held_results_s=0.01)
        async with sidecar_setup(retention=retention) as s:
            attempt_id = s.gateway.start()
            await s.gateway.complete_answer(attempt_id)
            await until(lambda: Event.RESULT_EXPIRED in s.harness.events)
            s.gateway.connection.write(Fetch(attempt_id=attempt_id))
            failure = await s.gateway.failure(attempt_id)
            assert failure.reason == Reason.RESULT_GONE

    async def test_fetch_of_an_unknown_attempt_bars_it(self) -> None:
        """A start message is lost with its connection; the gateway fetches the answer.

        The reply "not run" is true only if the message cannot start the attempt
        when it arrives later.
        """
        async with sidecar_setup() as s:
            start = s.gateway.start_message()
            s.gateway.connection.write(Fetch(attempt_id=start.attempt_id))
            failure = await s.gateway.failure(start.attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            s.gateway.connection.write(start)
            await until(
                lambda: len(s.gateway.messages_of(Failure, start.attempt_id)) == 2
            )
            assert s.target.runs == []

    async def test_queued_work_of_a_lost_gateway_is_not_started(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A gateway crashes while its calls are queued.

        No process is left to forward their answers, so running them would waste
        target time. A gateway that was only disconnected gets "not run".
        """
        monkeypatch.setattr(dispatcher, "DISCONNECT_GRACE_NS", 0)
        async with sidecar_setup() as s, s.harness.gateway() as new:
            s.target.gate.clear()
            for _ in range(4):
                new.start()
            await until(lambda: len(s.target.runs) == 4)
            lost = s.gateway.start()
            await s.gateway.first_message(Queued, lost)
            s.gateway.connection.abort()
            await until(lambda: len(s.harness.process.server.connections) == 1)
            s.target.gate.set()
            await until(lambda: s.harness.sidecar.table.n_open == 0)
            assert len(s.target.runs) == 4
            new.connection.write(Fetch(attempt_id=lost))
            assert (await new.failure(lost)).outcome == Outcome.NOT_RUN


class TestPausedProcess:
    async def test_no_call_is_sent_after_its_start_by_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A sidecar is paused after it decided to call its target.

        It resumes after the gateway has abandoned the attempt and sent the work
        to another target. The clock is read again right before the first byte is
        sent, so the call is not made.
        """
        async with sidecar_setup() as s:
            now_ns = time.monotonic_ns
            attempt_id = s.gateway.start(idempotent=False)

            async def run_after_pause(self: Any, *args: Any, **kwargs: Any) -> Any:
                monkeypatch.setattr(
                    time, "monotonic_ns", lambda: now_ns() + 20 * NS_PER_S
                )
                return await run(self, *args, **kwargs)

            run = PlainCaller.run
            monkeypatch.setattr(PlainCaller, "run", run_after_pause)
            failure = await s.gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.DEADLINE_PASSED
            assert s.target.runs == []

    async def test_start_after_its_deadline_is_refused_at_once(self) -> None:
        async with sidecar_setup() as s:
            for budget_ns in (1, 0, -1):
                failure = await s.gateway.failure(s.gateway.start(budget_ns=budget_ns))
                assert failure.outcome == Outcome.NOT_RUN
                assert failure.reason == Reason.DEADLINE_PASSED

    async def test_queued_work_is_answered_at_its_deadline(self) -> None:
        async with sidecar_setup(policy=PolicySettings(refuse_early=False)) as s:
            s.target.gate.clear()
            for _ in range(4):
                s.gateway.start()
            attempt_id = s.gateway.start(budget_ns=NS_PER_S // 20)
            failure = await s.gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.DEADLINE_PASSED
            assert attempt_id.hex() not in s.target.runs


class TestSlowReader:
    async def test_slow_reader_delays_only_its_own_stream(self) -> None:
        """A slow reader of a long answer and another caller share a connection.

        Without credit for each attempt, the long answer would fill the
        connection or the memory of the sidecar.
        """
        async with sidecar_setup(kind=ENGINE) as s:
            s.target.n_tokens, s.target.token = 3000, "x" * 1000 + " "
            slow = s.gateway.start(PROMPT, credit_bytes=1)
            attempt = s.harness.sidecar.table.get
            bound_bytes = streams.MAX_UNSENT_BYTES
            await until(
                lambda: (
                    (found := attempt(slow)) is not None
                    and found.stream.answer.n_bytes > bound_bytes
                )
            )
            s.target.n_tokens = 3
            quick = s.gateway.start(PROMPT)
            await s.gateway.complete_answer(quick)
            held = attempt(slow)
            assert held is not None
            # Each read from the target exceeds the bound by at most one buffer.
            assert held.stream.answer.n_bytes < 3 * bound_bytes
            assert len(s.gateway.messages_of(Chunk, slow)) == 1
            s.gateway.connection.write(
                Credit(attempt_id=slow, n_bytes=AMPLE_CREDIT_BYTES)
            )
            await s.gateway.complete_answer(slow)


class TestBrokenEngine:
    async def test_broken_stream_is_resumed(self) -> None:
        """The engine's connection breaks after two tokens; the run continues."""
        async with sidecar_setup(kind=ENGINE) as s:
            s.target.n_tokens, s.target.disconnect_after = 5, 2
            attempt_id = s.gateway.start(PROMPT, idempotent=False)
            answer = await s.gateway.complete_answer(attempt_id)
            assert answer == b"0word 1word 2word 3word 4word "
            assert s.target.resumed_from == [2]
            assert len(s.target.runs) == 1

    @pytest.mark.parametrize(
        ("idempotent", "outcome"), [(True, Outcome.FAILED), (False, Outcome.UNKNOWN)]
    )
    async def test_stream_that_the_engine_has_lost_is_an_error(
        self, idempotent: bool, outcome: int
    ) -> None:
        async with sidecar_setup(kind=ENGINE) as s:
            s.target.disconnect_after, s.target.knows_attempts = 2, False
            attempt_id = s.gateway.start(PROMPT, idempotent=idempotent)
            failure = await s.gateway.failure(attempt_id)
            assert failure.outcome == outcome
            assert s.gateway.messages_of(End, attempt_id) == []

    async def test_stream_that_the_engine_abandoned_is_no_answer(self) -> None:
        """An engine ends a stream early and reports it in the last event.

        The tokens so far would be taken for a short answer.
        """
        async with sidecar_setup(kind=ENGINE) as s:
            s.target.finish_reason = "error"
            failure = await s.gateway.failure(s.gateway.start(PROMPT))
            assert failure.outcome == Outcome.FAILED
            assert failure.reason == Reason.TARGET_FAILED


class TestTargetLock:
    async def test_second_sidecar_does_not_start(self) -> None:
        """A sidecar is paused and its successor is started.

        Both would call the same target. The paused one keeps the lock port, so
        the successor waits and then reports which port is held.
        """
        address = Address(ip="127.0.0.1", port=free_port())
        async with held_port(address, wait_s=0.0):
            with pytest.raises(PortLockError, match=str(address.port)):
                async with held_port(address, wait_s=0.0):
                    pass

    async def test_successor_starts_when_the_first_exits(self) -> None:
        address = Address(ip="127.0.0.1", port=free_port())

        async def acquire_port() -> None:
            async with held_port(address, wait_s=TIMEOUT_S):
                pass

        async with held_port(address, wait_s=0.0):
            second = asyncio.create_task(acquire_port())
            await asyncio.sleep(0)
            assert not second.done()
        await second

    async def test_successor_waits_for_a_close_that_peers_delay(self) -> None:
        """A sidecar is replaced while a gateway is paused.

        Each step of its close waits for that gateway. If the successor waits for
        the port for less than all steps together, it exits and the target has no
        sidecar.
        """
        address = Address(ip="127.0.0.1", port=free_port())
        process = Process(
            identity=Identity(
                process_id="t1-sidecar",
                incarnation=2,
                role="sidecar",
                failure_domain="fd1",
                region="r1",
            ),
            listen=Address(ip="127.0.0.1", port=0),
            journal=Journal(process_id="t1-sidecar", n_records=10),
        )
        resumed = asyncio.Event()

        async def paused(peer: RawPeer) -> None:
            peer.send(hello_of("gateway")())
            await resumed.wait()

        async def acquire_port() -> None:
            async with held_port(address, wait_s=LOCK_MARGIN_S):
                pass

        async with (
            raw_listener(paused) as gateway,
            contextlib.AsyncExitStack() as stack,
        ):
            async with held_port(address, wait_s=0.0), process.running():
                link = process.peers.link(gateway)
                await link.opened.wait()
                peer = await stack.enter_async_context(raw_peer(process.server.address))
                peer.send(hello_of("gateway")())
                await until(lambda: process.server.connections)
                successor = asyncio.create_task(acquire_port())
            await successor
            resumed.set()


class TestPlannedStop:
    async def test_stop_interrupts_no_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A sidecar is stopped while calls run and are queued.

        Every connection is notified that the sidecar leaves without waiting for
        the next heartbeat, new work is refused as not run, and all accepted work
        is answered.
        """
        monkeypatch.setattr(connection, "HEARTBEAT_S", 3600.0)
        async with sidecar_setup() as s:
            s.target.gate.clear()
            accepted = [s.gateway.start(idempotent=False) for _ in range(6)]
            await until(lambda: len(s.target.runs) == 4)
            stop = asyncio.create_task(s.harness.sidecar.stop())
            await until(
                lambda: any(
                    isinstance(message, Heartbeat)
                    and message.load is not None
                    and message.load.leaving
                    for message in s.gateway.messages
                )
            )
            failure = await s.gateway.failure(s.gateway.start())
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.LEAVING
            s.target.gate.set()
            for attempt_id in accepted:
                await s.gateway.complete_answer(attempt_id)
                s.gateway.connection.write(Ack(attempt_id=attempt_id))
            assert await stop == 0

    async def test_interrupted_calls_are_counted(self) -> None:
        async with FakeTarget().serving() as target:
            settings = settings_for(
                target_port=target.port,
                stop=StopSettings(drain_s=0.05),
            )
            target.gate.clear()
            async with (
                running_sidecar(settings) as harness,
                harness.gateway() as gateway,
            ):
                gateway.start()
                await until(lambda: len(target.runs) == 1)
                assert await harness.sidecar.stop() == 1


class TestTargetDown:
    async def test_queued_work_is_rejected_when_its_target_goes_down(self) -> None:
        """A target crashes while calls run and are queued.

        The queued calls can still be run by another target in time.
        """
        async with sidecar_setup() as s:
            s.target.gate.clear()
            for _ in range(4):
                s.gateway.start()
            waiting = s.gateway.start()
            await until(lambda: len(s.target.runs) == 4)
            s.harness.sidecar.dispatcher.set_target_up(is_up=False)
            failure = await s.gateway.failure(waiting)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.TARGET_DOWN

    async def test_target_that_does_not_answer_gets_no_work(self) -> None:
        async with FakeTarget().serving() as target:
            port = target.port
        settings = settings_for(target_port=port)
        async with running_sidecar(settings) as harness, harness.gateway() as gateway:
            await until(lambda: Event.TARGET_DOWN in harness.events)
            failure = await gateway.failure(gateway.start())
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.TARGET_DOWN
            assert failure.retry_after_s > 0
