"""Chains and their ends as gateways send them to one another."""

import time

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain import ttypes as wire
from ...protocol.reasons import reason_from_wire
from ...state.chain.cell_handover import CellHandover, HeldResult, WorkerHandover
from ...state.chain.cells import Cell
from ...state.chain.chain_work import (
    ChainCompleted,
    ChainFailed,
    ChainMoved,
    ChainOutcome,
    ChainWork,
    StagePiece,
)
from ...state.chain.piece_work import PieceResult
from ...state.chain.routes import StagePlan


def work_to_wire(work: ChainWork, cell: Cell) -> wire.RunChain:
    """Return a chain as it is sent; times become durations from now."""
    now_s = time.monotonic()
    return wire.RunChain(
        cell=cell.name,
        failure_domains=sorted(cell.failure_domains),
        request_id=work.request_id,
        route=work.route,
        stages=[
            wire.ChainStage(
                service_name=plan.service,
                after=list(plan.after),
                result_bytes=plan.result_bytes,
                n_pieces=n_pieces,
            )
            for plan, n_pieces in zip(work.stages, work.n_pieces, strict=True)
        ],
        piece_key=work.piece_key,
        due_in_ms=int((work.due_s - now_s) * MS_PER_S),
        deadline_in_ms=int((work.deadline_s - now_s) * MS_PER_S),
        must_be_on_time=work.must_be_on_time,
        priority=work.priority,
        near=work.preferred_domain,
        fingerprint=work.fingerprint,
        made=_made_to_wire(work.completed_pieces),
    )


def work_from_wire(question: wire.RunChain) -> ChainWork:
    """Return a chain that came just now, with times on this process's clock."""
    now_s = time.monotonic()
    return ChainWork(
        request_id=question.request_id,
        route=question.route,
        stages=tuple(
            StagePlan(
                service=stage.service_name,
                after=tuple(stage.after),
                result_bytes=stage.result_bytes,
            )
            for stage in question.stages
        ),
        n_pieces=tuple(stage.n_pieces for stage in question.stages),
        piece_key=question.piece_key,
        due_s=now_s + question.due_in_ms / MS_PER_S,
        deadline_s=now_s + question.deadline_in_ms / MS_PER_S,
        must_be_on_time=question.must_be_on_time,
        priority=question.priority,
        preferred_domain=question.near,
        fingerprint=question.fingerprint,
        completed_pieces=_made_from_wire(question.made),
    )


def cell_from_wire(question: wire.RunChain | wire.TakeCell) -> Cell:
    """Return the cell that a question is about."""
    return Cell(name=question.cell, failure_domains=frozenset(question.failure_domains))


def outcome_to_wire(end: ChainOutcome) -> wire.ChainAnswer:
    """Return an end as it is sent."""
    match end:
        case ChainCompleted():
            return wire.ChainAnswer(
                is_made=True,
                handles=list(end.handles),
                failure_domain=end.failure_domain,
            )
        case ChainFailed():
            return wire.ChainAnswer(
                reason=int(end.reason),
                is_begun=end.is_begun,
                finish_s=end.finish_s,
                retry_after_s=end.retry_after_s,
            )
        case ChainMoved():
            return wire.ChainAnswer(
                moved_to=end.successor,
                is_begun=end.is_admitted,
                made=_made_to_wire(end.completed_pieces),
            )


def outcome_from_wire(answer: wire.ChainAnswer) -> ChainOutcome:
    """Return the end that was sent."""
    if answer.is_made:
        return ChainCompleted(
            handles=tuple(answer.handles), failure_domain=answer.failure_domain
        )
    if answer.moved_to:
        return ChainMoved(
            successor=answer.moved_to,
            is_admitted=answer.is_begun,
            completed_pieces=_made_from_wire(answer.made),
        )
    return ChainFailed(
        reason=reason_from_wire(answer.reason),
        is_begun=answer.is_begun,
        finish_s=answer.finish_s,
        retry_after_s=answer.retry_after_s,
    )


def handover_to_wire(handover: CellHandover, cell: Cell) -> wire.TakeCell:
    """Return what is known of a cell as it is sent."""
    return wire.TakeCell(
        cell=cell.name,
        failure_domains=sorted(cell.failure_domains),
        workers=[
            wire.WorkerHandover(
                worker_id=worker.worker_id,
                born_ms=worker.born_ms,
                busy_ms=int(worker.busy_s * MS_PER_S),
                ratio=worker.ratio,
                busy_per_s=worker.busy_per_s,
                held=[
                    wire.HeldResult(
                        handle=held.handle,
                        n_bytes=held.n_bytes,
                        left_ms=int(held.expires_in_s * MS_PER_S),
                    )
                    for held in worker.held
                ],
            )
            for worker in handover.workers
        ],
    )


def handover_from_wire(question: wire.TakeCell) -> CellHandover:
    """Return what the scheduler before knows of a cell."""
    return CellHandover(
        workers=tuple(
            WorkerHandover(
                worker_id=worker.worker_id,
                born_ms=worker.born_ms,
                busy_s=worker.busy_ms / MS_PER_S,
                ratio=worker.ratio,
                busy_per_s=worker.busy_per_s,
                held=tuple(
                    HeldResult(
                        handle=held.handle,
                        n_bytes=held.n_bytes,
                        expires_in_s=held.left_ms / MS_PER_S,
                    )
                    for held in worker.held
                ),
            )
            for worker in question.workers
        )
    )


def _made_to_wire(made: tuple[StagePiece, ...]) -> list[wire.MadePiece]:
    return [
        wire.MadePiece(
            stage=each.stage,
            piece=each.piece,
            handle=each.result.handle,
            worker_id=each.result.worker_id,
            born_ms=each.result.born_ms,
        )
        for each in made
    ]


def _made_from_wire(made: list[wire.MadePiece]) -> tuple[StagePiece, ...]:
    return tuple(
        StagePiece(
            stage=each.stage,
            piece=each.piece,
            result=PieceResult(
                handle=each.handle, worker_id=each.worker_id, born_ms=each.born_ms
            ),
        )
        for each in made
    )
