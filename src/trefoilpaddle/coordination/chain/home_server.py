"""Answers other gateways that have pieces made at the homes kept here."""

import asyncio
from typing import Final

from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import (
    DropPieces,
    FreeResults,
    MakePieces,
    PiecesMade,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.piece_work import PieceEnd, PieceFault, PieceWork
from ...transport.connection import Connection
from ..own_process import OwnProcess
from .piece_homes import PieceHomes
from .piece_wire import end_to_wire, pieces_from_wire

N_ASKED_ABOUT: Final = 1
"""Pieces for which the wait is told with each answer."""


class HomeServer:
    """Serves the homes of this gateway to others.

    A gateway that asks here takes this one for the worker's home. It is served
    even where this gateway does not: after a change of members the two agree
    within moments, and a worker that is called from two sides for as long only
    has smaller calls.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers.
    homes : PieceHomes
        Make the pieces.
    """

    __slots__ = ("_homes", "_open")

    def __init__(self, *, process: OwnProcess, homes: PieceHomes) -> None:
        self._homes = homes
        self._open: dict[str, set[PieceWork]] = {}
        process.server.answer(MakePieces, self._make)
        process.message_listeners.append(self._on_message)

    async def _make(self, question: MakePieces, peer: Hello) -> PiecesMade:
        works = pieces_from_wire(question.pieces)
        self._homes.submit_here(question.worker_id, works)
        for work in works:
            self._open.setdefault(work.request_id, set()).add(work)
        try:
            await asyncio.wait([work.end for work in works])
        finally:
            self._forget(works)
        return PiecesMade(
            ends=[end_to_wire(_end_of(work)) for work in works],
            wait_s=self._homes.wait_here_s(question.worker_id, N_ASKED_ABOUT),
        )

    def _forget(self, works: list[PieceWork]) -> None:
        for work in works:
            of_request = self._open.get(work.request_id, set())
            of_request.discard(work)
            if not of_request:
                self._open.pop(work.request_id, None)

    def _on_message(self, connection: Connection, message: Message) -> None:
        match message:
            case DropPieces():
                for work in list(self._open.get(message.request_id, ())):
                    work.end.cancel()
            case FreeResults():
                for handle in message.handles:
                    self._homes.free_here(message.worker_id, handle)


def _end_of(work: PieceWork) -> PieceEnd:
    return PieceFault.LATE if work.end.cancelled() else work.end.result()
