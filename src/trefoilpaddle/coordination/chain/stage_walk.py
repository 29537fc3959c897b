"""Walks a request through the stages that must be done before it runs."""

import asyncio
import time
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from ...protocol.reasons import Reason
from ...state.chain.piece_work import PieceFault, PieceMade, PieceWork
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.chain.requests import CallerRequest
from ...state.chain.routes import Route
from .piece_homes import PieceHomes

MAX_TRIES: Final = 3
"""Most times that one piece is sent to a worker; the third is the second repeat."""

ROOM_PAUSE_S: Final = 0.1
"""Wait before a piece that found no room is tried again; half a call."""

REASON_OF: Final = {
    PieceFault.LATE: Reason.DEADLINE_PASSED,
    PieceFault.INPUT_GONE: Reason.RESULT_GONE,
    PieceFault.NO_ROOM: Reason.QUEUE_FULL,
    PieceFault.FAILED: Reason.TARGET_FAILED,
    PieceFault.FULL: Reason.QUEUE_FULL,
    PieceFault.LOST: Reason.CONNECTION_LOST,
    PieceFault.NO_WORKER: Reason.NO_TARGET,
}

RETRIED_FREELY: Final = frozenset({PieceFault.FULL, PieceFault.NO_WORKER})
"""Faults of pieces that no worker has begun; sending them again repeats nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Inputs:
    """The results that a request takes, all of them.

    Parameters
    ----------
    handles : tuple of str
        Of all pieces of the last stages.
    """

    handles: tuple[str, ...]


class StageWalk:
    """The stages of one request.

    Parameters
    ----------
    request : CallerRequest
        Whose stages they are.
    route : Route
        Says which stages there are.
    homes : PieceHomes
        Where pieces are made.
    budgets : RepeatBudgets
        Asked before a piece is made again.
    n_gateways : int
        How many share the budgets.
    due_s : float
        Monotonic time by which the last stage should be done.
    deadline_s : float
        Monotonic time after which nobody waits.
    """

    __slots__ = (
        "_budgets",
        "_deadline_s",
        "_due_s",
        "_finished",
        "_homes",
        "_made",
        "_n_gateways",
        "_request",
        "_route",
        "n_repeats",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        route: Route,
        homes: PieceHomes,
        budgets: RepeatBudgets,
        n_gateways: int,
        due_s: float,
        deadline_s: float,
    ) -> None:
        self._request = request
        self._route = route
        self._homes = homes
        self._budgets = budgets
        self._n_gateways = n_gateways
        self._due_s = due_s
        self._deadline_s = deadline_s
        self._made: dict[int, list[PieceMade]] = {}
        self._finished: set[int] = set()
        self.n_repeats = 0

    async def run(self) -> Result[Inputs, Reason]:
        """Make all stages; return the handles that the request takes."""
        plans = self._route.stages
        done: list[asyncio.Future[Reason | None]] = [
            asyncio.get_running_loop().create_future() for _ in plans
        ]
        async with asyncio.TaskGroup() as group:
            for number in range(len(plans)):
                group.create_task(self._run_stage(number, done))
        faults = [end.result() for end in done if end.result() is not None]
        if faults:
            self.free_all()
            return Err(faults[0] or Reason.INTERNAL)
        handles = tuple(
            made.handle
            for number in self._route.last_stages()
            for made in self._made.get(number, ())
        )
        return Ok(Inputs(handles=handles))

    def free_all(self) -> None:
        """Free every result that is still kept for this request."""
        for number in list(self._made):
            self._free_stage(number)

    def n_pieces(self, number: int) -> int:
        """Return how many pieces a stage has for this request."""
        given = self._request.n_pieces
        return given[number] if number < len(given) else 1

    async def _run_stage(
        self, number: int, done: "list[asyncio.Future[Reason | None]]"
    ) -> None:
        plan = self._route.stages[number]
        fault: Reason | None = None
        for before in plan.after:
            fault = await asyncio.shield(done[before]) or fault
        if fault is None:
            fault = await self._make(number)
        done[number].set_result(fault)
        if fault is None:
            self._finished.add(number)
            self._free_read(number)

    async def _make(self, number: int) -> Reason | None:
        """Make all pieces of a stage; return why one could not be made."""
        plan = self._route.stages[number]
        inputs = tuple(
            made.handle for before in plan.after for made in self._made.get(before, ())
        )
        made: dict[int, PieceMade] = {}
        missing = list(range(self.n_pieces(number)))
        avoided: frozenset[str] = frozenset()
        n_tries = 0
        while missing:
            worker = self._homes.choose(plan.service, len(missing), without=avoided)
            if worker is None:
                avoided = frozenset()
                worker = self._homes.choose(plan.service, len(missing))
            if worker is None:
                return Reason.NO_TARGET
            works = [self._work(number, piece, inputs) for piece in missing]
            self._homes.submit(worker, works)
            faults: set[PieceFault] = set()
            try:
                for work in works:
                    match await work.end:
                        case PieceMade() as end:
                            made[work.piece] = end
                        case PieceFault() as piece_fault:
                            faults.add(piece_fault)
            finally:
                # A caller that left, or a sibling that failed, ends this wait:
                # what is still queued must not be made for nobody.
                for work in works:
                    if work.is_open:
                        work.end.cancel()
                    elif not work.end.cancelled():
                        end = work.end.result()
                        if isinstance(end, PieceMade):
                            made[work.piece] = end
                self._made[number] = [made[piece] for piece in sorted(made)]
            missing = [piece for piece in missing if piece not in made]
            if not missing:
                break
            n_tries += 1
            reason = await self._may_try_again(plan.service, faults, n_tries)
            if reason is not None:
                return reason
            avoided = frozenset({worker.worker_id})
        return None

    async def _may_try_again(
        self, service: str, faults: set[PieceFault], n_tries: int
    ) -> Reason | None:
        """Return why missing pieces are given up, or None to try again."""
        fault = next(iter(faults))
        now_s = time.monotonic()
        if PieceFault.LATE in faults or now_s >= self._deadline_s:
            return Reason.DEADLINE_PASSED
        if PieceFault.INPUT_GONE in faults or n_tries >= MAX_TRIES:
            return REASON_OF[fault]
        if not faults <= RETRIED_FREELY:
            self.n_repeats += 1
            budget = self._budgets.of(service)
            if not budget.spend(now_s, n_gateways=self._n_gateways):
                return Reason.RETRY_BUDGET
        if PieceFault.NO_ROOM in faults:
            await asyncio.sleep(ROOM_PAUSE_S)
        return None

    def _work(self, number: int, piece: int, inputs: tuple[str, ...]) -> PieceWork:
        plan = self._route.stages[number]
        return PieceWork(
            request_id=self._request.request_id,
            route=self._route.name,
            stage=number,
            piece=piece,
            key="" if plan.after else self._request.piece_key,
            inputs=inputs,
            has_inputs=bool(plan.after),
            result_bytes=plan.result_bytes,
            due_s=self._due_of(number),
            deadline_s=self._deadline_s,
        )

    def _free_read(self, number: int) -> None:
        """Free the inputs of a stage that is done, unless others need them."""
        for before in self._route.stages[number].after:
            readers = [
                reader
                for reader, plan in enumerate(self._route.stages)
                if before in plan.after
            ]
            if self._finished.issuperset(readers):
                self._free_stage(before)

    def _free_stage(self, number: int) -> None:
        for made in self._made.pop(number, ()):
            self._homes.free(made.worker_id, made.handle)

    def _due_of(self, number: int) -> float:
        """Return when a stage should be done for those behind it to be on time."""
        return self._due_s - self._behind_s(number)

    def _behind_s(self, number: int) -> float:
        """Return the seconds of the longest way from a stage to the last."""
        behind_s = 0.0
        for reader, plan in enumerate(self._route.stages):
            if number in plan.after and self.n_pieces(reader):
                own_s = self._homes.call_s(plan.service, self.n_pieces(reader))
                behind_s = max(behind_s, own_s + self._behind_s(reader))
        return behind_s
