"""Choice of a target from known state, without any connection."""

import random
import time
from dataclasses import replace
from typing import cast

from hypothesis import given
from hypothesis import strategies as st

from tests.gateway_harness import engine_stage, plain_stage
from trefoilpaddle.coordination.requests.ejection import MIN_SAMPLES, Ejector
from trefoilpaddle.coordination.requests.routing import Router
from trefoilpaddle.coordination.requests.target_view import TargetView, TargetViews
from trefoilpaddle.coordination.targets.stage_work import StageWork
from trefoilpaddle.protocol.gen.stage.ttypes import Load, OwnerLoad
from trefoilpaddle.state.catalogue import Entry, Service, ServiceKind, Stage
from trefoilpaddle.state.estimate import WorkSize
from trefoilpaddle.state.governing import Governing
from trefoilpaddle.state.hosts import Host
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.prefix import PrefixRecord
from trefoilpaddle.state.settings import Choice, PolicySettings
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.link import Link

SERVICE = "s"
ENTRY = Entry(owner="bank", class_of_work="draft", pipelines=("p",), accounts=("club",))


class FakeLink:
    """A link whose peer responds or not, as set by the test."""

    def __init__(self, *, is_up: bool = True) -> None:
        self.is_up = is_up
        self.peer = None

    def is_responsive(self) -> bool:
        return self.is_up

    def can_send(self) -> bool:
        return self.is_up


class Fleet:
    """Targets of one service, both as views and as their directory."""

    def __init__(self, *, n_targets: int, policy: PolicySettings | None = None) -> None:
        self.hosts = [
            Host(
                name=f"t{n}",
                failure_domain="fd1",
                role="sidecar",
                peer_address=f"127.0.0.1:{1000 + n}",
                service=SERVICE,
                target=f"t{n}",
            )
            for n in range(n_targets)
        ]
        self.views = [
            TargetView(
                host=host,
                address=Address(ip="127.0.0.1", port=1000 + n),
                link=cast(Link, FakeLink()),
            )
            for n, host in enumerate(self.hosts)
        ]
        self.journal = Journal(process_id="g", n_records=100)
        policy = policy or PolicySettings()
        self.prefixes = PrefixRecord()
        self.ejector = Ejector(journal=self.journal, is_on=policy.eject_slow)
        self.router = Router(
            directory=self,
            views=cast(TargetViews, self),
            policy=policy,
            prefixes=self.prefixes,
            ejector=self.ejector,
            seed=1,
        )

    def sidecars(self, service: str) -> list[Host]:
        return self.hosts

    def host(self, process_id: str) -> Host | None:
        return None

    def of(self, host: Host) -> TargetView:
        return self.views[self.hosts.index(host)]

    def link(self, n: int) -> FakeLink:
        return cast(FakeLink, self.views[n].link)

    def report(self, n: int, **fields: float) -> None:
        load = Load(target_up=True, n_slots=1)
        for name, value in fields.items():
            setattr(load, name, value)
        self.views[n].apply_load(load)


def work(
    *,
    stage: Stage | None = None,
    expected_s: float = 0.1,
    size_s: float = 0.0,
    prefixes: tuple[int, ...] = (),
    attainment_weight: float = 0.5,
) -> StageWork:
    entry = replace(ENTRY, attainment_weight=attainment_weight)
    return StageWork(
        request_id="r",
        pipeline="p",
        stage=stage or plain_stage(SERVICE),
        service=Service(kind=ServiceKind.POOL),
        governing=Governing(name="e", entry=entry, config_revision=1),
        body=b"{}",
        body_checksum=0,
        size=WorkSize(n_bytes=2),
        expected_s=expected_s,
        high_s=expected_s,
        size_s=size_s,
        is_warm=True,
        deadline_s=time.monotonic() + 100,
        stage_deadline_s=time.monotonic() + 100,
        prefix_hashes=prefixes,
    )


TARGET_STATES = st.lists(
    st.tuples(
        st.booleans(),
        st.booleans(),
        st.booleans(),
        st.floats(0, 50),
        st.integers(0, 20),
    ),
    min_size=1,
    max_size=8,
)


class TestCandidates:
    @given(states=TARGET_STATES, choice=st.sampled_from(Choice))
    def test_never_a_silent_leaving_down_or_tried_target(
        self,
        states: list[tuple[bool, bool, bool, float, int]],
        choice: Choice,
    ) -> None:
        fleet = Fleet(n_targets=len(states), policy=PolicySettings(choice=choice))
        allowed = set()
        for n, (is_up, is_leaving, is_tried, work_s, n_queued) in enumerate(states):
            fleet.link(n).is_up = is_up
            fleet.report(n, queued_work_s=work_s, n_queued=n_queued)
            fleet.views[n].load.leaving = is_leaving  # type: ignore[union-attr]
            if is_up and not is_leaving and not is_tried:
                allowed.add(f"t{n}-sidecar")
        tried = {f"t{n}-sidecar" for n, state in enumerate(states) if state[2]}
        chosen = fleet.router.choose(work(), tried=tried)
        if not allowed:
            assert chosen is None
            return
        assert chosen is not None
        assert chosen.view.process_id in allowed
        assert chosen.n_candidates == len(allowed)
        if chosen.second is not None:
            assert chosen.second.process_id in allowed
            assert chosen.predicted_s <= chosen.second_s


class TestStaleReports:
    def test_a_burst_is_spread_although_one_target_was_reported_idle(self) -> None:
        """All reports are stale, and one target was idle in them. A burst of calls
        arrives before any new report. The calls must be spread, since this gateway
        counts the calls that it has sent itself.
        """
        fleet = Fleet(n_targets=4)
        for n in range(4):
            fleet.report(n, n_queued=1, queued_work_s=0.0 if n == 0 else 0.5)
        for _ in range(40):
            chosen = fleet.router.choose(work(), tried=set())
            assert chosen is not None
            chosen.view.sent(work())
        assert max(view.n_outstanding for view in fleet.views) <= 20
        assert min(view.n_outstanding for view in fleet.views) >= 4

    def test_a_reported_queue_shrinks_with_the_age_of_the_report(self) -> None:
        fleet = Fleet(n_targets=1)
        fleet.report(0, n_queued=5, queued_work_s=10.0)
        view = fleet.views[0]
        at_s = view.load_at_s
        assert view.wait_s(ENTRY, at_s) == 10.0
        assert view.wait_s(ENTRY, at_s + 4.0) == 6.0
        assert view.wait_s(ENTRY, at_s + 40.0) == 0.0

    def test_a_burst_of_one_owner_does_not_delay_another_owner(self) -> None:
        """One owner has many seconds of work queued at a target with fair shares.
        Another owner without queued work is served next there, so its calls must
        not be predicted late and refused. The first owner waits for its own work.
        """
        fleet = Fleet(n_targets=1)
        fleet.report(0, n_queued=50, queued_work_s=20.0, running_work_s=0.2)
        view = fleet.views[0]
        assert view.load is not None
        crowd = OwnerLoad(owner="crowd", queued_work_s=20.0, weight=1.0)
        view.load.owners = [crowd]
        assert view.wait_s(ENTRY, view.load_at_s) == 0.2
        assert view.wait_s(replace(ENTRY, owner="crowd"), view.load_at_s) == 20.2
        view.unreported.sent("bank", 1.0)
        assert view.wait_s(ENTRY, view.load_at_s) == 2.2

    def test_calls_that_have_arrived_count_until_a_report_includes_them(self) -> None:
        """The last report states an idle target. Calls are sent and arrive before
        the next report. The target must not be taken for idle until then, or more
        calls would be sent to it.
        """
        fleet = Fleet(n_targets=1)
        fleet.report(0, n_slots=2)
        view = fleet.views[0]
        for _ in range(3):
            view.sent(work())
            view.arrived(work())
        assert view.slot_occupancy() == 1.0
        assert view.wait_s(ENTRY, view.load_at_s) > 0.0
        fleet.report(0, n_slots=2)
        assert view.slot_occupancy() == 0.0

    @given(steps=st.lists(st.sampled_from("sart"), max_size=40))
    def test_own_calls_are_counted_once_beside_the_reports(
        self, steps: list[str]
    ) -> None:
        """Whatever the order of sending, arrival, reports and ends, the own
        work that is added never falls below zero and vanishes in the end.
        """
        fleet = Fleet(n_targets=1)
        view = fleet.views[0]
        n_sent = n_arrived = n_over = 0
        for step in steps:
            if step == "s":
                view.sent(work(expected_s=1.0))
                n_sent += 1
            elif step == "a" and n_arrived < n_sent:
                view.arrived(work(expected_s=1.0))
                n_arrived += 1
            elif step == "r":
                fleet.report(0, n_queued=1)
            elif step == "t" and n_over < n_arrived:
                view.ended()
                n_over += 1
            assert view.wait_s(ENTRY, view.load_at_s) >= 0.0
        for _ in range(n_sent - n_arrived):
            view.arrived(work(expected_s=1.0))
        fleet.report(0, n_queued=1)
        assert view.wait_s(ENTRY, view.load_at_s) == 0.0


class TestPrefixAffinity:
    def prefixed(self, **fields: float) -> StageWork:
        stage = engine_stage(SERVICE)
        return work(stage=stage, prefixes=(1, 2, 3, 4), **fields)

    def chosen(self, fleet: Fleet, wanted: StageWork) -> set[str]:
        names = set()
        for _ in range(30):
            chosen = fleet.router.choose(wanted, tried=set())
            assert chosen is not None
            names.add(chosen.view.process_id)
        return names

    def test_an_idle_target_that_caches_the_prefix_is_chosen(self) -> None:
        fleet = Fleet(n_targets=6)
        for n in range(6):
            fleet.report(n)
        wanted = self.prefixed(size_s=0.1, expected_s=0.2)
        fleet.router.record_prefix(wanted, fleet.views[3])
        assert self.chosen(fleet, wanted) == {"t3-sidecar"}

    def test_a_cached_prefix_does_not_outweigh_a_longer_queue(self) -> None:
        fleet = Fleet(n_targets=6)
        for n in range(6):
            fleet.report(n)
        fleet.report(3, n_queued=9, queued_work_s=5.0)
        wanted = self.prefixed(size_s=0.1, expected_s=0.2)
        fleet.router.record_prefix(wanted, fleet.views[3])
        assert "t3-sidecar" not in self.chosen(fleet, wanted)

    def test_an_entry_that_weighs_cost_waits_longer_for_a_cached_prefix(self) -> None:
        fleet = Fleet(n_targets=6)
        for n in range(6):
            fleet.report(n)
        fleet.report(3, n_queued=1, queued_work_s=0.1)
        fleet.views[3].load_at_s = time.monotonic() + 100
        fleet.report(3, n_queued=1, queued_work_s=0.1)
        cheap = self.prefixed(size_s=0.1, expected_s=0.2, attainment_weight=0.0)
        fleet.router.record_prefix(cheap, fleet.views[3])
        assert self.chosen(fleet, cheap) == {"t3-sidecar"}

    def test_only_shared_leading_blocks_count(self) -> None:
        record = PrefixRecord()
        record.record(SERVICE, (1, 2, 3, 4), "a")
        record.record(SERVICE, (1, 9), "b")
        assert record.shares(SERVICE, (1, 2, 5, 6)) == {"a": 0.5, "b": 0.25}
        assert record.shares("other", (1, 2)) == {}

    def test_the_record_is_bounded(self) -> None:
        record = PrefixRecord(n_prefixes=10)
        for value in range(100):
            record.record(SERVICE, (value,), "a")
        assert record.shares(SERVICE, (5,)) == {}
        assert record.shares(SERVICE, (99,)) == {"a": 1.0}


class TestEjection:
    def learn(self, fleet: Fleet, n: int, ratio: float, n_times: int = 1) -> None:
        for _ in range(n_times):
            fleet.router.learn(work(), fleet.views[n], measured_s=0.1 * ratio)

    def usual(self, n_targets: int) -> Fleet:
        fleet = Fleet(n_targets=n_targets)
        for n in range(n_targets):
            fleet.report(n)
            self.learn(fleet, n, 1.0, MIN_SAMPLES)
        return fleet

    def test_a_slow_target_is_ejected_and_readmitted_by_a_probe(self) -> None:
        """One target becomes five times slower than its peers and later recovers.
        While ejected it gets only a probe from time to time; a fast probe readmits
        it.
        """
        fleet = self.usual(4)
        slow = fleet.views[0]
        self.learn(fleet, 0, 5.0, 30)
        assert slow.is_ejected
        names = {self.choose(fleet) for _ in range(30)}
        assert "t0-sidecar" not in names
        slow.probe_at_s = 0.0
        assert self.choose(fleet) == "t0-sidecar"
        assert self.choose(fleet) != "t0-sidecar"
        self.learn(fleet, 0, 1.0, 4)
        assert not slow.is_ejected

    def choose(self, fleet: Fleet, *, idempotent: bool = True) -> str:
        stage = plain_stage(SERVICE, idempotent=idempotent)
        chosen = fleet.router.choose(work(stage=stage), tried=set())
        assert chosen is not None
        return chosen.view.process_id

    def test_a_non_idempotent_call_is_never_a_probe(self) -> None:
        fleet = self.usual(4)
        self.learn(fleet, 0, 5.0, 30)
        fleet.views[0].probe_at_s = 0.0
        names = {self.choose(fleet, idempotent=False) for _ in range(20)}
        assert "t0-sidecar" not in names

    @given(
        n_targets=st.integers(2, 9),
        seed=st.integers(0, 1000),
    )
    def test_no_more_than_a_third_are_ever_out(self, n_targets: int, seed: int) -> None:
        """However the targets' latencies wander, most of them stay in."""
        fleet = self.usual(n_targets)
        chance = random.Random(seed)
        for _ in range(100):
            self.learn(fleet, chance.randrange(n_targets), chance.choice([0.5, 1, 20]))
            n_out = sum(view.is_ejected for view in fleet.views)
            assert n_out <= n_targets / 3
            assert n_targets - n_out >= min(2, n_targets)
