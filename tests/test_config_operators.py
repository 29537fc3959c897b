"""Concurrent changes by operators, and a reader that is paused."""

import pytest

from tests.fake_fleet import FakePeer, fake_fleet
from tests.waiting import until
from trefoilpaddle.state.journal import Event

SERVICE = {"kind": "pool"}
PIPELINE = {"stages": [{"name": "s", "service": "a", "path": "/s"}]}
ENTRY = {
    "owner": "o",
    "class_of_work": "c",
    "pipelines": ["p"],
    "accounts": [],
}


def weight(peer: FakePeer) -> float:
    return peer.process.published.catalogue.entries["e"].weight


class TestConcurrentChanges:
    async def test_latest_of_several_changes_of_one_entry_is_active_everywhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Operators change one entry at the same time. The service orders the
        # changes; every process must end with the last one.
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.publish("service/a", SERVICE)
            fleet.platform.publish("pipeline/p", PIPELINE)
            for number in range(4):
                await fleet.start(f"h{number}", failure_domain=f"d{number % 2}")
            for number in range(1, 9):
                fleet.platform.publish("entry/e", ENTRY | {"weight": number})
            peers = list(fleet.peers.values())
            await until(lambda: {peer.revision for peer in peers} == {10})
            assert {weight(peer) for peer in peers} == {8.0}

    async def test_deletion_of_a_pipeline_that_a_new_entry_uses_is_held_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # One operator deletes a pipeline while another publishes an entry that
        # names it. The later change is held back in every process, with the reason,
        # and becomes active by itself once it is valid.
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.publish("service/a", SERVICE)
            fleet.platform.publish("pipeline/p", PIPELINE)
            for number in range(4):
                await fleet.start(f"h{number}")
            fleet.platform.publish("entry/e", ENTRY)
            fleet.platform.publish("pipeline/p", None)
            peers = list(fleet.peers.values())
            await until(lambda: {peer.revision for peer in peers} == {4})
            for peer in peers:
                assert "p" in peer.process.published.catalogue.pipelines
                (held,) = peer.feed.state.held_back
                assert held.key == "pipeline/p"
                assert "entry/e" in held.problems[0].detail
            fleet.platform.publish("entry/e", None)
            await until(lambda: {peer.revision for peer in peers} == {5})
            for peer in peers:
                assert not peer.process.published.catalogue.pipelines
                assert not peer.feed.state.held_back


class TestPausedReader:
    async def test_another_process_reads_and_the_paused_reader_reverts_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The only reader of the domain is paused while its connections stay open.
        # A change must still become active. The reader has an older revision when
        # it resumes, and no other process may return to that.
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.publish("service/a", SERVICE)
            for number in range(4):
                await fleet.start(f"h{number}")
            peers = list(fleet.peers.values())
            await until(
                lambda: all(len(peer.feed.membership.live()) == 4 for peer in peers)
            )
            (paused,) = [peer for peer in peers if peer.feed.reader.is_reading()]
            others = [peer for peer in peers if peer is not paused]
            client = paused.feed.client
            url = client._config_url
            monkeypatch.setattr(client, "_config_url", "http://127.0.0.1:1")
            await until(lambda: Event.CONFIG_SOURCE_LOST in paused.events())
            fleet.network.side_of = lambda name: name == paused.name
            fleet.platform.publish("service/b", SERVICE)
            await until(lambda: {peer.revision for peer in others} == {2})
            assert paused.revision == 1
            monkeypatch.setattr(client, "_config_url", url)
            fleet.network.heal()
            await until(lambda: {peer.revision for peer in peers} == {2})
