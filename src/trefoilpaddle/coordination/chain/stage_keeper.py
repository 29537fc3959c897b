"""The gateway that plans all stages of a failure domain.

Whether a chain can be on time depends on every queue that it passes and on what
others were promised there. One keeper a failure domain knows both exactly, so it
alone lets chains in, and calls the domain's stage workers. Gateways that each
planned for themselves would promise the same places twice.
"""

import asyncio
import time
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.chain_work import ChainEnd, ChainFailed, ChainWork
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.journal import Decision, Event, Figure, Journal
from .admission import Promises, forecast_s
from .piece_homes import PieceHomes
from .stage_walk import StageWalk

KEEP_WALKS_S: Final = 30.0
"""A chain that nobody has freed by then is forgotten; its results ran out long ago."""


class StageKeeper:
    """Lets chains in and walks them through their stages.

    Parameters
    ----------
    homes : PieceHomes
        Queues of the domain's stage workers.
    budgets : RepeatBudgets
        Asked before a piece is made again.
    journal : Journal
        Takes decisions.
    """

    __slots__ = ("_budgets", "_journal", "_promises", "_walks", "homes")

    def __init__(
        self, *, homes: PieceHomes, budgets: RepeatBudgets, journal: Journal
    ) -> None:
        self._budgets = budgets
        self._journal = journal
        self._promises = Promises()
        self._walks: dict[str, StageWalk] = {}
        self.homes = homes

    async def run(self, work: ChainWork) -> ChainEnd:
        """Make all stages of `work`, or refuse it at once.

        Its results are kept until `free`.
        """
        finish_s = forecast_s(work, self.homes, self._promises)
        left_s = work.due_s - time.monotonic()
        is_on_time = finish_s is not None and finish_s <= left_s
        self._note(work, finish_s, left_s)
        if finish_s is None:
            return ChainFailed(reason=Reason.NO_TARGET, is_begun=False)
        if work.must_be_on_time and not is_on_time:
            return ChainFailed(
                reason=Reason.PREDICTED_LATE, is_begun=False, finish_s=finish_s
            )
        walk = StageWalk(
            work=work,
            homes=self.homes,
            budgets=self._budgets,
            promises=self._promises,
            journal=self._journal,
        )
        self._walks[work.request_id] = walk
        is_made = False
        try:
            end = await walk.run()
            is_made = not isinstance(end, ChainFailed)
            return end
        finally:
            if is_made:
                loop = asyncio.get_running_loop()
                loop.call_later(KEEP_WALKS_S, self.free, work.request_id)
            else:
                self.free(work.request_id)

    def free(self, request_id: str) -> None:
        """Free the results of a chain: its request has read them, or ended."""
        walk = self._walks.pop(request_id, None)
        if walk is not None:
            walk.free_all()

    def _note(self, work: ChainWork, finish_s: float | None, left_s: float) -> None:
        promised = self._promises.pieces
        is_let_in = finish_s is not None and (
            finish_s <= left_s or not work.must_be_on_time
        )
        self._journal.record(
            Decision(
                event=Event.REQUEST_ACCEPTED if is_let_in else Event.REFUSED,
                request_id=work.request_id,
                entry=work.route,
                reason=Reason.NONE if is_let_in else Reason.PREDICTED_LATE,
                figures=(
                    Figure(name="predicted_s", value=finish_s or 0.0),
                    Figure(name="budget_s", value=left_s),
                    Figure(name="n_promised", value=promised.total()),
                ),
            )
        )
