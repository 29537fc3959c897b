"""Further reads of the store while an earlier one is waiting."""

import asyncio
from typing import Final

import pytest

from trefoilpaddle.coordination.published.overlapping_reads import (
    MAX_OVERLAPPING,
    OverlappingReads,
)

from ..chain.virtual_time import run_virtual

PERIOD_S: Final = 0.6


class Store:
    """Counts reads, which never end."""

    def __init__(self) -> None:
        self.began_s: list[float] = []
        self.n_ended = 0

    async def read(self) -> None:
        self.began_s.append(asyncio.get_running_loop().time())
        try:
            await asyncio.Event().wait()
        finally:
            self.n_ended += 1


class TestOverlappingReads:
    def test_they_keep_the_interval_and_are_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against reads without end that a store gets while it does not answer.
        async def scenario() -> None:
            store, began_s = Store(), asyncio.get_running_loop().time()
            reads = OverlappingReads(
                read=store.read, is_needed=lambda: True, period_s=PERIOD_S
            )
            async with reads.sending():
                await asyncio.sleep(100.0)
            expected_s = [began_s + PERIOD_S * n for n in range(1, MAX_OVERLAPPING + 1)]
            assert store.began_s == pytest.approx(expected_s)
            reads.cancel()
            await asyncio.sleep(0)
            assert store.n_ended == MAX_OVERLAPPING

        run_virtual(monkeypatch, scenario())

    def test_only_a_reader_sends_them(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against reads by all gateways of a slow store.
        async def scenario() -> None:
            store = Store()
            reads = OverlappingReads(
                read=store.read, is_needed=lambda: False, period_s=PERIOD_S
            )
            async with reads.sending():
                await asyncio.sleep(100.0)
            assert not store.began_s

        run_virtual(monkeypatch, scenario())
