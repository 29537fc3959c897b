"""Stage calls under failure: what a caller sees, and what it may never see."""

import asyncio

import pytest

from tests.fake_sidecar import Call, FakeSidecar, Script, echo
from tests.gateway_bench import Bench, bench, catalogue, engine_stage, plain_stage
from tests.test_gateway_path import sse
from tests.waiting import until
from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.gen.stage.ttypes import (
    BarState,
    Chunk,
    End,
    Failure,
    Fetch,
    Outcome,
    Started,
)
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.catalogue import Catalogue
from trefoilpaddle.state.journal import Event
from trefoilpaddle.state.settings import PolicySettings
from trefoilpaddle.transport.link import Link

# Each piece is large enough that the gateway grants new credit once it has it.
PIECE_BYTES = 300_000
PIECES = (
    b'{"a": "'.rjust(PIECE_BYTES),
    b"w" * PIECE_BYTES,
    b'"}'.rjust(PIECE_BYTES, b"h"),
)
WHOLE = {"a": "w" * PIECE_BYTES + "h" * (PIECE_BYTES - 2)}
NO_HEDGE = PolicySettings(hedge=False)


def sidecar(
    script: Script = echo, *, service: str = "s", name: str = "t1"
) -> FakeSidecar:
    return FakeSidecar(service=service, name=name, script=script)


async def never(call: Call) -> None:
    call.started()


def refuse(reason: Reason, outcome: int = Outcome.NOT_RUN) -> Script:
    async def script(call: Call) -> None:
        if outcome != Outcome.NOT_RUN:
            call.started()
        call.send(
            Failure(
                attempt_id=call.start.attempt_id,
                outcome=outcome,
                reason=int(reason),
                step="call",
                peer=call.sidecar.name,
                load=call.sidecar.load(),
            )
        )

    return script


async def error_of(b: Bench, **headers: str) -> dict[str, object]:
    async with b.post(json={}, **headers) as answer:
        body = await answer.json()
        error: dict[str, object] = body["error"]
        return error


class TestLateAndCrossedAnswers:
    async def test_an_answer_of_a_given_up_attempt_reaches_nobody(self) -> None:
        """A request runs into its deadline; the next one is sent to the same
        target. Only then does the target answer the first, on the connection
        that both share. The second caller must get its own answer alone.
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

        async with bench(sidecar(script), published=catalogue(plain_stage())) as b:
            error = await error_of(b, X_Deadline_S="0.2")
            assert error["outcome"] == "failed"
            async with b.post(json={}) as answer:
                assert await answer.json() == {"whose": "second"}
            assert Event.FRAME_DROPPED in b.events()

    async def test_two_answers_that_cross_reach_their_own_callers(self) -> None:
        """Two requests wait at one target, which answers the later one first,
        its pieces mixed with those of the earlier one.
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

        async with bench(sidecar(script), published=catalogue(plain_stage())) as b:

            async def ask(n: int) -> object:
                async with b.post(json={"n": n}) as answer:
                    return await answer.json()

            answers = list(await asyncio.gather(ask(1), ask(2)))
            assert answers == [[{"input": {"n": 1}}], [{"input": {"n": 2}}]]

    async def test_a_frame_from_another_sidecar_is_dropped(self) -> None:
        """One sidecar, mistaken or mended, answers an attempt that was sent to
        another one. The caller must get what its own target says.
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
            bench(sidecar(script), other, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert await answer.json() == "right"


class TestLostConnection:
    @pytest.mark.parametrize("n_before", [0, 1, 3])
    async def test_the_answer_is_fetched_from_the_same_incarnation(
        self, n_before: int
    ) -> None:
        """The connection breaks while a call that must run once is at its
        target, in mid-answer or right before its end frame. The caller sees
        nothing of it: the gateway comes back and asks for the rest.
        """

        async def script(call: Call) -> None:
            call.started()
            for seq in range(n_before):
                call.chunk(seq, PIECES[seq])
            first_credit = call.start.credit_bytes
            taken = n_before * PIECE_BYTES
            await until(lambda: call.credit_bytes == first_credit + taken)
            s.cut()

        def on_fetch(call: Call, fetch: Fetch) -> None:
            for seq in range(fetch.from_seq, len(PIECES)):
                call.chunk(seq, PIECES[seq])
            call.end(*PIECES)

        s = sidecar(script)
        s.on_fetch = on_fetch
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, published=published) as b, b.post(json={}) as answer:
            assert answer.status == 200
            assert await answer.json() == WHOLE
            assert len(s.runs) == 1
            assert Event.RESULT_FETCHED in b.events()
            await s.calls[0].is_acked.wait()

    async def test_a_restarted_sidecar_leaves_a_call_to_run_once_unknown(self) -> None:
        """The sidecar dies while a call that must run once may be at its target.
        Its successor knows nothing of it. The caller is told "unknown", and no
        other target is tried.
        """

        async def script(call: Call) -> None:
            call.started()
            restarts.append(asyncio.create_task(s.restart()))

        restarts: list[asyncio.Task[None]] = []
        s, other = sidecar(script), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, other, published=published) as b:
            error = await error_of(b)
            assert error["outcome"] == "unknown"
            assert error["reason"] == "wrong_incarnation"
            assert error["retry_safe"] is False
            assert not other.calls

    async def test_an_idempotent_call_is_repeated_elsewhere(self) -> None:
        """The same, but the call may be repeated: another target answers."""

        async def script(call: Call) -> None:
            call.started()
            restarts.append(asyncio.create_task(s.restart()))

        restarts: list[asyncio.Task[None]] = []
        s, other = sidecar(script), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        async with (
            bench(s, other, published=catalogue(plain_stage())) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 200
            assert len(other.calls) == 1
            assert Event.RETRIED in b.events()


class TestTornAnswers:
    async def test_a_torn_answer_is_fetched_once_more(self) -> None:
        """An answer comes with a checksum that does not match; the sidecar still
        holds the right one. The caller gets that one.
        """

        async def script(call: Call) -> None:
            call.started()
            call.chunk(0, PIECES[0])
            call.end(PIECES[0], bad_checksum=True)

        def on_fetch(call: Call, fetch: Fetch) -> None:
            assert fetch.from_seq == 0
            for seq, piece in enumerate(PIECES):
                call.chunk(seq, piece)
            call.end(*PIECES)

        s = sidecar(script)
        s.on_fetch = on_fetch
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, published=published) as b, b.post(json={}) as answer:
            assert await answer.json() == WHOLE

    @pytest.mark.parametrize("fault", ["count", "checksum", "gap"])
    async def test_a_torn_answer_never_looks_whole(self, fault: str) -> None:
        """The answer stays torn: a piece is missing, or the sum is wrong. The
        caller gets an error, never the part that came.
        """

        def torn(call: Call, _fetch: object = None) -> None:
            call.chunk(0, b"[1]")
            if fault == "gap":
                call.chunk(2, b" ")
            call.end(
                *([b"[1]"] if fault != "count" else [b"[1]", b" "]),
                bad_checksum=fault == "checksum",
            )

        async def script(call: Call) -> None:
            call.started()
            torn(call)

        s = sidecar(script)
        s.on_fetch = torn
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, published=published) as b, b.post(json={}) as answer:
            assert answer.status == 502
            error = (await answer.json())["error"]
            assert (error["outcome"], error["reason"]) == ("failed", "corrupt")

    async def test_a_torn_stream_ends_with_an_error_event(self) -> None:
        """Tokens have reached the caller when the end frame shows that some
        were lost. The stream ends with ``error``, so it cannot look finished,
        and no other target is asked to write the text again.
        """

        async def script(call: Call) -> None:
            call.started()
            call.chunk(0, b"half")
            call.end(b"half", b"lost")

        s, other = sidecar(script, service="gen"), sidecar(service="gen", name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        async with (
            bench(s, other, published=catalogue(engine_stage())) as b,
            b.post(data="x", Accept="text/event-stream") as answer,
        ):
            names = [name for name, _ in sse(await answer.text())]
            assert names == ["token", "error"]
            assert not other.calls


class TestSilentSidecar:
    async def test_it_gets_nothing_new(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A sidecar is paused or cut off while its connection still looks open.
        New requests go to the other target alone.
        """
        quiet, other = sidecar(), sidecar(name="t2")
        async with bench(quiet, other, published=catalogue(plain_stage())) as b:
            port = quiet.port
            monkeypatch.setattr(
                Link, "is_heard", lambda self: self.address.port != port
            )
            for _ in range(6):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert not quiet.calls
            assert len(other.calls) == 6

    async def test_an_idempotent_call_goes_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It falls silent while a call is there. Once that shows, the call is
        repeated at another target, long before the deadline.
        """
        quiet, other = sidecar(never), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage())
        async with bench(quiet, other, published=published, policy=NO_HEDGE) as b:
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(quiet.runs))
            await until(lambda: all(v.was_heard for v in b.gateway._views))
            port = quiet.port
            monkeypatch.setattr(
                Link, "is_heard", lambda self: self.address.port != port
            )
            answer = await asking
            assert answer.status == 200
            assert len(other.calls) == 1

    async def test_a_call_to_run_once_stays_unknown(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The same with a call that must run once: it may have run, so the
        caller is told "unknown" at its deadline, and nothing else is tried.
        """
        quiet, other = sidecar(never), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with bench(quiet, other, published=published) as b:
            asking = asyncio.create_task(error_of(b, X_Deadline_S="0.6"))
            await until(lambda: bool(quiet.runs))
            port = quiet.port
            monkeypatch.setattr(
                Link, "is_heard", lambda self: self.address.port != port
            )
            error = await asking
            assert error["outcome"] == "unknown"
            assert not other.calls


class TestLeaving:
    async def test_a_leaving_sidecar_gets_nothing_new(self) -> None:
        """A sidecar says that it leaves; its host is still listed as live."""
        leaving, other = sidecar(), sidecar(name="t2")
        async with bench(leaving, other, published=catalogue(plain_stage())) as b:
            leaving.leaving = True
            views = list(b.gateway._views)
            await until(lambda: sum(v.may_get_work() for v in views) == 1)
            for _ in range(6):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert not leaving.calls

    async def test_what_it_refuses_as_not_run_goes_elsewhere(self) -> None:
        """Work reaches a sidecar just as it begins to leave. It was not run, so
        even a call that must run once may go to the other target.
        """
        leaving, other = sidecar(refuse(Reason.LEAVING)), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with (
            bench(leaving, other, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 200
            assert len(leaving.calls) == len(other.runs) == 1
            assert not leaving.runs


class TestOutcomes:
    async def test_a_call_to_run_once_that_failed_is_not_repeated(self) -> None:
        """The target ran the call and failed. It is told as failed."""
        bad = sidecar(refuse(Reason.TARGET_FAILED, Outcome.FAILED))
        other = sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with bench(bad, other, published=published) as b:
            error = await error_of(b)
            assert error["outcome"] == "failed"
            assert not other.calls

    @pytest.mark.parametrize(
        ("state", "outcome"),
        [
            (BarState.BARRED, "not run"),
            (BarState.RUNNING, "unknown"),
            (BarState.DONE, "unknown"),
            (BarState.FORGOTTEN, "unknown"),
        ],
    )
    async def test_not_run_at_the_deadline_needs_the_sidecars_word(
        self, state: int, outcome: str
    ) -> None:
        """A call waits unstarted at its target when its deadline passes. Only
        if the sidecar answers that it never will start it, is it "not run".
        """

        async def wait(call: Call) -> None:
            await call.is_cancelled.wait()

        s = sidecar(wait)
        s.bar_state = state
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, published=published) as b:
            error = await error_of(b, X_Deadline_S="0.1")
            assert error["outcome"] == outcome
            assert s.bars == 1

    async def test_not_run_is_not_said_when_an_earlier_stage_ran(self) -> None:
        """The first stage ran; the second has no target. The request was not
        answered, and it would be untrue that nothing ran.
        """
        published = catalogue(plain_stage(), plain_stage("gone"))
        async with bench(sidecar(), published=published) as b:
            error = await error_of(b)
            assert error["outcome"] == "failed"
            assert error["reason"] == "no_target"
            assert error["stage"] == "gone"
            assert error["retry_safe"] is True
            assert error["cost_s"] == 0.001

    async def test_retries_stay_within_the_services_budget(self) -> None:
        """All targets of a service fail every call. The calls that reach them
        stay within the share that the service allows for retries, so that a
        failing service is not buried under them.
        """
        n_requests = 60
        bad = [
            sidecar(refuse(Reason.TARGET_FAILED, Outcome.FAILED), name=f"t{n}")
            for n in range(4)
        ]
        async with bench(*bad, published=catalogue(plain_stage())) as b:
            for _ in range(n_requests):
                assert (await error_of(b))["outcome"] == "failed"
            n_calls = sum(len(s.calls) for s in bad)
            first_credit = 5
            assert n_calls <= n_requests * 1.1 + first_credit
            assert n_calls > n_requests


class TestCallerLeaves:
    async def test_an_idempotent_call_is_cancelled_downstream(self) -> None:
        """The caller goes away while its request runs; nobody wants the rest."""
        s = sidecar(never)
        async with bench(s, published=catalogue(plain_stage())) as b:
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(s.runs))
            asking.cancel()
            async with asyncio.timeout(10):
                await s.calls[0].is_cancelled.wait()
            await until(lambda: Event.CALLER_LEFT in b.events())

    async def test_a_call_to_run_once_goes_on_to_its_end(self) -> None:
        """The same with a call that must run once: it is finished and its
        answer taken, so that a retry can be told what came of it.
        """
        release = asyncio.Event()

        async def script(call: Call) -> None:
            call.send(Started(attempt_id=call.start.attempt_id))
            await release.wait()
            call.answer(b"{}")

        s = sidecar(script)
        published = catalogue(plain_stage(idempotent=False))
        async with bench(s, published=published) as b:
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(s.calls))
            asking.cancel()
            await until(lambda: Event.CALLER_LEFT in b.events())
            assert not s.calls[0].is_cancelled.is_set()
            release.set()
            await until(lambda: Event.REQUEST_ANSWERED in b.events())
            assert s.calls[0].is_acked.is_set() or s.runs


class TestPlannedStop:
    async def test_what_is_held_is_finished_and_none_is_cut_off(self) -> None:
        """The gateway is told to stop while a request is at its target. It says
        "not ready", answers the request in full, then closes.
        """
        release = asyncio.Event()

        async def script(call: Call) -> None:
            await release.wait()
            call.answer(b'"in full"')

        async with bench(sidecar(script), published=catalogue(plain_stage())) as b:
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(b.sidecars[0].calls))
            b.gateway.process.stopping.set()
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 503
            async with b.post(json={}) as late:
                assert late.status == 503
                assert (await late.json())["error"]["outcome"] == "not run"
            stopping = asyncio.create_task(b.gateway.drain())
            await until(lambda: Event.PROCESS_STOPPING in b.events())
            release.set()
            await stopping
            assert await (await asking).json() == "in full"
            assert b.gateway.process.n_cut_off == 0


class TestWokenGateway:
    async def test_it_says_that_it_asks_its_peers(self) -> None:
        """A gateway is paused and wakes while the balancer still sends to it.
        Callers were told that it stops, which sent operators looking for a stop
        that never was; it only asks its peers what is in force.
        """
        async with bench(sidecar(), published=catalogue(plain_stage())) as b:
            b.gateway._is_known = lambda: False
            async with b.post(json={}) as refused:
                error = (await refused.json())["error"]
            assert refused.status == 503
            assert error["outcome"] == "not run"
            assert error["reason"] == "no_configuration"
            assert error["retry_after_s"] > 0
            b.gateway._is_known = lambda: True
            async with b.post(json={}) as served:
                assert served.status == 200


class TestRejectedCatalogue:
    async def test_a_gateway_with_nothing_in_force_is_not_ready(self) -> None:
        """The first catalogue is published with a fault and rejected as a whole.
        The gateway had read it, said ready, and told callers that no entry
        governs them (403), which looks like a matter of their account.
        """
        async with bench(published=Catalogue()) as b:
            b.gateway._is_known = lambda: True
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 503
            async with b.post(json={}) as refused:
                assert refused.status == 503
                error = (await refused.json())["error"]
            assert error["reason"] == "no_configuration"
