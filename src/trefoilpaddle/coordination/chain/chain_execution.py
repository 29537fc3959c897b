"""Runs a request through the stages that must be done before it runs."""

import asyncio
import functools
import time
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.chain_progress import ChainProgress
from ...state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
)
from ...state.chain.fingerprint import stage_fingerprint
from ...state.chain.piece_work import PieceFault, PieceResult, PieceWork
from ...state.chain.repeat_budget import RepeatBudgets
from ...state.journal import Decision, Event, Figure, Journal
from .admission import Reservations
from .cell_dispatch import CellDispatch, cross_domain_wait_s

MAX_TRIES: Final = 3
"""Most times that one piece is sent to a worker; the third is the second repeat."""

REASON_OF: Final = {
    PieceFault.LATE: Reason.DEADLINE_PASSED,
    PieceFault.INPUT_GONE: Reason.RESULT_GONE,
    PieceFault.NO_MEMORY: Reason.QUEUE_FULL,
    PieceFault.FAILED: Reason.TARGET_FAILED,
    PieceFault.FULL: Reason.QUEUE_FULL,
    PieceFault.LOST: Reason.CONNECTION_LOST,
    PieceFault.NO_WORKER: Reason.NO_TARGET,
    PieceFault.CRASHES_WORKERS: Reason.CRASHES_WORKERS,
    PieceFault.MOVED: Reason.STOPPING,
}

RETRIED_FREELY: Final = frozenset({PieceFault.FULL, PieceFault.NO_WORKER})
"""Faults of pieces that no worker has begun; sending them again repeats nothing."""


class StageFaultError(Exception):
    """A stage cannot be made.

    Parameters
    ----------
    reason : Reason
        Why.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.name)
        self.reason = reason


class ChainExecution:
    """The stages of one request.

    Parameters
    ----------
    work : ChainWork
        What is to be made.
    dispatch : CellDispatch
        Where pieces are made.
    budgets : RepeatBudgets
        Asked before a piece is made again.
    reservations : Reservations
        Told when pieces come to their queue.
    journal : Journal
        Takes the end of each stage.
    """

    __slots__ = (
        "_budgets",
        "_dispatch",
        "_is_moved",
        "_journal",
        "_progress",
        "_reservations",
        "_reserved",
        "_work",
    )

    def __init__(
        self,
        *,
        work: ChainWork,
        dispatch: CellDispatch,
        budgets: RepeatBudgets,
        reservations: Reservations,
        journal: Journal,
    ) -> None:
        self._work = work
        self._dispatch = dispatch
        self._budgets = budgets
        self._reservations = reservations
        self._journal = journal
        self._is_moved = False
        self._progress = ChainProgress(work=work)
        for each in work.completed_pieces:
            dispatch.adopt_result(each.result, work.stages[each.stage].result_bytes)
        self._reserved = {
            number
            for number in range(len(work.stages))
            if not self._progress.is_done(number)
        }
        for number in self._reserved:
            reservations.add(work.stages[number].service, work.n_pieces[number])

    async def run(self) -> ChainOutcome:
        """Make all stages; return the handles that the request takes.

        Where another gateway has taken over meanwhile, return what there is.
        """
        loop = asyncio.get_running_loop()
        ended = [loop.create_future() for _ in self._work.stages]
        reason = Reason.NONE
        try:
            async with asyncio.TaskGroup() as group:
                for number in range(len(ended)):
                    group.create_task(self._run_stage(number, ended))
        except* StageFaultError as faults:
            reason = _reason_of(faults)
        finally:
            for number in list(self._reserved):
                self._release(number)
        if reason is not Reason.NONE:
            self.free_all()
            return ChainFailed(reason=reason, is_begun=True)
        if self._is_moved:
            # The next scheduler frees it.
            made = self._progress.pop_all()
            return ChainMoved(successor="", is_admitted=True, completed_pieces=made)
        return self._result()

    def _result(self) -> ChainCompleted:
        last = self._work.last_stages()
        n_bytes = self._progress.bytes_by_domain(last, self._dispatch.failure_domain_of)
        most = n_bytes.most_common(1)
        return ChainCompleted(
            handles=tuple(
                made.handle for stage in last for made in self._progress.results(stage)
            ),
            failure_domain=most[0][0] if most else "",
        )

    def _release(self, number: int) -> None:
        """Count a stage's pieces as come, or as not coming any more, once."""
        if number in self._reserved:
            self._reserved.remove(number)
            self._reservations.release(
                self._work.stages[number].service, self._work.n_pieces[number]
            )

    def free_all(self) -> None:
        """Free every result that is still kept for this request."""
        for number in self._progress.kept_stages():
            self._free_stage(number)

    async def _run_stage(
        self, number: int, ended: "list[asyncio.Future[None]]"
    ) -> None:
        """Make a stage once those before it are done.

        Raises
        ------
        StageFaultError
            If it cannot be made; this ends the other stages as well.
        """
        plan = self._work.stages[number]
        for before in plan.after:
            await asyncio.shield(ended[before])
        can_begin = all(self._progress.is_done(before) for before in plan.after)
        if can_begin and not self._progress.is_done(number):
            began_s = time.monotonic()
            fault = await self._make(number)
            if fault is Reason.STOPPING:
                self._is_moved = True
            else:
                self._note(number, fault, time.monotonic() - began_s)
                if fault is not None:
                    raise StageFaultError(fault)
                self._progress.mark_done(number)
                self._free_read(number)
        ended[number].set_result(None)

    def _note(self, number: int, fault: Reason | None, took_s: float) -> None:
        if not self._work.n_pieces[number]:
            return
        self._journal.record(
            Decision(
                event=Event.STAGE_DONE if fault is None else Event.STAGE_FAILED,
                request_id=self._work.request_id,
                entry=self._work.route,
                stage=self._name_of(number),
                peer=self._maker_of(number),
                reason=fault or Reason.NONE,
                figures=(
                    Figure(name="n_pieces", value=self._work.n_pieces[number]),
                    Figure(name="took_s", value=took_s),
                    Figure(
                        name="slack_s", value=self._due_of(number) - time.monotonic()
                    ),
                ),
            )
        )

    def _note_retry(
        self, number: int, failed: frozenset[str], fault: PieceFault, n_missing: int
    ) -> None:
        self._journal.record(
            Decision(
                event=Event.RETRIED,
                request_id=self._work.request_id,
                entry=self._work.route,
                stage=self._name_of(number),
                peer=min(failed, default=""),
                reason=REASON_OF[fault],
                figures=(Figure(name="n_pieces", value=n_missing),),
            )
        )

    def _name_of(self, number: int) -> str:
        return f"{number}:{self._work.stages[number].service}"

    def _maker_of(self, number: int) -> str:
        """Return the worker that made a stage's last piece; empty if none did."""
        results = self._progress.results(number)
        return results[-1].worker_id if results else ""

    async def _make(self, number: int) -> Reason | None:
        """Make all pieces of a stage; return why one could not be made."""
        service = self._work.stages[number].service
        avoided: frozenset[str] = frozenset()
        n_tries = 0
        while missing := self._progress.missing_pieces(number):
            if not self._dispatch.has_worker(service):
                return Reason.NO_TARGET
            if not self._progress.has_inputs(number):
                return Reason.RESULT_GONE
            works = self._pieces(number, missing, avoided)
            self._release(number)
            self._dispatch.submit(service, works)
            faults = await self._ends(number, works)
            if not faults:
                break
            n_tries += 1
            fault = next(iter(faults))
            reason = self._may_try_again(service, faults, n_tries)
            if reason is not None:
                return reason
            failed = frozenset(work.worker_id for work in faults.values()) - {""}
            self._note_retry(number, failed, fault, len(faults))
            avoided |= failed
        return None

    async def _ends(
        self, number: int, works: list[PieceWork]
    ) -> dict[PieceFault, PieceWork]:
        """Wait for all pieces; return one piece for each fault."""
        faults: dict[PieceFault, PieceWork] = {}
        try:
            for work in works:
                match await work.outcome:
                    case PieceFault() as fault:
                        faults.setdefault(fault, work)
                        self._progress.clear_fetched(number, work.piece)
                    case PieceResult():
                        continue
        finally:
            # A caller that left, or a sibling that failed, ends this wait:
            # what is still queued must not be made for nobody.
            for work in works:
                if work.is_pending:
                    work.outcome.cancel()
                elif not work.outcome.cancelled():
                    ended = work.outcome.result()
                    if isinstance(ended, PieceResult):
                        self._progress.record_result(number, work.piece, ended)
        return faults

    def _pieces(
        self, number: int, missing: list[int], avoided: frozenset[str]
    ) -> list[PieceWork]:
        plan = self._work.stages[number]
        inputs = self._progress.inputs(number)
        near, n_bytes = self._reads(number, len(missing))
        own = stage_fingerprint(self._work.fingerprint, plan.service)
        return [
            PieceWork(
                request_id=self._work.request_id,
                route=self._work.route,
                fingerprint=own,
                stage=number,
                piece=piece,
                key="" if plan.after else self._work.piece_key,
                inputs=inputs,
                has_inputs=bool(plan.after),
                result_bytes=plan.result_bytes,
                due_s=self._due_of(number),
                deadline_s=self._work.deadline_s,
                preferred_domain=near,
                cross_domain_wait_s=cross_domain_wait_s(n_bytes),
                queued_s=time.monotonic(),
                excluded_workers=avoided,
                on_fetched=functools.partial(self._note_fetched, number, piece),
            )
            for piece in missing
        ]

    def _reads(self, number: int, n_pieces: int) -> tuple[str, float]:
        """Return where a stage should be made, and the bytes that cross if not.

        Each piece reads all inputs, so a stage with inputs belongs where they
        lie. One without belongs where its results are read.
        """
        plan = self._work.stages[number]
        if not plan.after:
            return self._work.preferred_domain, n_pieces * plan.result_bytes
        n_bytes = self._progress.bytes_by_domain(
            plan.after, self._dispatch.failure_domain_of
        )
        if not n_bytes:
            return self._work.preferred_domain, 0.0
        return n_bytes.most_common(1)[0][0], n_pieces * float(n_bytes.total())

    def _may_try_again(
        self, service: str, faults: dict[PieceFault, PieceWork], n_tries: int
    ) -> Reason | None:
        """Return why missing pieces are given up, or None to try again."""
        if PieceFault.MOVED in faults:
            return Reason.STOPPING
        fault = next(iter(faults))
        now_s = time.monotonic()
        if PieceFault.CRASHES_WORKERS in faults:
            return Reason.CRASHES_WORKERS
        if PieceFault.LATE in faults or now_s >= self._work.deadline_s:
            return Reason.DEADLINE_PASSED
        if PieceFault.INPUT_GONE in faults:
            return Reason.RESULT_GONE
        if n_tries >= MAX_TRIES:
            return REASON_OF[fault]
        is_free = faults.keys() <= RETRIED_FREELY
        if is_free or self._budgets.for_service(service).spend(now_s):
            return None
        return Reason.RETRY_BUDGET

    def _note_fetched(self, number: int, piece: int) -> None:
        """Free the inputs of a stage once the workers of all its pieces have them.

        Results wait at their makers, whose memory binds before their time does.
        Kept until the next stage is made, they take it for a whole call longer.
        """
        if self._progress.record_fetched(number, piece):
            self._free_read(number)

    def _free_read(self, number: int) -> None:
        """Free what a stage was the last to read."""
        for before in self._progress.fully_read_stages(number):
            self._free_stage(before)

    def _free_stage(self, number: int) -> None:
        for made in self._progress.pop_stage(number):
            self._dispatch.free(made)

    def _due_of(self, number: int) -> float:
        """Return when a stage should be done for those behind it to be on time."""
        return self._work.due_s - self._behind_s(number)

    def _behind_s(self, number: int) -> float:
        """Return the seconds of the longest way from a stage to the last."""
        behind_s = 0.0
        for reader, plan in enumerate(self._work.stages):
            if number in plan.after and self._work.n_pieces[reader]:
                own_s = self._dispatch.call_s(plan.service, self._work.n_pieces[reader])
                behind_s = max(behind_s, own_s + self._behind_s(reader))
        return behind_s


def _reason_of(faults: BaseExceptionGroup[StageFaultError]) -> Reason:
    """Return the reason of the first stage that failed."""
    first = faults.exceptions[0]
    return first.reason if isinstance(first, StageFaultError) else Reason.INTERNAL
