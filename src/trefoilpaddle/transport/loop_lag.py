"""Measures how far an event loop lags behind its timers."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator
from typing import Final

SAMPLE_S: Final = 0.02
"""Seconds between two samples of a loop that keeps up."""

NEXT_TURN_S: Final = 0.001
"""Seconds until the sample after one that was late."""

WINDOW_S: Final = 0.3
"""Seconds over which the least lag is taken; a single long task is shorter."""

MIN_SAMPLES: Final = 3
"""Least number of samples, as a loop that lags takes few."""


class LoopLag:
    """The lag of an event loop that persists.

    A loop that is paused, or runs one long task, lags for a moment and catches up at
    once. One that has more to do than it can never does: even its least lag within a
    while is large.
    """

    __slots__ = ("_due_s", "_handle", "_samples", "n_samples")

    def __init__(self) -> None:
        self.n_samples = 0
        self._samples: deque[tuple[float, float]] = deque()
        self._due_s = 0.0
        self._handle: asyncio.TimerHandle | None = None

    @contextlib.asynccontextmanager
    async def measuring(self) -> AsyncIterator[None]:
        """Take samples in the running loop while the context is open."""
        self._schedule()
        try:
            yield
        finally:
            if self._handle is not None:
                self._handle.cancel()
                self._handle = None

    @property
    def lasting_s(self) -> float:
        """Least lag in seconds of the recent samples; 0 until there are enough."""
        if len(self._samples) < MIN_SAMPLES:
            return 0.0
        return min(lag_s for _, lag_s in self._samples)

    def _schedule(self, delay_s: float = SAMPLE_S) -> None:
        loop = asyncio.get_running_loop()
        self._due_s = loop.time() + delay_s
        self._handle = loop.call_at(self._due_s, self._sample)

    def _sample(self) -> None:
        now_s = asyncio.get_running_loop().time()
        lag_s = now_s - self._due_s
        self.n_samples += 1
        self._samples.append((now_s, lag_s))
        while (
            len(self._samples) > MIN_SAMPLES and now_s - self._samples[0][0] > WINDOW_S
        ):
            self._samples.popleft()
        # A host that was paused is late once; the next turn tells whether the loop is.
        self._schedule(SAMPLE_S if lag_s < SAMPLE_S else NEXT_TURN_S)
