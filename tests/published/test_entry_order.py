"""Entries of workers are applied in the order of the store.

The start times that they state do not order them: the clock of a host may be set back
between two starts of a worker.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import replace
from typing import Final

import pytest

from trefoilpaddle.coordination.published.store_view import ListReason
from trefoilpaddle.protocol.gen.chain.ttypes import StorePull, StoreState
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.workers import Worker

from ..chain.fakes import worker
from .store_fleet import NAMES, Fleet, started_fleet

FIRST: Final = replace(worker("w9"), born_ms=5000)
SECOND: Final = replace(FIRST, born_ms=4200, address="10.0.0.9:1")
"""Started after the first one, at a clock that was set back."""

LATER: Final = replace(FIRST, born_ms=6000, address="10.0.0.9:2")

LAGGING: Final = "d"
"""A gateway that has not read what has changed since the start."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with started_fleet() as started:
        started.store.put(FIRST)
        started.run_readers()
        yield started


@pytest.fixture(params=["listed", "removed"])
def current(request: pytest.FixtureRequest) -> Worker | None:
    """Return what the store lists after the first start."""
    return LATER if request.param == "listed" else None


def write(fleet: Fleet, current: Worker | None) -> None:
    """Write a later start, and remove it unless it is the current entry."""
    fleet.store.put(LATER)
    if current is None:
        fleet.store.expire("w9")


def entries(fleet: Fleet) -> list[Worker | None]:
    """Return the entry of the worker at each gateway."""
    return [gateway.workers.get("w9") for gateway in fleet.by_name.values()]


def at_all(entry: Worker | None) -> list[Worker | None]:
    return [entry] * len(NAMES)


def answer_of(fleet: Fleet, name: str) -> StoreState:
    """Return what a gateway answers to one that knows nothing."""
    return asyncio.run(fleet.by_name[name].relay.respond(StorePull(), Hello()))


class TestLateAnswers:
    # Guards against a worker that is gone and is listed again, as a gateway that needs
    # the complete list takes an answer that was under way.
    @pytest.mark.parametrize(
        "reason", [ListReason.CHANGES_LOST, ListReason.DIGEST_MISMATCH]
    )
    def test_a_peers_list_from_before_a_removal_is_ignored(
        self, fleet: Fleet, reason: ListReason
    ) -> None:
        late = answer_of(fleet, LAGGING)
        assert "w1" in {each.worker_id for each in late.workers}
        fleet.store.expire("w1")
        gateway = fleet.by_name["a"]
        gateway.read()
        assert gateway.workers.get("w1") is None
        gateway.feed.view.request_list(reason)
        gateway.feed.view.apply_state(late)
        assert gateway.workers.get("w1") is None
        assert not gateway.feed.position.is_known
        gateway.read()
        assert gateway.feed.position == fleet.store.position


class TestEarlierStarts:
    # Guards against requests to an address where nothing listens any more, as a read
    # that took long still has the start that is gone.
    def test_a_late_read_changes_nothing(
        self, fleet: Fleet, current: Worker | None
    ) -> None:
        slow = fleet.by_name["b"]
        fleet.store.put(replace(FIRST, address="10.0.0.9:3"))
        slow.begin()
        write(fleet, current)
        fleet.by_name["a"].read()
        fleet.deliver("a", "b")
        assert slow.workers.get("w9") == current
        digest = slow.workers.digest
        slow.read()
        assert slow.workers.get("w9") == current
        assert slow.workers.digest == digest

    # Guards against the same, as a lagging peer still has that start.
    @pytest.mark.parametrize("needs_list", [False, True])
    def test_the_state_of_a_lagging_peer_changes_nothing(
        self, fleet: Fleet, current: Worker | None, needs_list: bool
    ) -> None:
        late = answer_of(fleet, LAGGING)
        assert FIRST.worker_id in {each.worker_id for each in late.workers}
        write(fleet, current)
        gateway = fleet.by_name["a"]
        gateway.read()
        digest = gateway.workers.digest
        if needs_list:
            gateway.feed.view.request_list(ListReason.CHANGES_LOST)
        gateway.feed.view.apply_state(late)
        assert gateway.workers.get("w9") == current
        assert gateway.workers.digest == digest

    # Guards against the same, as an update was under way while a later one arrived.
    @pytest.mark.parametrize("needs_list", [False, True])
    def test_a_late_update_changes_nothing(
        self, fleet: Fleet, current: Worker | None, needs_list: bool
    ) -> None:
        fleet.store.put(replace(FIRST, address="10.0.0.9:3"))
        fleet.by_name["a"].read()
        write(fleet, current)
        fleet.by_name["b"].read()
        fleet.deliver("b", "c")
        gateway = fleet.by_name["c"]
        assert gateway.workers.get("w9") == current
        digest = gateway.workers.digest
        if needs_list:
            gateway.feed.view.request_list(ListReason.CHANGES_LOST)
        fleet.deliver("a", "c")
        assert gateway.workers.get("w9") == current
        assert gateway.workers.digest == digest


class TestClockSetBack:
    # Guards against entries that are dropped for their time, so that a worker that
    # leaves gets requests for as long as it is listed.
    def test_a_start_with_an_earlier_time_leaves(self, fleet: Fleet) -> None:
        fleet.store.put(SECOND)
        fleet.run_readers()
        assert entries(fleet) == at_all(SECOND)
        leaving = replace(SECOND, is_leaving=True)
        fleet.store.put(leaving)
        fleet.run_readers()
        assert entries(fleet) == at_all(leaving)

    # Guards against a worker that gets no work after its clock was set back.
    def test_a_start_with_an_earlier_time_is_listed_after_a_removal(
        self, fleet: Fleet
    ) -> None:
        fleet.store.expire("w9")
        fleet.run_readers()
        assert entries(fleet) == at_all(None)
        fleet.store.put(SECOND)
        fleet.run_readers()
        assert entries(fleet) == at_all(SECOND)

    # Guards against results and calls of the first start that count as the second's.
    def test_the_end_of_the_first_start_is_noticed(self, fleet: Fleet) -> None:
        ended: list[Worker] = []
        for gateway in fleet.by_name.values():
            gateway.workers.restart_listeners.append(ended.append)
        fleet.store.put(SECOND)
        fleet.run_readers()
        assert ended == [FIRST] * len(NAMES)

    # Guards against a worker that is unknown once the store was restored.
    def test_a_restored_store_lists_it(self, fleet: Fleet) -> None:
        fleet.store.put(SECOND)
        fleet.run_readers()
        fleet.store.restore_from(fleet.store.back_up())
        fleet.run_readers()
        assert entries(fleet) == at_all(SECOND)
