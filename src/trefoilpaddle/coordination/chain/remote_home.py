"""A worker's home that is another gateway."""

import asyncio
import time
from collections.abc import Sequence
from typing import Final

from result import Err, Ok

from ...protocol.gen.chain.ttypes import (
    DropPieces,
    FreeResults,
    MakePieces,
    PiecesMade,
)
from ...state.chain.piece_queue import PieceTimes
from ...state.chain.piece_work import PieceEnd, PieceFault, PieceMade, PieceWork
from ...state.chain.routes import PieceService
from ...transport.link import Link
from .piece_wire import end_from_wire, pieces_to_wire

ASK_SLACK_S: Final = 0.1
"""Added to the pieces' deadline; the home itself gives them up at it."""


class RemoteHome:
    """Has pieces made through the gateway that is the worker's home.

    Parameters
    ----------
    worker_id : str
        The worker.
    service : PieceService
        What it runs.
    link : Link
        To its home.
    """

    __slots__ = (
        "_link",
        "_n_open",
        "_service",
        "_tasks",
        "_told_s",
        "_wait_s",
        "worker_id",
    )

    def __init__(self, *, worker_id: str, service: PieceService, link: Link) -> None:
        self.worker_id = worker_id
        self._service = service
        self._link = link
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_open = 0
        self._wait_s = 0.0
        self._told_s = 0.0

    def submit(self, works: Sequence[PieceWork]) -> None:
        """Send pieces to the home; their ends are set when it answers."""
        task = asyncio.create_task(self._ask(list(works)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def wait_s(self, n_pieces: int) -> float:
        """Return the expected seconds until that many more pieces are made.

        The home's last word ages by the time since; what this gateway itself
        has open there is known better than the home's last word knew it.
        """
        age_s = time.monotonic() - self._told_s
        own_s = PieceTimes(service=self._service).call_s(n_pieces)
        ahead_s = self._service.piece_s * self._n_open
        return max(own_s + ahead_s, self._wait_s - age_s)

    def free(self, handle: str) -> None:
        """Have the home free a result."""
        self._link.send(FreeResults(worker_id=self.worker_id, handles=[handle]))

    def close(self) -> None:
        """Do nothing: the home itself ends what it has when the worker leaves."""

    async def _ask(self, works: list[PieceWork]) -> None:
        question = MakePieces(worker_id=self.worker_id, pieces=pieces_to_wire(works))
        left_s = max(work.deadline_s for work in works) - time.monotonic()
        self._n_open += len(works)
        dropping = asyncio.create_task(self._drop_when_unwanted(works))
        try:
            answer = await self._link.ask(question, timeout_s=left_s + ASK_SLACK_S)
        finally:
            self._n_open -= len(works)
            dropping.cancel()
        match answer:
            case Ok(PiecesMade() as made) if len(made.ends) == len(works):
                self._wait_s = made.wait_s
                self._told_s = time.monotonic()
                ends = [end_from_wire(end, self.worker_id) for end in made.ends]
                self._settle(works, ends)
            case Err(error) if not error.is_sent:
                self._settle(works, [PieceFault.FULL] * len(works))
            case _:
                self._settle(works, [PieceFault.LOST] * len(works))

    def _settle(self, works: list[PieceWork], ends: Sequence[PieceEnd]) -> None:
        for work, end in zip(works, ends, strict=True):
            if isinstance(end, PieceMade) and not work.is_open:
                self.free(end.handle)
            work.settle(end)

    async def _drop_when_unwanted(self, works: list[PieceWork]) -> None:
        """Tell the home once nobody waits: its queue would make them for nobody."""
        await asyncio.wait([work.end for work in works])
        if any(work.end.cancelled() for work in works):
            self._link.send(
                DropPieces(request_id=works[0].request_id, worker_id=self.worker_id)
            )
