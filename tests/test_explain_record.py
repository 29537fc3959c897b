"""Timelines of ``explain`` match the runs recorded by targets, also under faults."""

import asyncio
from collections.abc import Iterable

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.harness import CHAIN, FREE, ONCE, CallerAnswer, Fleet, fleet
from tests.harness_target import Run
from tests.waiting import until
from trefoilpaddle.coordination.explaining.timeline_gather import TimelineGatherer
from trefoilpaddle.coordination.requests.operator_queries import OperatorQueries
from trefoilpaddle.roles.operators import OperatorsView
from trefoilpaddle.roles.process import Process
from trefoilpaddle.state.events import Event
from trefoilpaddle.state.timeline import Step, Timeline

N_CALLS = 6
WITHDRAWN = {Event.CANCELLED, Event.REFUSED, Event.DROPPED}
ENDS = {Event.REQUEST_ANSWERED, Event.REQUEST_FAILED, Event.REQUEST_REFUSED}

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "cut", "delay", "stall", "refuse", "heal"]),
        st.sampled_from(["pool0", "pool1", "plain0", "plain1"]),
        st.sampled_from([0.0, 0.01, 0.05]),
    ),
    max_size=6,
)
PIPELINES = st.lists(
    st.sampled_from([FREE, ONCE, CHAIN]), min_size=N_CALLS, max_size=N_CALLS
)


def break_relay(f: Fleet, kind: str, name: str) -> None:
    relay = f.gateways[0].relays[name]
    match kind:
        case "cut":
            relay.disconnect()
        case "delay":
            relay.delay_s = 0.02
        case "stall":
            relay.is_stalled = True
        case "refuse":
            relay.is_refusing = True
        case _:
            relay.heal()


def gateway_process(f: Fleet) -> Process:
    gateway = f.gateways[0].gateway
    assert gateway is not None
    return gateway.process


def show_to_operators(f: Fleet) -> OperatorsView:
    """Enable operator queries at every process; return the gateway's view."""
    for slot in f.slots:
        assert slot.process is not None
        OperatorsView(process=slot.process, is_ready=lambda: True)
    return OperatorsView(process=gateway_process(f), is_ready=lambda: True)


async def timeline_of(f: Fleet, view: OperatorsView, request_id: str) -> Timeline:
    process = gateway_process(f)
    gatherer = TimelineGatherer(
        queries=OperatorQueries(peers=process.peers),
        hosts=process.published.hosts,
        own_process_id=process.identity.process_id,
        own_target="",
        own_incarnation=process.identity.incarnation,
    )
    return await gatherer.gather(request_id, view.own_steps(request_id))


def attempts(steps: Iterable[Step], *events: Event) -> set[str]:
    return {step.attempt_id for step in steps if step.event in events}


def check(timeline: Timeline, told: CallerAnswer, runs: list[Run]) -> None:
    """Compare a timeline with the answer to the caller and the runs at the targets."""
    assert not timeline.absences
    steps = timeline.steps
    assert any(step.event == Event.REQUEST_ANSWERED for step in steps) == (
        told.is_answered
    )
    assert sum(step.event in ENDS for step in steps) == 1
    started = attempts(steps, Event.STARTED)
    ran = {run.attempt_id for run in runs}
    assert ran <= started
    # A start that was withdrawn before its first byte was sent is no run.
    assert started - ran <= attempts(steps, *WITHDRAWN)
    completed = [s for s in steps if s.event == Event.FINISHED and not s.reason]
    assert attempts(completed, Event.FINISHED) <= {
        r.attempt_id for r in runs if r.is_done
    }


class TestExplainAgainstTargetRecords:
    @given(pipelines=PIPELINES, faults=FAULTS)
    @settings(
        max_examples=12,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.explicit, Phase.generate],
    )
    def test_timeline_contains_exactly_the_runs(
        self, pipelines: list[str], faults: list[tuple[str, str, float]]
    ) -> None:
        """Timelines list the runs of requests whose connections broke.

        Connections break while requests run; some requests are retried elsewhere,
        the results of some are fetched again. A timeline that lacks a run, or has
        one that did not take place, would lead operators to the wrong target.
        """
        asyncio.run(self._compare(pipelines, faults))

    async def _compare(
        self, pipelines: list[str], faults: list[tuple[str, str, float]]
    ) -> None:
        async with fleet(n_gateways=1, n_per_service=2, deadline_s=1.5) as f:
            view = show_to_operators(f)
            for slot in f.slots:
                slot.target.service_s = 0.03
            calls = [asyncio.create_task(f.call(name)) for name in pipelines]
            for kind, name, pause_s in faults:
                break_relay(f, kind, name)
                await asyncio.sleep(pause_s)
            told = await asyncio.gather(*calls)
            for relay in f.all_relays():
                relay.heal()
            gateway = f.gateways[0]
            await until(lambda: all(f.may_send_to(gateway, slot) for slot in f.slots))
            await until(lambda: not f.busy(gateway))
            runs = [run for slot in f.slots for run in slot.target.runs]
            for one in told:
                timeline = await timeline_of(f, view, one.request_id)
                check(
                    timeline, one, [r for r in runs if r.request_id == one.request_id]
                )
