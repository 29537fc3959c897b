"""One request's chain, wherever it is run."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
)
from .chain_router import ChainRouter
from .scheduler_links import SchedulerEndpoint

MAX_MOVES: Final = 4
"""Times that a chain follows its cell to another gateway.

As many as hosts that are stopped one after the other within its time.
"""

RUN_AGAIN: Final = frozenset({Reason.PEER_SILENT, Reason.RESULT_GONE})
"""Ends of a chain after which it is run once more, within the budget."""


@asynccontextmanager
async def running_chain(
    router: ChainRouter, work: ChainWork
) -> AsyncIterator["RunningChain"]:
    """Yield a chain to run; what it made is freed when the context ends."""
    running = RunningChain(router=router, work=work)
    try:
        yield running
    finally:
        running.free()


class RunningChain:
    """One request's chain, from its first place to the freeing of its results.

    Parameters
    ----------
    router : ChainRouter
        Runs it.
    work : ChainWork
        The chain.
    """

    __slots__ = ("_has_run", "_place", "_router", "_work")

    def __init__(self, *, router: ChainRouter, work: ChainWork) -> None:
        self._router = router
        self._work = work
        self._has_run = False
        self._place: SchedulerEndpoint | None = None

    async def run(self) -> ChainOutcome:
        """Run it where it can be on time; return its last end.

        Run once more, it is done whether it will be on time or not: what was
        paid for it would be lost.
        """
        work = self._work
        if self._has_run:
            self.free()
            if not self._router.may_repeat(_services(work)):
                return ChainFailed(reason=Reason.RETRY_BUDGET, is_begun=False)
            work = replace(work, must_be_on_time=False)
        self._has_run = True
        end = await self._try_places(work)
        if isinstance(end, ChainFailed) and end.reason in RUN_AGAIN:
            # What its scheduler, or the maker of a result, took with it can be
            # made again.
            self.free()
            if self._router.may_repeat(_services(work)):
                end = await self._try_places(replace(work, must_be_on_time=False))
        return end

    async def _try_places(self, work: ChainWork) -> ChainOutcome:
        """Run it at the first place that takes it; return its last end."""
        services = _services(work)
        if not services:
            return ChainCompleted(handles=())
        end: ChainOutcome = ChainFailed(reason=Reason.NO_TARGET, is_begun=False)
        for place in await self._router.connected_endpoints(
            services, work.preferred_domain
        ):
            end = await self._follow(work, place)
            if not isinstance(end, ChainFailed) or end.is_begun:
                return end
            if self._place is not None:
                self._router.record_refusal(self._place, end.finish_s)
            self._place = None
        return end

    async def _follow(self, work: ChainWork, place: SchedulerEndpoint) -> ChainOutcome:
        """Run it at a place, and where its cell goes meanwhile; return its end."""
        for _ in range(MAX_MOVES):
            self._place = place
            end = await self._router.run(work, place)
            if not isinstance(end, ChainMoved):
                return end
            # What was admitted before is not judged again.
            must_be_on_time = work.must_be_on_time and not end.is_admitted
            work = replace(
                work,
                completed_pieces=end.completed_pieces,
                must_be_on_time=must_be_on_time,
            )
            moved = self._router.links.endpoint_at(place.cell, end.successor)
            if moved is None:
                await self._router.links.connect(place.cell)
                moved = self._router.links.endpoint(place.cell)
            place = moved
        return ChainFailed(
            reason=Reason.PEER_SILENT, is_begun=bool(work.completed_pieces)
        )

    def free(self) -> None:
        """Free what the chain has made; further calls do nothing."""
        if self._place is not None:
            place, self._place = self._place, None
            self._router.free(place, self._work.request_id)


def _services(work: ChainWork) -> set[str]:
    """Return the services that have a piece to make."""
    return {
        plan.service
        for plan, n_pieces in zip(work.stages, work.n_pieces, strict=True)
        if n_pieces
    }
