"""Tables that a gateway knows of, but does not have yet."""

from trefoilpaddle.protocol.gen.chain.ttypes import StoreState
from trefoilpaddle.state.journal import Event

from .test_store_feed import Harness, changes, published


class TestNamedTables:
    async def test_a_version_that_a_peer_names_is_recorded_once(self) -> None:
        # Guards against a gateway that lacks a version, and no log line that says so.
        harness = Harness(changes(1, "a", table=published(5)))
        await harness.read()
        for revision in (2, 3):
            harness.feed.view.apply_state(StoreState(revision=revision, version=6))
        events = [each.decision.event for each in harness.records.recent()]
        assert events.count(Event.CONFIG_NAMED) == 1
        assert harness.feed.view.table.missing_s > 0.0
        harness.feed.view.table.apply_if_newer(published(6))
        assert harness.feed.view.table.missing_s == 0.0
