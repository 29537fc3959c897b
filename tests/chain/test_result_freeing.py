"""When results that were read are freed at the worker that keeps them."""

import asyncio
from collections.abc import Sequence

import pytest

from trefoilpaddle.coordination.chain.result_freeing import (
    BATCH_WINDOW_S,
    ResultFreeing,
)
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from .fakes import FakeCalls, worker
from .virtual_time import run_virtual

STEP_S = BATCH_WINDOW_S / 10


class CountingCalls(FakeCalls):
    """Records the handles that each call freed."""

    def __init__(self) -> None:
        super().__init__()
        self.freed_together: list[list[str]] = []

    async def free_results(self, worker: Worker, handles: Sequence[str]) -> bool:
        self.freed_together.append(list(handles))
        await asyncio.sleep(STEP_S / 10)
        return True


def freeing_of(calls: FakeCalls, *, is_short: list[bool]) -> ResultFreeing:
    at = worker("s0", "s")
    workers = WorkerTable()
    workers.put(at)
    return ResultFreeing(
        worker=at,
        calls=calls,
        workers=workers,
        on_freed=lambda _: None,
        is_short=lambda: is_short[-1],
    )


class TestGathering:
    # A busy cell of 18 workers on hosts with an eighth of a core: chains read their
    # results one after another, and each result was freed by a call of its own. The
    # scheduler sent more of these calls than calls of pieces, fell behind and refused
    # chains.
    def test_results_read_in_succession_are_freed_in_one_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls = CountingCalls()

        async def run() -> None:
            freeing = freeing_of(calls, is_short=[False])
            for number in range(5):
                freeing.free(f"h{number}")
                await asyncio.sleep(STEP_S)
            await asyncio.sleep(2 * BATCH_WINDOW_S)

        run_virtual(monkeypatch, run())
        assert calls.freed_together == [["h0", "h1", "h2", "h3", "h4"]]

    def test_with_low_memory_results_are_freed_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls = CountingCalls()

        async def run() -> None:
            freeing = freeing_of(calls, is_short=[True])
            for number in range(3):
                freeing.free(f"h{number}")
                await asyncio.sleep(STEP_S)

        run_virtual(monkeypatch, run())
        assert calls.freed_together == [["h0"], ["h1"], ["h2"]]

    def test_gathered_results_are_freed_when_memory_becomes_low(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls = CountingCalls()

        async def run() -> None:
            is_short = [False]
            freeing = freeing_of(calls, is_short=is_short)
            freeing.free("h0")
            await asyncio.sleep(STEP_S)
            is_short.append(True)
            freeing.flush()
            await asyncio.sleep(STEP_S)
            assert calls.freed_together == [["h0"]]
            await asyncio.sleep(2 * BATCH_WINDOW_S)

        run_virtual(monkeypatch, run())
        assert calls.freed_together == [["h0"]]
