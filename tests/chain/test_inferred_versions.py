"""Versions of unknown streams, where what a gateway knows of the workers has gaps."""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, Final

import pytest

from trefoilpaddle.coordination.chain.catch_up import _served_from_wire, _served_to_wire
from trefoilpaddle.coordination.chain.stream_origins import KnownOrigin, UnknownOrigin
from trefoilpaddle.coordination.chain.view_lease import ViewLease
from trefoilpaddle.coordination.members.peer_monitor import DEAD_AFTER_S
from trefoilpaddle.coordination.published.published_store import StoreChanges
from trefoilpaddle.coordination.published.store_journal import StoreJournal
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.view_age import ViewAge
from trefoilpaddle.coordination.published.worker_listing import Scope, WorkerListing
from trefoilpaddle.protocol.gen.chain.ttypes import ServedNews
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.former_lives import FormerLives
from trefoilpaddle.state.chain.requests import Outcome, Refused
from trefoilpaddle.state.chain.routes import Route
from trefoilpaddle.state.chain.served_versions import (
    MAX_KNOWN_S,
    VIEW_LAG_S,
    ServedVersions,
)
from trefoilpaddle.state.chain.stream_versions import stream_key
from trefoilpaddle.state.chain.version_splits import split_of
from trefoilpaddle.state.chain.workers import WorkerTable

from ..published.test_history_reader import Rig as HistoryRig
from ..published.test_history_reader import Source, store_of
from .fakes import FakeAnswer, FakeCalls, journal, route, table, worker
from .origins_fleet import LIFE_S, SERVICE, Fleet
from .test_catch_up import Start
from .test_request_path import Rig
from .virtual_time import run_virtual

LONG_S: Final = 60.0
SHORT_S: Final = 5.0
UP_S: Final = 300.0
LEFT_S: Final = 25.0
"""Time since a version left; longer than streams of the short timeout live."""

OF_V2: Final = "lost"
"""An attempt that is assigned to v2 while v1 and v2 have a worker each."""


def stream_route(timeout_s: float, **fields: Any) -> Route:
    return route(
        is_stream=True,
        is_resumable=True,
        timeout_s=timeout_s,
        **fields,
    )


class TestShortenedTimeout:
    async def resume(
        self, after: Route, *, wait_s: float = 0.0
    ) -> tuple[Outcome, list[str]]:
        """Resume a stream whose version left before a new table.

        Return the outcome and the workers that it was sent to.
        """
        calls = FakeCalls(scripts=[FakeAnswer()])
        rig = Rig(calls, stream_route(LONG_S))
        for number in range(2):
            rig.workers.put(worker(f"w{number}", software_version="v1"))
        await asyncio.sleep(UP_S)
        for number in range(2):
            rig.workers.remove(f"w{number}")
            rig.workers.put(worker(f"new{number}", software_version="v2"))
        await asyncio.sleep(LEFT_S)
        rig.path.activate(table(after))
        await asyncio.sleep(wait_s)
        now_s = time.monotonic()
        outcome = await rig.serve(
            received_s=now_s,
            deadline_s=now_s + LONG_S,
            after_event=3,
            resumes="unknown",
        )
        return outcome, [worker_id for worker_id, _ in calls.sent]

    @pytest.mark.parametrize(
        "fields", [{}, {"name": "renamed"}, {"name": "r2", "prefix": "/x"}], ids=str
    )
    def test_a_stream_of_the_longer_timeout_is_not_inferred(
        self, fields: Mapping[str, Any], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a stream that goes on at a version that did not begin it, as
        # its route takes it for too young to have begun at another one.
        shortened = stream_route(SHORT_S, **fields)
        outcome, sent_to = run_virtual(monkeypatch, self.resume(shortened))
        assert not sent_to
        assert isinstance(outcome, Refused)
        assert outcome.reason is Reason.ORIGIN_UNKNOWN

    @pytest.mark.parametrize(
        ("after", "wait_s"),
        [
            (stream_route(SHORT_S), 2 * LONG_S + 11.0),
            (stream_route(LONG_S), 2 * LONG_S),
        ],
        ids=["once-they-have-ended", "unchanged"],
    )
    def test_the_only_version_is_inferred_again(
        self, after: Route, wait_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against refusals for longer than such streams live.
        _, sent_to = run_virtual(monkeypatch, self.resume(after, wait_s=wait_s))
        assert sent_to and set(sent_to) <= {"new0", "new1"}

    def test_a_life_ends_before_a_longer_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            lives = FormerLives()
            lives.learn(SERVICE, 120.0)
            lives.learn(SERVICE, 40.0)
            assert lives.longest_s(SERVICE) == 120.0
            await asyncio.sleep(125.0)
            lives.learn(SERVICE, 20.0)
            assert lives.longest_s(SERVICE) == 120.0
            await asyncio.sleep(10.0)
            assert lives.longest_s(SERVICE) == 20.0
            assert lives.longest_s("other") == 0.0

        run_virtual(monkeypatch, scenario())


class TestCutOffGateway:
    @pytest.mark.parametrize("are_others_listed", [True, False])
    def test_it_does_not_infer_the_version_of_its_old_list(
        self, are_others_listed: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a stream of a new version that goes on at the old one, at a
        # gateway that has heard of no change since it was cut off.
        async def scenario() -> None:
            fleet = Fleet(3, versions=["v1"])
            await asyncio.sleep(2 * LIFE_S)
            cut = fleet.gateways[0]
            cut.half = 1
            age = ViewAge()
            age.confirm(ago_s=0.0)
            cut.origins.lease = ViewLease(age=age, members=lambda: fleet.members)
            for gateway in fleet.gateways[1:]:
                gateway.workers.remove("w0")
                gateway.workers.put(worker("w1", SERVICE, software_version="v2"))
            await asyncio.sleep(DEAD_AFTER_S)
            if not are_others_listed:
                fleet.members = fleet.members[:1]
            for attempt_id in ("unknown", ""):
                found = await cut.origins.find(attempt_id, SERVICE, life_s=LIFE_S)
                assert found == UnknownOrigin(is_final=not are_others_listed)
            age.confirm(ago_s=0.0)
            found = await cut.origins.find("unknown", SERVICE, life_s=LIFE_S)
            assert isinstance(found, UnknownOrigin) == are_others_listed

        run_virtual(monkeypatch, scenario())


class TestStartInDeployment:
    @pytest.mark.parametrize("is_alone", [False, True], ids=["later", "bootstrap"])
    def test_a_version_that_left_before_is_not_ruled_out(
        self, is_alone: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that was killed and takes its start for the first.
        async def scenario() -> None:
            new = Start(0, is_alone=is_alone)
            new.gateway.workers.put(worker("b", SERVICE, software_version="v2"))
            await new.caught_up_s()
            assert new.served.sole_version(SERVICE, LIFE_S) is None
            await asyncio.sleep(LIFE_S / 2)
            assert new.served.sole_version(SERVICE, LIFE_S) is None
            next_one = Start(1)
            next_one.stopping.append(new)
            next_one.gateway.workers.put(worker("b", SERVICE, software_version="v2"))
            await next_one.caught_up_s()
            assert next_one.served.sole_version(SERVICE, LIFE_S) is None
            await asyncio.sleep(LIFE_S + VIEW_LAG_S)
            assert new.served.sole_version(SERVICE, LIFE_S) == "v2"

        run_virtual(monkeypatch, scenario())


class TestLeftBeforeTheFirstList:
    @pytest.mark.parametrize("has_history", [False, True])
    def test_it_is_not_ruled_out_without_a_peer(
        self, has_history: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a first list that is taken for all that served.
        async def scenario() -> None:
            store = store_of("v1", "v2")
            store.remove("w0")
            rig = HistoryRig(Source(store))
            await asyncio.sleep(1.0)
            if has_history:
                assert await rig.sole_version() is None
            else:
                assert rig.served.sole_version(SERVICE, LIFE_S) is None

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("gap_s", [0.0, 0.9])
    def test_it_may_have_begun_streams_until_the_first_list(
        self, gap_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a version that ends for this gateway when a peer answered,
        # although it served until the first list was read.
        async def scenario() -> None:
            old = Start(0, is_alone=True)
            old.gateway.workers.put(worker("a", SERVICE, software_version="v1"))
            await asyncio.sleep(2 * LIFE_S)
            new = Start(1)
            new.live.append(old)
            await new.caught_up_s()
            await asyncio.sleep(gap_s)
            new.gateway.workers.put(worker("b", SERVICE, software_version="v2"))
            await asyncio.sleep(LIFE_S + VIEW_LAG_S - 0.05)
            assert new.served.sole_version(SERVICE, LIFE_S) is None
            await asyncio.sleep(1.0)
            assert new.served.sole_version(SERVICE, LIFE_S) == "v2"

        run_virtual(monkeypatch, scenario())


class TestWhatPeersTell:
    def one_version(self) -> ServedVersions:
        workers = WorkerTable()
        served = ServedVersions(workers=workers)
        workers.put(worker("b", SERVICE, software_version="v2"))
        return served

    def test_one_that_has_just_started_proves_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            peer = self.one_version()
            await asyncio.sleep(1.0)
            served = self.one_version()
            history = peer.history()
            assert history is not None
            served.inherit(_served_from_wire(_served_to_wire(history)))
            assert served.known_s == pytest.approx(1.0)
            assert served.sole_version(SERVICE, LIFE_S) is None

        run_virtual(monkeypatch, scenario())

    def test_one_of_a_build_without_splits_proves_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a time for which a peer knows versions, but not their splits.
        async def scenario() -> None:
            peer, served = self.one_version(), self.one_version()
            await asyncio.sleep(LIFE_S / 2)
            history = peer.history()
            assert history is not None
            news = _served_to_wire(history)
            news.known_ms = int(2 * LIFE_S * 1000)
            for splits in ([], ServedNews().splits):
                news.splits = splits
                served.inherit(_served_from_wire(news))
            assert served.sole_version(SERVICE, LIFE_S) is None

        run_virtual(monkeypatch, scenario())

    def test_what_one_knows_from_the_history_keeps_the_versions_that_left(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a long known time that is passed on without its splits.
        async def scenario() -> None:
            peer = self.one_version()
            await asyncio.sleep(1.0)
            peer.extend({SERVICE: [split_of(["v1", "v2"])]}, since_s=-1e9)
            assert peer.known_s == MAX_KNOWN_S
            served = self.one_version()
            history = peer.history()
            assert history is not None
            served.inherit(_served_from_wire(_served_to_wire(history)))
            assert served.known_s == pytest.approx(MAX_KNOWN_S)
            assert served.sole_version(SERVICE, LIFE_S) is None
            assert served.inferred_version(SERVICE, stream_key(OF_V2), LIFE_S) == "v2"
            await asyncio.sleep(LIFE_S + VIEW_LAG_S)
            assert served.sole_version(SERVICE, LIFE_S) == "v2"

        run_virtual(monkeypatch, scenario())


class TestKeptWorkers:
    def test_one_that_is_kept_after_an_outage_may_have_begun_streams(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a version that ends with its entry although requests are sent
        # to its workers until the grace period is over.
        async def scenario() -> None:
            workers = WorkerTable()
            served = ServedVersions(workers=workers)
            listing = WorkerListing(
                workers=workers,
                store_journal=StoreJournal(journal=journal()),
                recovery_grace_s=2.5,
            )
            old = worker("a", SERVICE, software_version="v1")
            new = worker("b", SERVICE, software_version="v2")
            workers.put(old)
            await asyncio.sleep(2 * LIFE_S)
            now_s = time.monotonic()
            listing.record_recovery(now_s)
            changes = StoreChanges(
                position=StorePosition(era=1, revision=2), workers=(new,)
            )
            listing.apply(changes, scope=Scope.LIST, now_s=now_s)
            assert served.versions(SERVICE, 0.0) == {"v1", "v2"}
            await asyncio.sleep(2.6)
            listing.remove_expired(time.monotonic())
            await asyncio.sleep(LIFE_S + VIEW_LAG_S - 0.1)
            assert served.sole_version(SERVICE, LIFE_S) is None
            await asyncio.sleep(0.2)
            assert served.sole_version(SERVICE, LIFE_S) == "v2"

        run_virtual(monkeypatch, scenario())


class TestListsThatDiffer:
    @pytest.mark.parametrize("n_ago", [0.0, 1.0, 2.0, LIFE_S - 1.0])
    def test_no_stream_that_began_at_either_is_joined_from_two_versions(
        self, n_ago: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a version that has left one list and still gets streams by
        # another one.
        async def scenario() -> None:
            fleet = Fleet(2)
            await asyncio.sleep(2 * LIFE_S)
            ahead, behind = fleet.gateways
            ahead.workers.remove("w0")
            begun = []
            for number in range(20):
                attempt_id = f"s{number}"
                for at in (ahead, behind):
                    served = at.origins.served
                    version = served.assigned_version(SERVICE, stream_key(attempt_id))
                    begun.append((attempt_id, version or "v2", time.monotonic()))
                await asyncio.sleep(0.1)
            behind.workers.remove("w0")
            await asyncio.sleep(n_ago)
            for attempt_id, version, at_s in begun:
                if time.monotonic() - at_s > LIFE_S:
                    continue
                for at in (ahead, behind):
                    found = await at.origins.find(attempt_id, SERVICE, life_s=LIFE_S)
                    assert found in (
                        KnownOrigin(software_version=version),
                        UnknownOrigin(is_final=True),
                    )

        run_virtual(monkeypatch, scenario())
