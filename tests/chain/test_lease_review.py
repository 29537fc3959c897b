"""Decisions by lists, histories and counts whose age nobody bounds."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from typing import Final

import pytest

from trefoilpaddle.coordination.chain.job import Job
from trefoilpaddle.coordination.chain.service_lease import HeldSlot
from trefoilpaddle.coordination.chain.stream_origins import KnownOrigin, UnknownOrigin
from trefoilpaddle.coordination.chain.view_lease import ViewLease
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.view_age import ViewAge
from trefoilpaddle.coordination.published.view_poll import ViewPoll
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews, StoreState
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.requests import Answered
from trefoilpaddle.state.chain.routes import RepeatPolicy
from trefoilpaddle.state.chain.served_versions import VIEW_LAG_S, ServedVersions
from trefoilpaddle.state.members import MemberRecord, MemberState

from ..published.store_network import (
    MAX_TIMEOUT_S,
    ONE_WAY_S,
    READ_S,
    Gateway,
    Network,
)
from .fakes import FakeAnswer, FakeCalls, route, worker
from .origins_fleet import LIFE_S, SERVICE, Fleet, Ways
from .test_chain_router import member
from .test_request_path import Rig
from .virtual_time import VirtualLoop, run_virtual

GRACE_S: Final = 8.0

LONG_S: Final = 60.0
"""Longer than the grace period of a stop and the life of a stream."""

LIVE, SUSPECT, LEAVING = MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING


def known(*states: MemberState) -> list[MemberRecord]:
    """Return a live gateway, g0, and others in these states."""
    others = [
        replace(member(f"g{number}", number), state=state)
        for number, state in enumerate(states, start=1)
    ]
    return [member("g0", 0), *others]


async def poll_in_vain(age: ViewAge, records: Sequence[MemberRecord]) -> ViewPoll:
    """Poll others of whom none responds."""

    async def query(_: MemberRecord) -> StoreState | None:
        return None

    poll = ViewPoll(
        own_id="g0",
        age=age,
        members=lambda: records,
        query=query,
        apply=lambda state, sent_s: True,
        grace_s=lambda: GRACE_S,
    )
    await poll.poll()
    return poll


class TestBothSidesOfACut:
    @pytest.mark.parametrize(("n_here", "n_there"), [(1, 1), (3, 3)])
    def test_gateways_that_join_during_a_cut_infer_by_no_new_split_alone(
        self, n_here: int, n_there: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against one half that begins streams by its old list while the other
        # half, with a gateway that has joined since, infers by a new one.
        async def scenario() -> None:
            fleet = Fleet(1, versions=["v1"], ways=Ways(distributes=True))
            here, age = fleet.gateways[0], ViewAge()
            records = known(*[LIVE] * n_here, *[SUSPECT] * n_there)
            await asyncio.sleep(LONG_S)
            here.origins.lease = ViewLease(age=age, members=lambda: records)
            here.workers.put(worker("w9", SERVICE, software_version="v2"))
            for _ in range(round(2 * LIFE_S)):
                age.confirm(ago_s=0.0)
                await asyncio.sleep(1.0)
            age.confirm(ago_s=0.0)
            for number in range(40):
                found = await here.origins.find(f"a{number}", SERVICE, life_s=LIFE_S)
                if isinstance(found, KnownOrigin):
                    assert found.software_version == "v1"

        run_virtual(monkeypatch, scenario())

    def test_gateways_that_stopped_long_ago_may_be_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that is cut off while the others restart, and begins
        # streams by its old list without end, as those that leave do not count.
        async def scenario() -> None:
            left = replace(known(LEAVING)[1], leaving_since_s=0.0)
            records = [
                *known(),
                *(replace(left, process_id=n) for n in ("a", "b")),
            ]
            await asyncio.sleep(LONG_S)
            age = ViewAge()
            poll = await poll_in_vain(age, records)
            here = ViewLease(age=age, members=lambda: records, poll=poll)
            assert not here.may_begin()

        run_virtual(monkeypatch, scenario())


class TestConfirmation:
    """What another gateway sends does not confirm a list that is not the store's."""

    async def _gateway(self) -> tuple[Network, Gateway]:
        network = Network(3)
        await network.start()
        gateway = network.gateways[2]
        for number in range(3):
            network._tasks[f"g{number:03}"].cancel()
        await asyncio.sleep(LONG_S)
        assert gateway.feed.age.age_s > VIEW_LAG_S
        return network, gateway

    def _update(self, gateway: Gateway, **fields: int | None) -> StoreNews:
        position, digest = gateway.feed.position, gateway.feed.view.listing.digest
        update = StoreNews(
            base_revision=position.revision,
            revision=position.revision + 1,
            era=position.era,
            version=gateway.version,
            digest=digest.entries,
            domain_digest=digest.domains,
            version_digest=digest.versions,
            evacuated=[],
            view_age_ms=0,
        )
        for name, value in fields.items():
            setattr(update, name, value)
        return update

    def test_the_same_list_confirms(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against updates of the other tests that would be refused in any case.
        async def scenario() -> None:
            _, gateway = await self._gateway()
            assert gateway.feed.apply_update(self._update(gateway)) is None
            assert gateway.feed.age.age_s <= VIEW_LAG_S

        run_virtual(monkeypatch, scenario())

    def test_an_update_of_another_list(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against a list that differs from the reader's and counts as recent.
        async def scenario() -> None:
            _, gateway = await self._gateway()
            gateway.feed.apply_update(self._update(gateway, digest=1))
            assert gateway.feed.age.age_s > VIEW_LAG_S

        run_virtual(monkeypatch, scenario())

    def test_an_update_that_states_no_age(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against readers of an earlier build whose read took seconds, and whose
        # list counts as new.
        async def scenario() -> None:
            _, gateway = await self._gateway()
            gateway.feed.apply_update(self._update(gateway, view_age_ms=None))
            assert gateway.feed.age.age_s >= MAX_TIMEOUT_S

        run_virtual(monkeypatch, scenario())

    def test_a_peer_of_an_earlier_era(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against a list of an earlier era that a peer of that era confirms,
        # although its own list is a later one.
        async def scenario() -> None:
            _, gateway = await self._gateway()
            before, feed = gateway.feed.position, gateway.feed
            feed.view.enter_era(before.era + 1)
            assert not feed.position.is_known
            peer = StoreState(
                era=before.era, revision=before.revision + 9, digest=1, view_age_ms=0
            )
            feed.apply_peer(peer, asyncio.get_running_loop().time())
            assert feed.age.age_s > VIEW_LAG_S

        run_virtual(monkeypatch, scenario())

    def test_a_newer_list_that_cannot_be_applied(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against one of two gateways that goes on by its list although the other
        # one has said that it has a newer one.
        async def scenario() -> None:
            _, gateway = await self._gateway()
            feed, before = gateway.feed, gateway.feed.position
            newer = StorePosition(era=before.era, revision=before.revision + 9)

            async def query(_: MemberRecord) -> StoreState | None:
                return StoreState(era=newer.era, revision=newer.revision, digest=1)

            records = known(LIVE)
            poll = ViewPoll(
                own_id="g0",
                age=feed.age,
                members=lambda: records,
                query=query,
                apply=feed.apply_peer,
            )
            await poll.poll()
            await asyncio.sleep(ONE_WAY_S)
            assert feed.position < newer
            here = ViewLease(age=feed.age, members=lambda: records, poll=poll)
            assert not here.may_begin()

        run_virtual(monkeypatch, scenario())


class TestExpiredEntries:
    @pytest.mark.parametrize("cut_s", [1.0, 2.0, 3.5, 6.0])
    def test_no_split_outlives_the_lag_through_a_grace_period(
        self, cut_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that was cut off, keeps removed workers as after an
        # outage of the store, and begins streams at a version that has left elsewhere.
        async def scenario() -> None:
            network = Network(4)
            for listed in list(network.store.workers.values()):
                network.store.write(replace(listed, software_version="v1"))
            network.store.write(worker("new", software_version="v2"))
            await network.start()
            here, there = network.gateways[0], network.gateways[3]
            service = next(iter(network.store.workers.values())).service
            loop = asyncio.get_running_loop()
            splits = {g.name: ServedVersions(workers=g.workers) for g in (here, there)}
            there.is_cut = True
            await asyncio.sleep(0.1)
            for name in [n for n in network.store.workers if n != "new"]:
                network.store.remove(name)
            ended_s = None
            for step in range(1500):
                if ended_s is None and len(here.workers) == 1:
                    ended_s = loop.time()
                if step == round(cut_s * 100):
                    there.is_cut = False
                await asyncio.sleep(0.01)
                if ended_s is None or loop.time() <= ended_s + VIEW_LAG_S + READ_S:
                    continue
                is_current = there.feed.age.age_s <= VIEW_LAG_S
                n_versions = len(splits[there.name].versions(service, -VIEW_LAG_S))
                late_s = loop.time() - ended_s
                assert not (is_current and n_versions > 1), late_s

        run_virtual(monkeypatch, scenario())


class TestHistory:
    def test_a_gateway_that_was_out_of_step_does_not_know_all_splits(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a version that came and went while a gateway was cut off: it,
        # and all that start and inherit its history, count another as the sole one.
        async def scenario() -> None:
            fleet = Fleet(1, versions=["v1"])
            here, age = fleet.gateways[0], ViewAge()
            states = [LIVE, LIVE]
            here.origins.lease = ViewLease(age=age, members=lambda: known(*states))
            upkeep = asyncio.create_task(here.origins.run())

            async def confirmed(for_s: float) -> None:
                for _ in range(round(for_s * 2)):
                    age.confirm(ago_s=0.0)
                    await asyncio.sleep(0.5)

            await confirmed(2 * LIFE_S)
            states[:] = [SUSPECT, SUSPECT]
            await asyncio.sleep(LIFE_S / 2)
            states[:] = [LIVE, LIVE]
            await confirmed(2.0)
            # The two others have been killed and are back, with its history.
            found = await here.origins.find("unknown", SERVICE, life_s=LIFE_S)
            upkeep.cancel()
            assert isinstance(found, UnknownOrigin)

        run_virtual(monkeypatch, scenario())


class TestNeedlessRefusals:
    def test_a_peer_without_a_list_has_nothing_newer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against refusals by a gateway that has a list, because most others have
        # just started and have none, while the store is slow or away.
        async def scenario() -> None:
            network = Network(2)
            await network.start()
            old, new = network.gateways[0], Gateway("g001", network)
            state = await new.relay.respond(old.relay.build_request(), Hello())
            assert old.feed.apply_peer(state, asyncio.get_running_loop().time())

        run_virtual(monkeypatch, scenario())

    def test_a_stream_that_waited_for_a_slot_waits_for_the_first_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against refusals of all streams that waited for a slot while their
        # gateway stood still, although its list is confirmed a moment later.
        async def scenario() -> None:
            fields = {"is_stream": True, "is_resumable": True}
            calls = FakeCalls([FakeAnswer(n_events=3)])
            repeat = RepeatPolicy.NON_IDEMPOTENT
            rig = Rig(calls, route(repeat=repeat, timeout_s=LONG_S, **fields))
            age, loop = ViewAge(), asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            age.confirm(ago_s=0.0)
            rig.path._origins.lease = ViewLease(age=age, members=lambda: known(SUSPECT))

            @contextlib.asynccontextmanager
            async def stand_still(_: Job) -> AsyncIterator[HeldSlot]:
                loop.pass_time(VIEW_LAG_S + 0.5)
                loop.call_later(0.1, lambda: age.confirm(ago_s=0.0))
                yield HeldSlot()

            rig.path._hold_slot = stand_still
            now_s = loop.time()
            outcome = await rig.serve(received_s=now_s, deadline_s=now_s + LONG_S)
            assert isinstance(outcome, Answered)

        run_virtual(monkeypatch, scenario())
