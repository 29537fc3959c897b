"""Runs one request's chain at the schedulers of its cell."""

from collections.abc import AsyncIterator, Callable
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
"""Maximum number of schedulers at which a chain is tried after handovers.

As many as hosts that are stopped one after the other while the chain runs.
"""

RERUN_REASONS: Final = frozenset({Reason.PEER_SILENT, Reason.RESULT_GONE})
"""Failures of a chain after which it is run once more, within the budget."""


@asynccontextmanager
async def running_chain(
    router: ChainRouter, work: ChainWork
) -> AsyncIterator["RunningChain"]:
    """Yield a chain to run; its results are freed when the context exits."""
    running = RunningChain(router=router, work=work)
    try:
        yield running
    finally:
        running.free()


class RunningChain:
    """One request's chain, from its first scheduler until its results are freed.

    Parameters
    ----------
    router : ChainRouter
        Runs it.
    work : ChainWork
        The chain.
    """

    __slots__ = ("_endpoint", "_has_run", "_is_repeat_spent", "_router", "_work")

    def __init__(self, *, router: ChainRouter, work: ChainWork) -> None:
        self._router = router
        self._work = work
        self._has_run = False
        self._is_repeat_spent = False
        self._endpoint: SchedulerEndpoint | None = None

    async def run(self, *, deadline_s: float | None = None) -> ChainOutcome:
        """Run the chain at a scheduler that admits it; return its last outcome.

        A chain that is run once more is admitted even if it will be late: the work
        done for it so far would be lost.

        Parameters
        ----------
        deadline_s : float, optional
            Latest useful monotonic time of completion; by default, the chain's own.
        """
        work = self._work
        if deadline_s is not None:
            work = replace(work, deadline_s=deadline_s)
        if self._has_run:
            self.free()
            if not self._router.may_repeat(_services(work)):
                return ChainFailed(reason=Reason.RETRY_BUDGET, is_begun=False)
            work = replace(work, must_be_on_time=False)
        self._has_run = True
        outcome = await self._try_endpoints(work, may_give_up=self._spend_repeat)
        if isinstance(outcome, ChainFailed) and outcome.reason in RERUN_REASONS:
            # The results that were lost with the scheduler, or with the worker that
            # held them, can be computed again.
            self.free()
            if self._spend_repeat():
                self._is_repeat_spent = False
                outcome = await self._try_endpoints(
                    replace(work, must_be_on_time=False), may_give_up=_never
                )
        return outcome

    def _spend_repeat(self) -> bool:
        """Return True if the chain may be run once more; spends one repeat for it."""
        if not self._is_repeat_spent:
            self._is_repeat_spent = self._router.may_repeat(_services(self._work))
        return self._is_repeat_spent

    async def _try_endpoints(
        self, work: ChainWork, *, may_give_up: Callable[[], bool]
    ) -> ChainOutcome:
        """Run the chain at the first scheduler that admits it; return its outcome."""
        services = _services(work)
        if not services:
            return ChainCompleted(handles=())
        outcome: ChainOutcome = ChainFailed(reason=Reason.NO_TARGET, is_begun=False)
        for endpoint in await self._router.connected_endpoints(
            services, work.preferred_domain
        ):
            outcome = await self._run_and_follow(work, endpoint, may_give_up)
            if not isinstance(outcome, ChainFailed) or outcome.is_begun:
                return outcome
            if self._endpoint is not None:
                self._router.record_refusal(self._endpoint, outcome.finish_s)
            self._endpoint = None
        return outcome

    async def _run_and_follow(
        self,
        work: ChainWork,
        endpoint: SchedulerEndpoint,
        may_give_up: Callable[[], bool],
    ) -> ChainOutcome:
        """Run the chain at a scheduler and at its successors; return the outcome."""
        for _ in range(MAX_MOVES):
            self._endpoint = endpoint
            outcome = await self._router.run(work, endpoint, may_give_up=may_give_up)
            if not isinstance(outcome, ChainMoved):
                return outcome
            # A chain that was admitted is not subject to admission again.
            must_be_on_time = work.must_be_on_time and not outcome.is_admitted
            work = replace(
                work,
                completed_pieces=outcome.completed_pieces,
                must_be_on_time=must_be_on_time,
            )
            moved = self._router.links.endpoint_at(endpoint.cell, outcome.successor)
            if moved is None:
                await self._router.links.connect(endpoint.cell)
                moved = self._router.links.endpoint(endpoint.cell)
            endpoint = moved
        return ChainFailed(
            reason=Reason.PEER_SILENT, is_begun=bool(work.completed_pieces)
        )

    def free(self) -> None:
        """Free the results of the chain; further calls do nothing."""
        if self._endpoint is not None:
            endpoint, self._endpoint = self._endpoint, None
            self._router.free(endpoint, self._work.request_id)


def _never() -> bool:
    return False


def _services(work: ChainWork) -> set[str]:
    """Return the services that have at least one piece to run."""
    return {
        plan.service
        for plan, n_pieces in zip(work.stages, work.n_pieces, strict=True)
        if n_pieces
    }
