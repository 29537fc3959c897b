"""Runs the stages that must be complete before a request itself can run."""

import asyncio
import functools
import time
from collections.abc import Callable
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
from ...state.chain.retry_times import spread_retry_s
from ...state.journal import Decision, Event, Figure, Journal
from .admission import Reservations
from .cell_dispatch import CellDispatch, cross_domain_wait_s

MAX_TRIES: Final = 3
"""Maximum number of times that a piece is sent, including two repeats."""

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

RETRIED_WITHOUT_BUDGET: Final = frozenset({PieceFault.FULL, PieceFault.NO_WORKER})
"""Faults of pieces that no worker has begun; sending them again is not a repeat."""


class StageFaultError(Exception):
    """A stage cannot be completed.

    Parameters
    ----------
    reason : Reason
        Why it cannot be completed.
    """

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.name)
        self.reason = reason


class ChainExecution:
    """The execution of the stages of one request.

    Parameters
    ----------
    work : ChainWork
        The chain to run.
    dispatch : CellDispatch
        Dispatches pieces to workers.
    budgets : RepeatBudgets
        Limit how many pieces are sent again.
    reservations : Reservations
        Count the pieces that are not queued yet.
    journal : Journal
        Receives the outcome of each stage.
    was_beyond_share : bool
        True if the chain's account was beyond its share when it was admitted.
    is_beyond_share : callable
        Returns True if the account offers a service more than its share now.
    """

    __slots__ = (
        "_budgets",
        "_dispatch",
        "_is_beyond_share",
        "_is_handed_over",
        "_journal",
        "_progress",
        "_reservations",
        "_reserved",
        "_was_beyond_share",
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
        was_beyond_share: bool,
        is_beyond_share: Callable[[str], bool],
    ) -> None:
        self._work = work
        self._was_beyond_share = was_beyond_share
        self._is_beyond_share = is_beyond_share
        self._dispatch = dispatch
        self._budgets = budgets
        self._reservations = reservations
        self._journal = journal
        self._is_handed_over = False
        self._progress = ChainProgress(work=work)
        for each in work.completed_pieces:
            dispatch.adopt_result(each.result, work.stages[each.stage].result_bytes)
        self._reserved = {
            index
            for index in range(len(work.stages))
            if not self._progress.is_done(index)
        }
        for index in self._reserved:
            reservations.add(
                work.stages[index].service,
                work.n_pieces[index],
                is_beyond_share=was_beyond_share,
            )

    async def run(self) -> ChainOutcome:
        """Run all stages; return the outcome with the handles of the last stages.

        If another gateway has taken the cell over meanwhile, the outcome carries the
        results computed so far.
        """
        loop = asyncio.get_running_loop()
        completed = [loop.create_future() for _ in self._work.stages]
        reason = Reason.NONE
        try:
            async with asyncio.TaskGroup() as group:
                for index in range(len(completed)):
                    group.create_task(self._run_stage(index, completed))
        except* StageFaultError as faults:
            reason = _reason_of(faults)
        finally:
            for index in list(self._reserved):
                self._release(index)
        if reason is not Reason.NONE:
            self.free_all()
            return self._failed(reason)
        if self._is_handed_over:
            # The next scheduler frees these results.
            made = self._progress.pop_all()
            return ChainMoved(successor="", is_admitted=True, completed_pieces=made)
        return self._outcome()

    def _failed(self, reason: Reason) -> ChainFailed:
        services = (stage.service for stage in self._work.stages)
        rested_in_s = self._dispatch.rested_in_s(services)
        if reason is not Reason.NO_TARGET or rested_in_s is None:
            return ChainFailed(reason=reason, is_begun=True)
        return ChainFailed(
            reason=Reason.RESTING_TARGETS,
            is_begun=True,
            retry_after_s=spread_retry_s(rested_in_s),
        )

    def _outcome(self) -> ChainCompleted:
        last = self._work.last_stages()
        n_bytes = self._progress.bytes_by_domain(last, self._dispatch.failure_domain_of)
        most = n_bytes.most_common(1)
        return ChainCompleted(
            handles=tuple(
                made.handle for stage in last for made in self._progress.results(stage)
            ),
            failure_domain=most[0][0] if most else "",
        )

    def _release(self, index: int) -> None:
        """Release the reservation of a stage; further calls do nothing."""
        if index in self._reserved:
            self._reserved.remove(index)
            self._reservations.release(
                self._work.stages[index].service,
                self._work.n_pieces[index],
                is_beyond_share=self._was_beyond_share,
            )

    def free_all(self) -> None:
        """Free all results that workers still hold for this request."""
        for index in self._progress.kept_stages():
            self._free_stage(index)

    async def _run_stage(
        self, index: int, completed: "list[asyncio.Future[None]]"
    ) -> None:
        """Run a stage once the preceding stages are complete.

        Raises
        ------
        StageFaultError
            If the stage cannot be completed; this cancels the other stages.
        """
        plan = self._work.stages[index]
        for preceding in plan.after:
            await asyncio.shield(completed[preceding])
        can_begin = all(self._progress.is_done(preceding) for preceding in plan.after)
        if can_begin and not self._progress.is_done(index):
            began_s = time.monotonic()
            fault = await self._run_pieces(index)
            if fault is Reason.STOPPING:
                self._is_handed_over = True
            else:
                self._record(index, fault, time.monotonic() - began_s)
                if fault is not None:
                    raise StageFaultError(fault)
                self._progress.mark_done(index)
                self._free_read_inputs(index)
        completed[index].set_result(None)

    def _record(self, index: int, fault: Reason | None, took_s: float) -> None:
        if not self._work.n_pieces[index]:
            return
        self._journal.record(
            Decision(
                event=Event.STAGE_DONE if fault is None else Event.STAGE_FAILED,
                request_id=self._work.request_id,
                entry=self._work.route,
                stage=self._name_of(index),
                peer=self._last_worker_of(index),
                reason=fault or Reason.NONE,
                figures=(
                    Figure(name="n_pieces", value=self._work.n_pieces[index]),
                    Figure(name="took_s", value=took_s),
                    Figure(
                        name="slack_s", value=self._due_of(index) - time.monotonic()
                    ),
                ),
            )
        )

    def _record_retry(
        self, index: int, failed: frozenset[str], fault: PieceFault, n_missing: int
    ) -> None:
        self._journal.record(
            Decision(
                event=Event.RETRIED,
                request_id=self._work.request_id,
                entry=self._work.route,
                stage=self._name_of(index),
                peer=min(failed, default=""),
                reason=REASON_OF[fault],
                figures=(Figure(name="n_pieces", value=n_missing),),
            )
        )

    def _name_of(self, index: int) -> str:
        return f"{index}:{self._work.stages[index].service}"

    def _last_worker_of(self, index: int) -> str:
        """Return the worker of a stage's last result; empty if there is none."""
        results = self._progress.results(index)
        return results[-1].worker_id if results else ""

    async def _run_pieces(self, index: int) -> Reason | None:
        """Run all pieces of a stage; return why one could not be completed."""
        service = self._work.stages[index].service
        excluded: frozenset[str] = frozenset()
        n_tries = 0
        while missing := self._progress.missing_pieces(index):
            if not self._dispatch.has_worker(service):
                return Reason.NO_TARGET
            if not self._progress.has_inputs(index):
                return Reason.RESULT_GONE
            works = self._pieces(index, missing, excluded)
            self._release(index)
            self._dispatch.submit(service, works)
            faults = await self._await_pieces(index, works)
            if not faults:
                break
            n_tries += 1
            fault = next(iter(faults))
            reason = self._reason_to_abandon(service, faults, n_tries)
            if reason is not None:
                return reason
            failed = frozenset(work.worker_id for work in faults.values()) - {""}
            self._record_retry(index, failed, fault, len(faults))
            excluded |= failed
        return None

    async def _await_pieces(
        self, index: int, works: list[PieceWork]
    ) -> dict[PieceFault, PieceWork]:
        """Wait for all pieces; return one failed piece for each fault."""
        faults: dict[PieceFault, PieceWork] = {}
        try:
            for work in works:
                match await work.outcome:
                    case PieceFault() as fault:
                        faults.setdefault(fault, work)
                        self._progress.clear_fetched(index, work.piece)
                    case PieceResult():
                        continue
        finally:
            # This wait is cancelled if the caller leaves or another stage fails.
            # Pieces that are still queued must not be run then.
            for work in works:
                if work.is_pending:
                    work.outcome.cancel()
                elif not work.outcome.cancelled():
                    piece_result = work.outcome.result()
                    if isinstance(piece_result, PieceResult):
                        self._progress.record_result(index, work.piece, piece_result)
        return faults

    def _pieces(
        self, index: int, missing: list[int], excluded: frozenset[str]
    ) -> list[PieceWork]:
        plan = self._work.stages[index]
        inputs = self._progress.inputs(index)
        preferred_domain, n_bytes = self._preferred_domain(index, len(missing))
        piece_fingerprint = stage_fingerprint(self._work.fingerprint, plan.service)
        is_beyond_share = self._is_beyond_share(plan.service)
        return [
            PieceWork(
                request_id=self._work.request_id,
                route=self._work.route,
                fingerprint=piece_fingerprint,
                stage=index,
                piece=piece,
                key="" if plan.after else self._work.piece_key,
                inputs=inputs,
                has_inputs=bool(plan.after),
                result_bytes=plan.result_bytes,
                due_s=self._due_of(index),
                deadline_s=self._work.deadline_s,
                preferred_domain=preferred_domain,
                cross_domain_wait_s=cross_domain_wait_s(n_bytes),
                queued_s=time.monotonic(),
                is_beyond_share=is_beyond_share,
                excluded_workers=excluded,
                on_fetched=functools.partial(self._record_fetched, index, piece),
            )
            for piece in missing
        ]

    def _preferred_domain(self, index: int, n_pieces: int) -> tuple[str, float]:
        """Return the preferred failure domain of a stage.

        Also returns the bytes that cross failure domains if it runs elsewhere. Each
        piece reads all inputs, so a stage with inputs should run where they are
        stored. A stage without inputs should run where its results are read.
        """
        plan = self._work.stages[index]
        if not plan.after:
            return self._work.preferred_domain, n_pieces * plan.result_bytes
        n_bytes = self._progress.bytes_by_domain(
            plan.after, self._dispatch.failure_domain_of
        )
        if not n_bytes:
            return self._work.preferred_domain, 0.0
        return n_bytes.most_common(1)[0][0], n_pieces * float(n_bytes.total())

    def _reason_to_abandon(
        self, service: str, faults: dict[PieceFault, PieceWork], n_tries: int
    ) -> Reason | None:
        """Return why missing pieces are abandoned, or None to send them again."""
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
        is_without_budget = faults.keys() <= RETRIED_WITHOUT_BUDGET
        if is_without_budget or self._budgets.for_service(service).spend(now_s):
            return None
        return Reason.RETRY_BUDGET

    def _record_fetched(self, index: int, piece: int) -> None:
        """Free the inputs of a stage once the workers of all its pieces have them.

        Workers hold results until they are freed, and their memory runs short before
        their time does. Results that were kept until the next stage is complete would
        occupy it for a whole call longer.
        """
        if self._progress.record_fetched(index, piece):
            self._free_read_inputs(index)

    def _free_read_inputs(self, index: int) -> None:
        """Free the inputs that a stage was the last one to read."""
        for preceding in self._progress.fully_read_stages(index):
            self._free_stage(preceding)

    def _free_stage(self, index: int) -> None:
        for made in self._progress.pop_stage(index):
            self._dispatch.free(made)

    def _due_of(self, index: int) -> float:
        """Return the monotonic time by which a stage should be complete.

        Completed later, the chain is late even if the following stages do not wait.
        """
        return self._work.due_s - self._downstream_s(index)

    def _downstream_s(self, index: int) -> float:
        """Return the seconds of the longest path from a stage to the end."""
        downstream_s = 0.0
        for reader, plan in enumerate(self._work.stages):
            if index in plan.after and self._work.n_pieces[reader]:
                own_s = self._dispatch.call_s(plan.service, self._work.n_pieces[reader])
                downstream_s = max(downstream_s, own_s + self._downstream_s(reader))
        return downstream_s


def _reason_of(faults: BaseExceptionGroup[StageFaultError]) -> Reason:
    """Return the reason of the first stage that failed."""
    first = faults.exceptions[0]
    return first.reason if isinstance(first, StageFaultError) else Reason.INTERNAL
