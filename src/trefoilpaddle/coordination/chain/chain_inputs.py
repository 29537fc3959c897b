"""The results that a request takes, over all of its attempts."""

import time
from collections.abc import Callable

from ...state.chain.chain_work import ChainCompleted
from .running_chain import RunningChain


class ChainInputs:
    """What a chain has made for a request.

    Results are freed once an engine has read them, as the memory for them is scarce,
    and they end with their makers. A stream that breaks after its first event needs
    them again at the next engine, and so does a request whose engine does not
    find one: the chain is then run once more.

    Parameters
    ----------
    chain : RunningChain
        Makes them.
    made : ChainCompleted
        What it has made.
    on_first_read : callable
        Called with the seconds until the first worker had read them.
    """

    __slots__ = ("_began_s", "_chain", "_made", "_n_runs", "_on_first_read")

    MAX_RUNS = 2
    """Runs of one request's stages; each is paid for whole."""

    def __init__(
        self,
        *,
        chain: RunningChain,
        made: ChainCompleted,
        on_first_read: Callable[[float], None],
    ) -> None:
        self._chain = chain
        self._made: ChainCompleted | None = made
        self._n_runs = 1
        self._began_s = time.monotonic()
        self._on_first_read = on_first_read

    async def get(self) -> tuple[str, ...] | None:
        """Return the handles of all, or None if they cannot be made again."""
        if self._made is None:
            if self._n_runs >= self.MAX_RUNS:
                return None
            self._n_runs += 1
            end = await self._chain.run()
            self._made = end if isinstance(end, ChainCompleted) else None
        return None if self._made is None else self._made.handles

    def mark_read(self) -> None:
        """Free them: a worker has read all of them."""
        if self._n_runs == 1 and self._made is not None:
            self._on_first_read(time.monotonic() - self._began_s)
        self.mark_lost()

    def mark_lost(self) -> None:
        """Take them for gone, and free what is left of them."""
        if self._made is not None and self._made.handles:
            self._made = None
            self._chain.free()
