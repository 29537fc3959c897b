"""Continuous batching: each step decodes one token of every running prompt."""

import asyncio
import contextlib
import heapq
import itertools
import time
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import Final

from pydantic.dataclasses import dataclass as checked_dataclass

from trefoilpaddle.state.catalogue import STRICT

from .faults import Faults
from .generation import Generation
from .lagged import Lagged
from .outputs import N_BLOCK_WORDS
from .pace import Pace
from .prefix_cache import PrefixCache

# Longest delay of the step schedule that the following steps still catch up.
_MAX_LATE_S: Final = 0.25
_MIN_SLEEP_S: Final = 0.001


@checked_dataclass(slots=True, kw_only=True, config=STRICT)
class BatchModel:
    """Duration of a step and capacity of the batch.

    Parameters
    ----------
    max_batch : int
        Largest number of prompts that run at once.
    max_waiting : int
        Largest number of prompts in the queue.
    step_base_s : float
        Time of a step with an empty batch.
    step_per_prompt_s : float
        Time added for each prompt that is decoding.
    prefill_per_token_s : float
        Time added for each prompt token that is prefilled, as it was not cached.
    prefill_chunk : int
        Largest number of prompt tokens that are prefilled in one step.
    """

    max_batch: int = 8
    max_waiting: int = 256
    step_base_s: float = 0.008
    step_per_prompt_s: float = 0.001
    prefill_per_token_s: float = 0.0001
    prefill_chunk: int = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchLoad:
    """Running and waiting prompts of an engine at one moment."""

    n_running: int = 0
    n_waiting: int = 0


class Batch:
    """Runs generations as one batch, step by step.

    Parameters
    ----------
    model : BatchModel
        Duration of steps and capacity of the batch.
    cache : PrefixCache
        Blocks of prompts that need no prefill.
    pace : Pace
        Scales the duration of steps.
    faults : Faults
        Faults that are set; a pause stops the steps.
    """

    __slots__ = (
        "_arrivals",
        "_cache",
        "_faults",
        "_has_work",
        "_model",
        "_pace",
        "_running",
        "_waiting",
        "load",
    )

    def __init__(
        self, *, model: BatchModel, cache: PrefixCache, pace: Pace, faults: Faults
    ) -> None:
        self._model = model
        self._cache = cache
        self._pace = pace
        self._faults = faults
        self._running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._arrivals = itertools.count()
        self._has_work = asyncio.Event()
        self.load = Lagged(initial=BatchLoad())

    @property
    def is_full(self) -> bool:
        """Return True if the queue has no space for a further prompt."""
        return len(self._waiting) >= self._model.max_waiting

    def add(self, generation: Generation) -> None:
        """Queue `generation` until the batch has a free slot."""
        queued = (generation.priority, next(self._arrivals), generation)
        heapq.heappush(self._waiting, queued)
        self._has_work.set()
        self._record_load()

    @contextlib.asynccontextmanager
    async def stepping(self) -> AsyncIterator[None]:
        """Run steps while the context is open."""
        task = asyncio.create_task(self._run_steps())
        task.add_done_callback(_raise_loop_error)
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _run_steps(self) -> None:
        step_end_s = time.monotonic()
        while True:
            self._admit()
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                step_end_s = time.monotonic()
                continue
            await self._faults.wait_unpaused()
            prefills = list(self._prefills())
            step_s = self._step_s(prefills)
            step_end_s = max(step_end_s, time.monotonic() - _MAX_LATE_S) + step_s
            await self._sleep_until(step_end_s)
            self._finish_step(step_s, prefills)

    def _admit(self) -> None:
        """Fill the batch by priority, then arrival; drop ended generations."""
        self._running = [each for each in self._running if not each.has_ended]
        while self._waiting and len(self._running) < self._model.max_batch:
            _, _, generation = heapq.heappop(self._waiting)
            if generation.has_ended:
                continue
            n_cached = self._cache.n_cached(generation.hashes) * N_BLOCK_WORDS
            generation.n_cached_tokens = n_cached
            generation.n_prefill_left = generation.n_prompt_tokens - n_cached
            self._running.append(generation)
        self._record_load()

    def _prefills(self) -> Iterator[tuple[Generation, int]]:
        """Yield each generation prefilled in this step and its number of tokens."""
        n_left = self._model.prefill_chunk
        for generation in self._running:
            n_tokens = min(n_left, generation.n_prefill_left)
            if n_tokens > 0:
                n_left -= n_tokens
                yield generation, n_tokens

    def _step_s(self, prefills: list[tuple[Generation, int]]) -> float:
        model = self._model
        n_decoding = sum(each.is_decoding for each in self._running)
        n_prefill = sum(n_tokens for _, n_tokens in prefills)
        return self._pace.seconds(
            model.step_base_s
            + model.step_per_prompt_s * n_decoding
            + model.prefill_per_token_s * n_prefill
        )

    async def _sleep_until(self, moment_s: float) -> None:
        left_s = moment_s - time.monotonic()
        await asyncio.sleep(left_s if left_s > _MIN_SLEEP_S else 0.0)

    def _finish_step(
        self, step_s: float, prefills: list[tuple[Generation, int]]
    ) -> None:
        self._share_cost(step_s, prefills)
        for generation in self._running:
            if generation.is_decoding:
                generation.decode()
        for generation, n_tokens in prefills:
            generation.n_prefill_left -= n_tokens
            if generation.n_prefill_left == 0:
                self._cache.store(generation.hashes)

    def _share_cost(
        self, step_s: float, prefills: list[tuple[Generation, int]]
    ) -> None:
        """Charge each prompt the part of the step's time that it caused."""
        model = self._model
        weights = {id(each): model.step_per_prompt_s for each in self._running}
        for generation, n_tokens in prefills:
            weights[id(generation)] = model.prefill_per_token_s * n_tokens
        base_s = model.step_base_s / len(self._running)
        total_s = model.step_base_s + sum(weights.values())
        for generation in self._running:
            part = (base_s + weights[id(generation)]) / total_s
            generation.run.cost_s += step_s * part

    def _record_load(self) -> None:
        load = BatchLoad(n_running=len(self._running), n_waiting=len(self._waiting))
        if load != self.load.latest:
            self.load.set(load)


def _raise_loop_error(task: "asyncio.Task[None]") -> None:
    """Raise the error of a failed step loop.

    Otherwise the engine would seem healthy but never answer.
    """
    if not task.cancelled() and (error := task.exception()) is not None:
        raise error
