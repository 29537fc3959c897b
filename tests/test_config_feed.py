"""Configuration feed of one process: activation of changes, service outages."""

import pytest

from tests.fake_fleet import fake_fleet
from tests.waiting import until
from trefoilpaddle.state.journal import Event

SERVICE = {"kind": "pool"}


class TestConfigFeed:
    async def test_published_changes_become_active(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.publish("service/a", SERVICE)
            peer = await fleet.start("h0")
            assert peer.feed.is_known()
            assert peer.revision == 1
            fleet.platform.publish("service/b", SERVICE)
            fleet.platform.publish("service/c", {"kind": "?"})
            await until(lambda: peer.revision == 3)
            assert list(peer.process.published.catalogue.services) == ["a", "b"]
            expected = {Event.CONFIG_IN_FORCE, Event.CONFIG_REJECTED}
            await until(lambda: expected <= peer.events())

    async def test_start_while_the_service_is_down_waits_and_is_not_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.is_down = True
            fleet.platform.publish("service/a", SERVICE)
            peer = await fleet.start("h0")
            assert not peer.feed.is_known()
            fleet.platform.is_down = False
            await until(peer.feed.is_known)
            expected = {Event.CONFIG_SOURCE_LOST, Event.CONFIG_SOURCE_BACK}
            await until(lambda: expected <= peer.events())
