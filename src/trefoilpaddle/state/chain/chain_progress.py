"""What is made of one chain, what is still needed, and what can be freed."""

from collections import Counter
from collections.abc import Callable, Iterator

from .chain_work import ChainWork, StagePiece
from .piece_work import PieceResult


class ChainProgress:
    """The results of one chain's stages.

    Parameters
    ----------
    work : ChainWork
        The chain; what the scheduler before has made of it counts as made.
    """

    __slots__ = ("_done", "_fetched", "_made", "_work")

    def __init__(self, *, work: ChainWork) -> None:
        self._work = work
        self._made: dict[int, dict[int, PieceResult]] = {}
        self._fetched: dict[int, set[int]] = {}
        for each in work.completed_pieces:
            self.record_result(each.stage, each.piece, each.result)
        self._done = set(range(len(work.stages))) - self._needed()

    def _needed(self) -> set[int]:
        """Return the stages that must be run.

        One whose pieces are all there need not, nor one that only such stages
        read: its results were freed when these had them.
        """
        needed: set[int] = set()
        asked = list(self._work.last_stages())
        while asked:
            number = asked.pop()
            if number in needed or self._is_whole(number):
                continue
            needed.add(number)
            asked += self._work.stages[number].after
        return needed

    def _is_whole(self, number: int) -> bool:
        made = self._made.get(number, {})
        return 0 < self._work.n_pieces[number] == len(made)

    def is_done(self, number: int) -> bool:
        """Return True if a stage need not be run any more."""
        return number in self._done

    def mark_done(self, number: int) -> None:
        """Count a stage as done."""
        self._done.add(number)

    def missing_pieces(self, number: int) -> list[int]:
        """Return the pieces of a stage that are not made."""
        made = self._made.get(number, {})
        return [n for n in range(self._work.n_pieces[number]) if n not in made]

    def record_result(self, number: int, piece: int, made: PieceResult) -> None:
        """Take in a result."""
        self._made.setdefault(number, {})[piece] = made

    def record_fetched(self, number: int, piece: int) -> bool:
        """Take in that a worker has the inputs of a piece; True once all have."""
        fetched = self._fetched.setdefault(number, set())
        fetched.add(piece)
        return len(fetched) == self._work.n_pieces[number]

    def clear_fetched(self, number: int, piece: int) -> None:
        """Take back that a worker has the inputs of a piece: it must be sent again."""
        self._fetched.get(number, set()).discard(piece)

    def results(self, number: int) -> list[PieceResult]:
        """Return what is made and kept of a stage, by piece."""
        made = self._made.get(number, {})
        return [made[piece] for piece in sorted(made)]

    def has_inputs(self, number: int) -> bool:
        """Return True if all that the pieces of a stage take is kept.

        It is not where a stage must be made again after its inputs were freed. A
        piece is never sent with some of them.
        """
        return all(
            len(self._made.get(before, {})) == self._work.n_pieces[before]
            for before in self._work.stages[number].after
        )

    def inputs(self, number: int) -> tuple[str, ...]:
        """Return the handles that each piece of a stage takes."""
        return tuple(
            made.handle
            for before in self._work.stages[number].after
            for made in self.results(before)
        )

    def fully_read_stages(self, number: int) -> Iterator[int]:
        """Yield the stages whose results a stage was the last to read.

        Called once the stage is done, or once the workers of all of its pieces
        have their inputs.
        """
        for before in self._work.stages[number].after:
            readers = {
                reader
                for reader, plan in enumerate(self._work.stages)
                if before in plan.after
            }
            if all(reader == number or self._has_inputs(reader) for reader in readers):
                yield before

    def _has_inputs(self, number: int) -> bool:
        fetched = self._fetched.get(number, set())
        return number in self._done or len(fetched) == self._work.n_pieces[number]

    def pop_stage(self, number: int) -> list[PieceResult]:
        """Return what is kept of a stage and forget it."""
        results = self.results(number)
        self._made.pop(number, None)
        return results

    def pop_all(self) -> tuple[StagePiece, ...]:
        """Return all that is kept and forget it."""
        taken = tuple(
            StagePiece(stage=number, piece=piece, result=made)
            for number, by_piece in self._made.items()
            for piece, made in by_piece.items()
        )
        self._made.clear()
        return taken

    def kept_stages(self) -> list[int]:
        """Return the stages of which something is kept."""
        return list(self._made)

    def bytes_by_domain(
        self, stages: Iterator[int] | tuple[int, ...], domain_of: Callable[[str], str]
    ) -> Counter[str]:
        """Return the bytes of the results of stages, by failure domain.

        Parameters
        ----------
        stages : iterable of int
            Which.
        domain_of : callable
            Returns where a worker stands.
        """
        n_bytes: Counter[str] = Counter()
        for number in stages:
            size = int(self._work.stages[number].result_bytes)
            for made in self.results(number):
                n_bytes[domain_of(made.worker_id)] += size
        return n_bytes
