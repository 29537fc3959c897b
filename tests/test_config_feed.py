"""The feed of one process: what is published comes in force and never reverts."""

import pytest

from tests.fake_fleet import fake_fleet
from tests.waiting import until
from trefoilpaddle.state.journal import Event

SERVICE = {"kind": "pool"}


class TestConfigFeed:
    async def test_what_is_published_comes_in_force(
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
            noted = {Event.CONFIG_IN_FORCE, Event.CONFIG_REJECTED}
            await until(lambda: noted <= peer.events())

    async def test_a_start_with_the_service_down_waits_and_says_not_known(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with fake_fleet(monkeypatch) as fleet:
            fleet.platform.is_down = True
            fleet.platform.publish("service/a", SERVICE)
            peer = await fleet.start("h0")
            assert not peer.feed.is_known()
            fleet.platform.is_down = False
            await until(peer.feed.is_known)
            noted = {Event.CONFIG_SOURCE_LOST, Event.CONFIG_SOURCE_BACK}
            await until(lambda: noted <= peer.events())
