"""Which requests have room in the bytes that a process may hold."""

import os
from functools import partial

import pytest

from trefoilpaddle.state.held_bytes import (
    BODIES_SHARE,
    SMALL_BYTES,
    HeldBytes,
    held_limit_bytes,
)

LIMIT_BYTES = 100 * SMALL_BYTES


@pytest.fixture
def held() -> HeldBytes:
    return HeldBytes(limit_bytes=LIMIT_BYTES)


class TestRoom:
    # Guards against large requests that keep small ones out.
    def test_small_requests_have_room_beside_large_ones(self, held: HeldBytes) -> None:
        large = [held.holding() for _ in range(100)]
        n_taken = sum(each.take(SMALL_BYTES + 1) for each in large)
        assert 0 < n_taken < len(large)
        other = held.holding()
        assert not other.take(SMALL_BYTES + 1)
        assert other.take(SMALL_BYTES)

    # Guards against a request inside the limits that is never served.
    def test_a_request_alone_always_has_room(self, held: HeldBytes) -> None:
        alone = held.holding()
        assert alone.take(LIMIT_BYTES)
        assert alone.take(LIMIT_BYTES)
        assert not held.holding().take(1)

    # Guards against bytes that are counted after their request, or not until its end.
    def test_bytes_count_as_long_as_their_request_lives(self, held: HeldBytes) -> None:
        holding = held.holding()
        holding.take(SMALL_BYTES)
        assert held.n_bytes == SMALL_BYTES
        del holding
        assert held.n_bytes == 0

    def test_the_limit_follows_the_memory_of_the_machine(self) -> None:
        limit_of = partial(held_limit_bytes, share=BODIES_SHARE)
        assert 0 < limit_of(1) < limit_of(1 << 28) < limit_of(1 << 30) < 1 << 30

    # Guards against a bound that is far below the memory where settings state none.
    def test_without_a_stated_memory_it_follows_that_of_the_machine(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        pages = {"SC_PAGE_SIZE": 4096, "SC_PHYS_PAGES": 1 << 20}
        monkeypatch.setattr(os, "sysconf", pages.__getitem__)
        assert held_limit_bytes(0, BODIES_SHARE) == held_limit_bytes(
            1 << 32, BODIES_SHARE
        )


class TestStalled:
    # Guards against callers that stop sending and keep others out for good.
    def test_the_longest_stalled_make_room(self) -> None:
        held = HeldBytes(limit_bytes=LIMIT_BYTES, stalled_s=-1.0)
        dropped: list[int] = []
        holdings = [held.holding() for _ in range(4)]
        contexts = [
            holding.waiting_for_caller(partial(dropped.append, number))
            for number, holding in enumerate(holdings)
        ]
        for holding, context in zip(holdings, contexts, strict=True):
            context.__enter__()
            holding.take(20 * SMALL_BYTES)
        holdings[0].record_progress()
        assert not held.holding().take(30 * SMALL_BYTES)
        assert dropped == [1, 2]
        assert held.n_dropped == 2

    # Guards against callers that get on and are dropped for others.
    def test_callers_that_get_on_are_not_dropped(self, held: HeldBytes) -> None:
        holding = held.holding()
        with holding.waiting_for_caller(pytest.fail):
            holding.take(LIMIT_BYTES)
            assert not held.holding().take(SMALL_BYTES)
