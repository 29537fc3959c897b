"""Tables that a gateway knows of, but does not have yet."""

import asyncio
from typing import Final

import pytest

from trefoilpaddle.protocol.gen.chain.ttypes import StoreState
from trefoilpaddle.state.journal import Event

from ..chain.virtual_time import run_virtual
from .store_network import Network
from .test_store_feed import Harness, changes, published

CONFIGURATION_S: Final = 3.0
"""Time within which a change must be active everywhere."""

SLOW_READ_S: Final = 0.35
"""A read that lasts longer than the wait before peers are queried."""

N_MOMENTS: Final = 14
MOMENT_S: Final = 0.1


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


class TestPositions:
    @pytest.mark.parametrize("moment", range(N_MOMENTS))
    def test_a_table_is_not_passed_over_for_a_position(
        self, moment: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that takes over how far a peer knows the store, and
        # asks the store only for what came after the table that it did not get.
        async def scenario() -> None:
            network = Network(4)
            await network.start()
            gateway = network.gateways[3]
            gateway.read_s = SLOW_READ_S
            gateway.update_delay_s = 10 * CONFIGURATION_S
            gateway.loses_parts = True
            await asyncio.sleep(CONFIGURATION_S + moment * MOMENT_S)
            network.store.publish(2)
            times_s = await network.activation_times_s(version=2)
            assert max(times_s.values()) <= CONFIGURATION_S

        run_virtual(monkeypatch, scenario())
