"""Pieces and their ends as gateways send them to one another."""

import time
from collections.abc import Iterable

from ...protocol.gen.chain import ttypes as wire
from ...state.chain.piece_work import PieceEnd, PieceFault, PieceMade, PieceWork

MS_PER_S = 1000.0


def pieces_to_wire(works: Iterable[PieceWork]) -> list[wire.Piece]:
    """Return pieces as they are sent; times become durations from now."""
    now_s = time.monotonic()
    return [
        wire.Piece(
            request_id=work.request_id,
            route=work.route,
            stage=work.stage,
            piece=work.piece,
            key=work.key,
            inputs=list(work.inputs),
            has_inputs=work.has_inputs,
            result_bytes=work.result_bytes,
            due_in_ms=int((work.due_s - now_s) * MS_PER_S),
            deadline_in_ms=int((work.deadline_s - now_s) * MS_PER_S),
        )
        for work in works
    ]


def pieces_from_wire(pieces: Iterable[wire.Piece]) -> list[PieceWork]:
    """Return pieces that came just now, with times on this process's clock."""
    now_s = time.monotonic()
    return [
        PieceWork(
            request_id=piece.request_id,
            route=piece.route,
            stage=piece.stage,
            piece=piece.piece,
            key=piece.key,
            inputs=tuple(piece.inputs),
            has_inputs=piece.has_inputs,
            result_bytes=piece.result_bytes,
            due_s=now_s + piece.due_in_ms / MS_PER_S,
            deadline_s=now_s + piece.deadline_in_ms / MS_PER_S,
        )
        for piece in pieces
    ]


def end_to_wire(end: PieceEnd) -> wire.PieceEnd:
    """Return an end as it is sent."""
    match end:
        case PieceMade():
            return wire.PieceEnd(handle=end.handle)
        case PieceFault():
            return wire.PieceEnd(fault=end.value)


def end_from_wire(end: wire.PieceEnd, worker_id: str) -> PieceEnd:
    """Return the end that was sent of a piece made at `worker_id`."""
    if end.handle:
        return PieceMade(handle=end.handle, worker_id=worker_id)
    return PieceFault(end.fault)
