"""The feed of one process: what is published comes in force and never reverts."""

from tests.fake_platform import FakePlatform, until
from trefoilpaddle.coordination.config_feed import config_feed
from trefoilpaddle.state.journal import Decision, Event, Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import LogFormat, PeerSettings

SERVICE = {"kind": "pool"}


class AloneProcess:
    def __init__(self) -> None:
        self.journal = Journal(process_id="p", n_records=9, format=LogFormat.KEY_VALUE)
        self.published = Published()
        self.decisions: list[Decision] = []
        self.journal.subscribe(self.decisions.append)

    def events(self) -> set[Event]:
        return {decision.event for decision in self.decisions}


class TestConfigFeed:
    async def test_what_is_published_comes_in_force(self) -> None:
        process = AloneProcess()
        async with FakePlatform().serving() as platform:
            platform.publish("service/a", SERVICE)
            async with config_feed(
                process=process, platform=platform.settings(), peers=PeerSettings()
            ) as feed:
                assert feed.is_known()
                assert process.published.catalogue.revision == 1
                platform.publish("service/b", SERVICE)
                platform.publish("service/c", {"kind": "?"})
                await until(lambda: process.published.catalogue.revision == 3)
                assert list(process.published.catalogue.services) == ["a", "b"]
        assert {Event.CONFIG_IN_FORCE, Event.CONFIG_REJECTED} <= process.events()

    async def test_a_start_with_the_service_down_waits_and_says_not_known(
        self,
    ) -> None:
        process = AloneProcess()
        async with FakePlatform().serving() as platform:
            platform.is_down = True
            platform.publish("service/a", SERVICE)
            async with config_feed(
                process=process,
                platform=platform.settings(),
                peers=PeerSettings(),
                start_wait_s=0.05,
            ) as feed:
                assert not feed.is_known()
                platform.is_down = False
                await until(feed.is_known)
        assert Event.CONFIG_SOURCE_LOST in process.events()
        assert Event.CONFIG_SOURCE_BACK in process.events()
