"""Lists of workers that count as the same are the same."""

from dataclasses import fields, replace

import pytest

from trefoilpaddle.protocol.gen.chain.ttypes import StoreState
from trefoilpaddle.state.chain.workers import Worker

from ..chain.fakes import worker
from .test_store_feed import Harness, changes

CHANGED = {
    "worker_id": "b",
    "service": "another",
    "address": "a:2",
    "failure_domain": "there",
    "is_leaving": True,
    "born_ms": 7,
    "software_version": "v2",
    "n_slots": 8,
}


class TestDigest:
    def test_each_compared_field_changes_it(self) -> None:
        # Guards against a change for which two lists count as the same: a gateway that
        # takes over a peer's position would never read it.
        one = worker("a", n_slots=4)
        compared = {each.name for each in fields(Worker) if each.compare}
        assert compared == set(CHANGED)
        for name, value in CHANGED.items():
            other = replace(one, **{name: value})  # type: ignore[arg-type]
            assert not one.digest().matches(other.digest()), name


class TestPosition:
    @pytest.mark.parametrize("name", ["failure_domain", "n_slots", "software_version"])
    async def test_it_does_not_pass_a_changed_entry(self, name: str) -> None:
        # Guards against a change of a worker's entry that no read brings any more.
        harness = Harness(changes(1, "a"))
        await harness.read()
        known = harness.workers.all()[0]
        digest = replace(known, **{name: CHANGED[name]}).digest()  # type: ignore[arg-type]
        state = StoreState(
            revision=9,
            digest=digest.entries,
            domain_digest=digest.domains,
            version_digest=digest.versions,
            slot_digest=digest.slots,
            evacuated=[],
        )
        harness.feed.view.apply_state(state)
        assert harness.feed.view.read_position.revision == 1
