"""Stage calls under failure: what callers must and must not be answered."""

import asyncio

import pytest

from tests.fake_sidecar import Call, FakeSidecar, Script, echo
from tests.gateway_harness import (
    catalogue,
    engine_stage,
    error_of,
    gateway_harness,
    has_load_report,
    plain_stage,
)
from tests.sidecar_scripts import never_answer, refuse, sidecar
from tests.waiting import until
from trefoilpaddle.coordination.requests.target_view import TargetViews
from trefoilpaddle.protocol.gen.stage.ttypes import BarState, Outcome, Started
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.roles.gateway import TICK_S
from trefoilpaddle.state.budget import INITIAL_CREDIT, RetryBudget
from trefoilpaddle.state.journal import Event
from trefoilpaddle.state.settings import PolicySettings
from trefoilpaddle.transport.link import Link

NO_HEDGE = PolicySettings(hedge=False)


class TestUnresponsiveSidecar:
    async def test_it_gets_no_new_calls(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A sidecar is paused or partitioned while its connection still seems open.
        New requests go only to the other target.
        """
        unresponsive, other = sidecar(), sidecar(name="t2")
        async with gateway_harness(
            unresponsive, other, published=catalogue(plain_stage())
        ) as b:
            port = unresponsive.port
            monkeypatch.setattr(
                Link, "is_responsive", lambda self: self.address.port != port
            )
            for _ in range(6):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert not unresponsive.calls
            assert len(other.calls) == 6

    async def test_an_idempotent_call_is_retried_at_another_target(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The sidecar becomes unresponsive while it has a call. Once this is
        detected, the call is retried at another target, long before the deadline.
        """
        unresponsive, other = sidecar(never_answer), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage())
        async with gateway_harness(
            unresponsive, other, published=published, policy=NO_HEDGE
        ) as b:
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(unresponsive.runs))
            await until(lambda: all(v.was_responsive for v in b.gateway._views))
            port = unresponsive.port
            monkeypatch.setattr(
                Link, "is_responsive", lambda self: self.address.port != port
            )
            answer = await request
            assert answer.status == 200
            assert len(other.calls) == 1

    async def test_a_non_idempotent_call_is_unknown(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The same with a call that must run at most once: it may have run, so the
        caller gets "unknown" at its deadline, and no other target is tried.
        """
        unresponsive, other = sidecar(never_answer), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(unresponsive, other, published=published) as b:
            request = asyncio.create_task(error_of(b, X_Deadline_S="0.6"))
            await until(lambda: bool(unresponsive.runs))
            port = unresponsive.port
            monkeypatch.setattr(
                Link, "is_responsive", lambda self: self.address.port != port
            )
            error = await request
            assert error["outcome"] == "unknown"
            assert not other.calls

    # Guards against a stream that is cut for a sidecar which only paused, though no
    # other target can go on with it.
    async def test_a_stream_that_has_begun_waits_for_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        may_end = asyncio.Event()

        async def pause(call: Call) -> None:
            call.started()
            call.chunk(0, b"one ")
            await may_end.wait()
            call.chunk(1, b"two")
            call.end(b"one ", b"two")

        paused = sidecar(pause, service="gen")
        async with (
            gateway_harness(paused, published=catalogue(engine_stage())) as b,
            b.post(data="draft", Accept="text/event-stream") as answer,
        ):
            begun = await answer.content.readuntil(b"one ")
            views = b.gateway._views
            await until(lambda: all(each.was_responsive for each in views))
            monkeypatch.setattr(Link, "is_responsive", lambda self: False)
            await until(lambda: not any(each.was_responsive for each in views))
            may_end.set()
            assert b"two" in begun + await answer.read()

    # Guards against calls that are cancelled at a sidecar which only paused, though
    # they can be sent to no other.
    @pytest.mark.parametrize("has_other", [False, True], ids=["alone", "no-credit"])
    async def test_a_call_that_cannot_go_elsewhere_waits_for_it(
        self, has_other: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        may_end = asyncio.Event()
        paused, other = sidecar(pausing(may_end)), busy_sidecar()
        sidecars = (paused, other) if has_other else (paused,)
        async with gateway_harness(
            *sidecars, published=catalogue(plain_stage()), policy=NO_HEDGE
        ) as b:
            if has_other:
                monkeypatch.setattr(RetryBudget, "spend", lambda self: False)
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(paused.runs))
            await silence(b.gateway._views, paused.port, monkeypatch)
            await asyncio.sleep(TICK_S)
            may_end.set()
            answer = await request
            assert answer.status == 200
            assert not other.calls

    # Guards against calls that wait for a silent sidecar until their deadline, though
    # they can go on elsewhere by now.
    async def test_a_call_goes_elsewhere_once_a_retry_is_left(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        credit = [False]
        paused, other = sidecar(never_answer), busy_sidecar()
        async with gateway_harness(
            paused, other, published=catalogue(plain_stage()), policy=NO_HEDGE
        ) as b:
            monkeypatch.setattr(RetryBudget, "spend", lambda self: credit[0])
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(paused.runs))
            await silence(b.gateway._views, paused.port, monkeypatch)
            await asyncio.sleep(TICK_S)
            assert not request.done() and not other.calls
            credit[0] = True
            answer = await request
            assert answer.status == 200
            assert len(other.calls) == 1


def pausing(may_end: asyncio.Event) -> Script:
    """Return the script of a sidecar that answers once `may_end` is set."""

    async def pause(call: Call) -> None:
        call.started()
        await may_end.wait()
        await echo(call)

    return pause


def busy_sidecar() -> FakeSidecar:
    """Return a sidecar that is chosen only if the other one may not be."""
    other = sidecar(name="t2")
    other.queued_work_s, other.n_queued = 100.0, 9
    return other


async def silence(
    views: TargetViews, port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the sidecar at `port` seem silent, and wait until the gateway knows."""
    await until(lambda: all(each.was_responsive for each in views))
    monkeypatch.setattr(Link, "is_responsive", lambda self: self.address.port != port)
    await until(lambda: not all(each.was_responsive for each in views))


class TestLeaving:
    async def test_a_leaving_sidecar_gets_no_new_calls(self) -> None:
        """A sidecar reports that it is leaving; its host is still listed as live."""
        leaving, other = sidecar(), sidecar(name="t2")
        async with gateway_harness(
            leaving, other, published=catalogue(plain_stage())
        ) as b:
            leaving.leaving = True
            views = list(b.gateway._views)
            await until(lambda: sum(v.may_get_work() for v in views) == 1)
            for _ in range(6):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert not leaving.calls

    async def test_a_sidecar_whose_connection_is_closing_is_not_tried(self) -> None:
        """A sidecar closes without draining first, as after a failure; it still
        answers and sends heartbeats. Each request that could not be sent to it used
        a retry of the service's budget.
        """
        closing, other = sidecar(), sidecar(name="t2")
        async with gateway_harness(
            closing, other, published=catalogue(plain_stage())
        ) as b:
            for connection in closing.server.connections:
                connection.request_close()
                await connection.all_received.wait()
            for _ in range(30):
                async with b.post(json={}) as answer:
                    assert answer.status == 200
            assert Event.RETRIED not in b.events()
            assert not closing.calls

    async def test_a_call_that_it_refuses_goes_to_another_target(self) -> None:
        """A call reaches a sidecar just as it starts to leave. It was not run, so
        even a call that must run at most once may go to the other target.
        """
        leaving, other = sidecar(refuse(Reason.LEAVING)), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with (
            gateway_harness(leaving, other, published=published) as b,
            b.post(json={}) as answer,
        ):
            assert answer.status == 200
            assert len(leaving.calls) == len(other.runs) == 1
            assert not leaving.runs

    async def test_calls_beyond_the_retry_budget_also_go_to_another_target(
        self,
    ) -> None:
        """Under load more calls arrive during the stop of a sidecar than the
        service may retry. The callers of the last ones were refused, although the
        other target would have accepted them and none of them had run.
        """
        leaving, other = sidecar(refuse(Reason.LEAVING)), sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(leaving, other, published=published) as b:

            async def status() -> int:
                async with b.post(json={}) as answer:
                    return int(answer.status)

            statuses = await asyncio.gather(*(status() for _ in range(40)))
            assert statuses == [200] * 40
            assert len(leaving.calls) > 2 * INITIAL_CREDIT
            assert len(other.runs) == 40
            assert not leaving.runs

    async def test_a_target_whose_sidecar_was_restarted_is_tried_again(self) -> None:
        """Two sidecars are replaced, one after the other. A call reaches each of
        them as it leaves; by the second time the first has restarted. The call was
        refused, since the first was recorded as tried, although its new incarnation
        was not.
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
            await until(lambda: has_load_report(b.gateway, first))
            await refuse(Reason.LEAVING)(call)

        first.script, second.script = leave_first, leave_second
        async with gateway_harness(first, second, published=published) as b:
            async with b.post(json={}) as answer:
                assert answer.status == 200
            assert (len(first.runs), len(second.runs)) == (1, 0)
            assert (len(first.calls), len(second.calls)) == (2, 1)


class TestOutcomes:
    async def test_a_failed_non_idempotent_call_is_not_retried(self) -> None:
        """The target ran the call and failed. The caller gets "failed"."""
        bad = sidecar(refuse(Reason.TARGET_FAILED, Outcome.FAILED))
        other = sidecar(name="t2")
        other.queued_work_s, other.n_queued = 100.0, 9
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(bad, other, published=published) as b:
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
    async def test_not_run_at_the_deadline_requires_the_sidecars_confirmation(
        self, state: int, outcome: str
    ) -> None:
        """A call is queued and not started when its deadline passes. It is "not
        run" only if the sidecar replies that it will never start it.
        """

        async def wait(call: Call) -> None:
            await call.is_cancelled.wait()

        s = sidecar(wait)
        s.bar_state = state
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(s, published=published) as b:
            error = await error_of(b, X_Deadline_S="0.1")
            assert error["outcome"] == outcome
            assert s.n_bars == 1

    async def test_a_request_whose_first_stage_ran_is_not_reported_as_not_run(
        self,
    ) -> None:
        """The first stage ran; the second has no target. The request was not
        answered, but it would be wrong to report that nothing ran.
        """
        published = catalogue(plain_stage(), plain_stage("gone"))
        async with gateway_harness(sidecar(), published=published) as b:
            error = await error_of(b)
            assert error["outcome"] == "failed"
            assert error["reason"] == "no_target"
            assert error["stage"] == "gone"
            assert error["retry_safe"] is True
            assert error["cost_s"] == 0.001

    async def test_retries_stay_within_the_services_budget(self) -> None:
        """All targets of a service fail every call. The retries stay within the
        share that the service allows, so that a failing service is not overloaded
        by them.
        """
        n_requests = 60
        bad = [
            sidecar(refuse(Reason.TARGET_FAILED, Outcome.FAILED), name=f"t{n}")
            for n in range(4)
        ]
        async with gateway_harness(*bad, published=catalogue(plain_stage())) as b:
            for _ in range(n_requests):
                assert (await error_of(b))["outcome"] == "failed"
            n_calls = sum(len(s.calls) for s in bad)
            first_credit = 5
            assert n_calls <= n_requests * 1.1 + first_credit
            assert n_calls > n_requests


class TestCallerLeaves:
    async def test_an_idempotent_call_is_cancelled_downstream(self) -> None:
        """The caller disconnects while its request runs, so the work is cancelled."""
        s = sidecar(never_answer)
        async with gateway_harness(s, published=catalogue(plain_stage())) as b:
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(s.runs))
            request.cancel()
            async with asyncio.timeout(10):
                await s.calls[0].is_cancelled.wait()
            await until(lambda: Event.CALLER_LEFT in b.events())

    async def test_a_non_idempotent_call_is_completed(self) -> None:
        """The same with a call that must run at most once: it is completed and its
        answer received, so that a retry can get the outcome.
        """
        release = asyncio.Event()

        async def script(call: Call) -> None:
            call.send(Started(attempt_id=call.start.attempt_id))
            await release.wait()
            call.answer(b"{}")

        s = sidecar(script)
        published = catalogue(plain_stage(idempotent=False))
        async with gateway_harness(s, published=published) as b:
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(s.calls))
            request.cancel()
            await until(lambda: Event.CALLER_LEFT in b.events())
            assert not s.calls[0].is_cancelled.is_set()
            release.set()
            await until(lambda: Event.REQUEST_ANSWERED in b.events())
            assert s.calls[0].is_acked.is_set() or s.runs
