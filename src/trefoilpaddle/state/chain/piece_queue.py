"""Pieces that wait for one worker, and which of them share its next call.

A call costs the same time whatever it carries, and a worker makes one at a
time, so pieces of many requests share calls. A call is filled when the worker
is free and not before: whatever came meanwhile rides along. Under light load a
piece leaves at once; under heavy load calls are full. No timer has to be right.
"""

from collections.abc import Iterable
from typing import Final

from .piece_work import PieceFault, PieceWork
from .routes import PieceService

TIME_SMOOTHING: Final = 0.2
"""Weight of the newest call in the learnt times: five calls replace most of it."""

MAX_RATIO: Final = 8.0
"""Learnt slowness of a worker is cut here; beyond, it is as good as away."""

MIN_CALL_S: Final = 1e-3
"""Shortest time that a call is taken to have, so that ratios stay finite."""


class PieceTimes:
    """How long calls take at one worker, learnt from those that it made.

    The published times are approximate and one for all stages of a service.
    One ratio follows how much slower or faster than published the worker is.

    Attributes
    ----------
    ratio : float
        Measured over published time.
    """

    __slots__ = ("_service", "ratio")

    def __init__(self, *, service: PieceService) -> None:
        self._service = service
        self.ratio = 1.0

    def published_s(self, n_pieces: int) -> float:
        """Return the published seconds of a call with `n_pieces`."""
        return self._service.call_s + n_pieces * self._service.piece_s

    def call_s(self, n_pieces: int) -> float:
        """Return the expected seconds of a call with `n_pieces`."""
        return self.published_s(n_pieces) * self.ratio

    def learn(self, n_pieces: int, took_s: float) -> None:
        """Take one call into the ratio."""
        ratio = took_s / max(MIN_CALL_S, self.published_s(n_pieces))
        self.ratio += TIME_SMOOTHING * (min(MAX_RATIO, ratio) - self.ratio)


class PieceQueue:
    """The pieces for one worker, in the order in which they should be made.

    Parameters
    ----------
    service : PieceService
        What one call and one worker hold.
    """

    __slots__ = ("_kept_bytes", "_waiting", "service", "times")

    def __init__(self, *, service: PieceService) -> None:
        self.service = service
        self.times = PieceTimes(service=service)
        self._waiting: list[PieceWork] = []
        self._kept_bytes: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, works: Iterable[PieceWork]) -> None:
        """Queue pieces."""
        self._waiting.extend(works)

    def drain(self) -> list[PieceWork]:
        """Empty the queue; return what waited and is still wanted."""
        waiting = [work for work in self._waiting if work.is_open]
        self._waiting.clear()
        return waiting

    def take_batch(self, now_s: float) -> list[PieceWork]:
        """Return the pieces of the next call, most urgent first.

        Those that can still be on time go first, by the time at which they
        should be done; those already late follow by deadline, so that they fill
        calls that have places left and never hold up one that is on time. A
        piece that nobody waits for any more is dropped, one that cannot be
        done before its deadline is told so at once.
        """
        call_s = self.times.call_s(1)
        wanted = []
        for work in self._waiting:
            if not work.is_open:
                continue
            if work.deadline_s < now_s + call_s:
                work.settle(PieceFault.LATE)
                continue
            wanted.append(work)
        wanted.sort(key=lambda work: _order(work, now_s + call_s))
        batch: list[PieceWork] = []
        left: list[PieceWork] = []
        room_bytes = self.service.room_bytes - self.kept_bytes(now_s)
        for work in wanted:
            # Results wait at their maker until they are read. A call whose
            # results find no room fails for them after its full time; a piece
            # left here costs nothing. The first always goes, so that a wrong
            # size in the configuration cannot stop the queue.
            has_room = work.result_bytes <= room_bytes or not (batch or left)
            if len(batch) < self.service.batch and has_room:
                batch.append(work)
                room_bytes -= work.result_bytes
            else:
                left.append(work)
        self._waiting = left
        return batch

    def keep(self, handle: str, result_bytes: float, now_s: float) -> None:
        """Count a result that waits at the worker from now on."""
        self._kept_bytes[handle] = (result_bytes, now_s + self.service.keep_s)

    def free(self, handle: str) -> None:
        """Count a result as gone from the worker."""
        self._kept_bytes.pop(handle, None)

    def kept_bytes(self, now_s: float) -> float:
        """Return the bytes of results that wait at the worker."""
        over = [
            handle
            for handle, (_, until_s) in self._kept_bytes.items()
            if until_s <= now_s
        ]
        for handle in over:
            del self._kept_bytes[handle]
        return sum(n_bytes for n_bytes, _ in self._kept_bytes.values())

    def wait_s(self, n_ahead: int, n_own: int, busy_s: float) -> float:
        """Return the expected seconds until `n_own` new pieces are made.

        Parameters
        ----------
        n_ahead : int
            Pieces that go before them.
        n_own : int
            Pieces that are asked about.
        busy_s : float
            What is left of the call that the worker makes now.
        """
        batch = self.service.batch
        n_full = (n_ahead + n_own - 1) // batch
        last = n_ahead + n_own - n_full * batch
        return busy_s + n_full * self.times.call_s(batch) + self.times.call_s(last)


def _order(work: PieceWork, done_s: float) -> tuple[bool, float]:
    is_late = work.due_s < done_s
    return is_late, work.deadline_s if is_late else work.due_s
