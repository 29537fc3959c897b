"""Entries of workers are applied in the order of the store."""

import asyncio
from collections.abc import Iterator
from typing import Final

import pytest

from trefoilpaddle.coordination.published.store_view import ListReason
from trefoilpaddle.protocol.gen.chain.ttypes import StorePull, StoreState
from trefoilpaddle.protocol.gen.stage.ttypes import Hello

from .store_fleet import Fleet, started_fleet

LAGGING: Final = "d"
"""A gateway that has not read what has changed since the start."""


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with started_fleet() as started:
        yield started


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
