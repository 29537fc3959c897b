"""Conversion of chains and their outcomes to and from messages of gateways."""

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
from .slot_wire import weight_from_wire, weight_to_wire


def work_to_wire(work: ChainWork, cell: Cell) -> wire.RunChain:
    """Return the message for a chain; times become durations from now."""
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
        goes_on=work.goes_on,
        priority=work.priority,
        near=work.preferred_domain,
        fingerprint=work.fingerprint,
        account=work.account,
        weight_milli=weight_to_wire(work.account_weight),
        made=_made_to_wire(work.completed_pieces),
    )


def work_from_wire(request: wire.RunChain) -> ChainWork:
    """Return a chain that has just arrived, with times on this process's clock."""
    now_s = time.monotonic()
    return ChainWork(
        request_id=request.request_id,
        route=request.route,
        stages=tuple(
            StagePlan(
                service=stage.service_name,
                after=tuple(stage.after),
                result_bytes=stage.result_bytes,
            )
            for stage in request.stages
        ),
        n_pieces=tuple(stage.n_pieces for stage in request.stages),
        piece_key=request.piece_key,
        due_s=now_s + request.due_in_ms / MS_PER_S,
        deadline_s=now_s + request.deadline_in_ms / MS_PER_S,
        must_be_on_time=request.must_be_on_time,
        goes_on=request.goes_on,
        priority=request.priority,
        preferred_domain=request.near,
        fingerprint=request.fingerprint,
        account=request.account,
        account_weight=weight_from_wire(request.weight_milli),
        completed_pieces=_made_from_wire(request.made),
    )


def cell_from_wire(request: wire.RunChain | wire.TakeCell) -> Cell:
    """Return the cell that a request refers to."""
    return Cell(name=request.cell, failure_domains=frozenset(request.failure_domains))


def outcome_to_wire(outcome: ChainOutcome) -> wire.ChainAnswer:
    """Return the message for the outcome of a chain."""
    match outcome:
        case ChainCompleted():
            return wire.ChainAnswer(
                is_made=True,
                handles=list(outcome.handles),
                failure_domain=outcome.failure_domain,
            )
        case ChainFailed():
            return wire.ChainAnswer(
                reason=int(outcome.reason),
                is_begun=outcome.is_begun,
                finish_s=outcome.finish_s,
                retry_after_s=outcome.retry_after_s,
            )
        case ChainMoved():
            return wire.ChainAnswer(
                moved_to=outcome.successor,
                is_begun=outcome.is_admitted,
                made=_made_to_wire(outcome.completed_pieces),
            )


def outcome_from_wire(answer: wire.ChainAnswer) -> ChainOutcome:
    """Return the outcome of a chain from its message."""
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
    """Return the message that hands a cell over with the state of its workers."""
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


def handover_from_wire(request: wire.TakeCell) -> CellHandover:
    """Return the previous scheduler's state of a cell's workers."""
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
            for worker in request.workers
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
