"""Eviction rules of a bounded cache."""

from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.replay.cache_rule import (
    CostAwareCache,
    LeastRecentlyUsed,
    Use,
    adapter_uses,
    saved_share,
)


def uses(items: str) -> Iterator[Use]:
    for index, item in enumerate(items):
        yield Use(at_s=float(index), item=item, size=1.0, cost=1.0)


class TestRules:
    def test_lru_evicts_used_items_for_items_used_once(self) -> None:
        rule = LeastRecentlyUsed(capacity=2.0)
        assert saved_share(uses("aabcadeafgahia"), rule) == 1 / 14

    def test_repeatedly_used_item_is_kept(self) -> None:
        rule = CostAwareCache(capacity=2.0, half_life_s=20.0)
        assert saved_share(uses("aabcadeafgahia"), rule) == 5 / 14

    def test_item_that_is_no_longer_used_is_evicted(self) -> None:
        rule = CostAwareCache(capacity=1.0, half_life_s=2.0)
        hits = [rule.use(use) for use in uses("aaaa" + "b" * 12)]
        assert not any(hits[4:6])
        assert hits[-1]

    @given(st.text(alphabet="abcdefgh", max_size=60), st.integers(1, 5))
    def test_room_is_kept(self, items: str, room: int) -> None:
        rule = CostAwareCache(capacity=float(room), half_life_s=5.0)
        for use in uses(items):
            rule.use(use)
            assert len(rule._kept) <= room

    def test_uses_of_one_seed_are_reproducible(self) -> None:
        first = [next(adapter_uses(1)) for _ in range(3)]
        assert first == [next(adapter_uses(1)) for _ in range(3)]
