"""The stage results that a request takes as inputs, over all of its attempts."""

import asyncio
import time
from collections.abc import Callable

from ...state.chain.chain_work import ChainCompleted, ChainFailed
from ...state.chain.delivery import Delivery
from .running_chain import RunningChain


class ChainInputs:
    """The results of a request's chain.

    Results are freed once an engine has read them, as the memory for them is scarce,
    and they are lost when the worker that computed them exits. A stream that breaks
    after its first event needs them again at the next engine, and so does a request
    whose engine does not find one of them: the chain is then run once more.

    Parameters
    ----------
    chain : RunningChain
        Computes the results.
    made : ChainCompleted
        The results of the first run.
    on_first_read : callable
        Called with the seconds until the first worker had read them.
    delivery : Delivery
        Records why they could not be computed again.
    complete_by_s : callable
        Returns the latest useful monotonic time to have computed them again.
    """

    __slots__ = (
        "_began_s",
        "_chain",
        "_complete_by_s",
        "_delivery",
        "_made",
        "_n_runs",
        "_on_first_read",
    )

    MAX_RUNS = 2
    """Maximum complete runs of one request's chain; each has the full cost."""

    def __init__(
        self,
        *,
        chain: RunningChain,
        made: ChainCompleted,
        on_first_read: Callable[[float], None],
        delivery: Delivery,
        complete_by_s: Callable[[], float],
    ) -> None:
        self._complete_by_s = complete_by_s
        self._chain = chain
        self._delivery = delivery
        self._made: ChainCompleted | None = made
        self._n_runs = 1
        self._began_s = time.monotonic()
        self._on_first_read = on_first_read

    async def get(self) -> tuple[str, ...] | None:
        """Return the handles of all inputs, or None if they cannot be recomputed."""
        if self._made is None:
            if self._n_runs >= self.MAX_RUNS:
                self._delivery.record_obstacle("stages have run twice")
                return None
            try:
                outcome = await self._chain.run(deadline_s=self._complete_by_s())
            except asyncio.CancelledError:
                self._chain.free()
                raise
            if isinstance(outcome, ChainCompleted):
                self._made = outcome
                self._n_runs += 1
            elif isinstance(outcome, ChainFailed):
                reason = outcome.reason.name.lower()
                self._delivery.record_obstacle(f"stages not run again: {reason}")
        return None if self._made is None else self._made.handles

    def mark_read(self) -> None:
        """Free the inputs, as a worker has read all of them."""
        if self._n_runs == 1 and self._made is not None:
            self._on_first_read(time.monotonic() - self._began_s)
        self.mark_lost()

    def mark_lost(self) -> None:
        """Regard the inputs as lost, and free those that remain."""
        if self._made is not None and self._made.handles:
            self._made = None
            self._chain.free()
