"""Tables that a gateway knows of, but does not have yet."""

import asyncio
from typing import Final

import pytest
from result import Err

from trefoilpaddle.coordination.published.published_store import StoreFault
from trefoilpaddle.coordination.published.store_readers import UpdateGap
from trefoilpaddle.protocol.gen.chain.ttypes import StorePull, StoreState
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.journal import Event

from ..chain.virtual_time import run_virtual
from .store_network import Network
from .test_store_feed import Harness, changes, published
from .test_store_readers import follower, listed, update

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
    @pytest.mark.parametrize("number", [0, 1, 3])
    def test_a_table_is_not_passed_over_for_a_position(
        self, number: int, moment: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that takes over how far a peer knows the store, and
        # asks the store only for what came after the table that it did not get.
        async def scenario() -> None:
            network = Network(4)
            await network.start()
            gateway = network.gateways[number]
            gateway.read_s = SLOW_READ_S
            gateway.update_delay_s = 10 * CONFIGURATION_S
            gateway.loses_parts = True
            await asyncio.sleep(CONFIGURATION_S + moment * MOMENT_S)
            network.store.publish(2)
            times_s = await network.activation_times_s(version=2)
            assert max(times_s.values()) <= CONFIGURATION_S

        run_virtual(monkeypatch, scenario())


class TestMarks:
    """How far the table is known is not how far the workers are known."""

    async def _gateway(self) -> tuple[Harness, StoreState]:
        """Return a gateway with table 5, and what a peer with table 6 answers."""
        harness = Harness(
            changes(1, "a", table=published(5)), changes(9, table=published(6))
        )
        await harness.read()
        digest = harness.workers.digest
        state = StoreState(
            revision=8,
            version=6,
            digest=digest.entries,
            domain_digest=digest.domains,
            version_digest=digest.versions,
            evacuated=[],
        )
        return harness, state

    async def test_the_store_is_read_from_before_the_table(self) -> None:
        # Guards against a table that no read of the store brings any more.
        harness, state = await self._gateway()
        harness.feed.view.apply_state(state)
        assert harness.feed.position.revision == 8
        assert harness.feed.view.lacks_table
        await harness.read()
        assert harness.store.requested[-1] == 1
        assert harness.tables == [5, 6]
        assert not harness.feed.view.lacks_table

    async def test_a_transfer_that_succeeds_makes_up_for_the_read(self) -> None:
        # Guards against reads that bring a table once more on a weak link.
        harness, state = await self._gateway()
        harness.feed.view.apply_state(state)
        harness.feed.view.table.apply_data(published(6).data)
        assert harness.feed.view.read_position.revision == 8

    async def test_a_gateway_that_lacks_a_table_does_not_say_otherwise(self) -> None:
        # Guards against others that pass the table over for this gateway's position.
        harness, state = await self._gateway()
        harness.feed.view.apply_state(state)
        answer = await harness.feed._relay.respond(StorePull(), Hello())
        other = Harness(changes(1, "a", table=published(5)))
        await other.read()
        other.feed.view.apply_state(answer)
        assert other.feed.position.revision == 8
        assert other.feed.view.read_position.revision == 1

    async def test_a_peer_of_an_earlier_build_is_believed(self) -> None:
        # Guards against a release during which every answer of a peer causes a read.
        harness, state = await self._gateway()
        state.version = 5
        harness.feed.view.apply_state(state)
        assert harness.feed.view.read_position.revision == 8

    async def test_a_lost_history_brings_the_list(self) -> None:
        # Guards against a gateway that asks in vain for changes that are gone.
        harness, state = await self._gateway()
        harness.feed.view.apply_state(state)
        harness.store.answers = [
            Err(StoreFault.HISTORY_LOST),
            changes(9, "a", table=published(6)),
        ]
        await harness.read()
        assert harness.store.requested == [0, 1, 0]
        assert harness.tables == [5, 6]


class TestUpdates:
    async def test_workers_change_while_a_table_is_missing(self) -> None:
        # Guards against requests to a worker that leaves while a large table is under
        # way, and against a table that is passed over for the change of the worker.
        harness = await follower(changes(9, "w1", "w2", table=published(6)))
        gap = harness.feed.apply_update(
            update(harness, 1, 8, version=6, workers=[listed("w1", is_leaving=True)])
        )
        assert gap is UpdateGap.TABLE
        leaving = harness.workers.get("w1")
        assert leaving is not None
        assert leaving.is_leaving
        await harness.feed.read_once()
        assert harness.store.requested[-1] == 1
        assert harness.tables == [5, 6]
