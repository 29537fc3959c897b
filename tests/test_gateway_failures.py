"""Stage calls under failure: what a caller sees, and what it may never see."""

import asyncio

import pytest

from tests.fake_sidecar import Call, echo
from tests.gateway_bench import bench, catalogue, error_of, heard, plain_stage
from tests.sidecar_scripts import never, refuse, sidecar
from tests.waiting import until
from trefoilpaddle.protocol.gen.stage.ttypes import BarState, Outcome, Started
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.budget import FIRST_CREDIT
from trefoilpaddle.state.journal import Event
from trefoilpaddle.state.settings import PolicySettings
from trefoilpaddle.transport.link import Link

NO_HEDGE = PolicySettings(hedge=False)


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
            await until(lambda: all(v.was_responsive for v in b.gateway._views))
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

    async def test_one_whose_connection_closes_is_not_tried(self) -> None:
        """A sidecar closes without a drain before, as one does that ends by a fault;
        it still answers, and its heartbeats come. Requests that could not be sent to it
        each took a repeat from the service's budget.
        """
        closing, other = sidecar(), sidecar(name="t2")
        async with bench(closing, other, published=catalogue(plain_stage())) as b:
            for connection in closing.server.connections:
                connection.ask_last()
                await connection.read_all.wait()
            for _ in range(30):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert Event.RETRIED not in b.events()
            assert not closing.calls

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

    async def test_however_much_it_refuses_so_all_of_it_goes_elsewhere(self) -> None:
        """Under load more calls cross the stop of a sidecar than the service may
        repeat. Callers whose calls came last were refused, although the other
        target had taken them and nobody had worked on them yet.
        """
        leaving, other = sidecar(refuse(Reason.LEAVING)), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with bench(leaving, other, published=published) as b:

            async def status() -> int:
                async with b.post(json={}) as answer:
                    return int(answer.status)

            told = await asyncio.gather(*(status() for _ in range(40)))
            assert told == [200] * 40
            assert len(leaving.calls) > 2 * FIRST_CREDIT
            assert len(other.runs) == 40
            assert not leaving.runs

    async def test_a_target_that_has_come_back_is_asked_again(self) -> None:
        """Two sidecars are replaced, one after the other. A call comes to the first
        as it leaves and to the second as it leaves, when the first is back. It was
        refused: the first was remembered as tried, though not this start of it.
        """
        first, second = sidecar(name="t1"), sidecar(name="t2")
        second.queued_work_s, second.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))

        async def leave_first(call: Call) -> None:
            first.leaving = True
            await refuse(Reason.LEAVING)(call)

        async def leave_second(call: Call) -> None:
            await first.restart()
            first.leaving, first.script = False, echo
            second.leaving = True
            await until(lambda: heard(b.gateway, first))
            await refuse(Reason.LEAVING)(call)

        first.script, second.script = leave_first, leave_second
        async with bench(first, second, published=published) as b:
            async with b.post(json={}) as answer:
                assert answer.status == 200
            assert (len(first.runs), len(second.runs)) == (1, 0)
            assert (len(first.calls), len(second.calls)) == (2, 1)


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
