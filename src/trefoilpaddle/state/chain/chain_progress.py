"""Progress of one chain: its results, what is still needed and what can be freed."""

from collections import Counter
from collections.abc import Callable, Iterator

from .chain_work import ChainWork, StagePiece
from .piece_work import PieceResult


class ChainProgress:
    """The results of one chain's stages.

    Parameters
    ----------
    work : ChainWork
        The chain; pieces that a former scheduler has completed count as completed.
    """

    __slots__ = ("_done", "_fetched", "_results", "_work")

    def __init__(self, *, work: ChainWork) -> None:
        self._work = work
        self._results: dict[int, dict[int, PieceResult]] = {}
        self._fetched: dict[int, set[int]] = {}
        for each in work.completed_pieces:
            self.record_result(each.stage, each.piece, each.result)
        self._done = set(range(len(work.stages))) - self._needed_stages()

    def _needed_stages(self) -> set[int]:
        """Return the stages that must be run.

        A stage with results for all of its pieces need not run again. Neither need a
        stage whose results only such stages read: they were freed once read.
        """
        needed: set[int] = set()
        pending = list(self._work.last_stages())
        while pending:
            stage = pending.pop()
            if stage in needed or self._is_complete(stage):
                continue
            needed.add(stage)
            pending += self._work.stages[stage].after
        return needed

    def _is_complete(self, stage: int) -> bool:
        results = self._results.get(stage, {})
        return 0 < self._work.n_pieces[stage] == len(results)

    def is_done(self, stage: int) -> bool:
        """Return True if a stage need not be run, or need not be run again."""
        return stage in self._done

    def mark_done(self, stage: int) -> None:
        """Mark a stage as done."""
        self._done.add(stage)

    def missing_pieces(self, stage: int) -> list[int]:
        """Return the indices of the pieces of a stage that have no result."""
        results = self._results.get(stage, {})
        return [n for n in range(self._work.n_pieces[stage]) if n not in results]

    def record_result(self, stage: int, piece: int, result: PieceResult) -> None:
        """Record the result of a piece."""
        self._results.setdefault(stage, {})[piece] = result

    def record_fetched(self, stage: int, piece: int) -> bool:
        """Record that a worker has fetched the inputs of a piece.

        Returns True once the inputs of all pieces of the stage are fetched.
        """
        fetched = self._fetched.setdefault(stage, set())
        fetched.add(piece)
        return len(fetched) == self._work.n_pieces[stage]

    def clear_fetched(self, stage: int, piece: int) -> None:
        """Forget that a worker has fetched the inputs of a piece, to be sent again."""
        self._fetched.get(stage, set()).discard(piece)

    def results(self, stage: int) -> list[PieceResult]:
        """Return the results of a stage that are kept, in the order of its pieces."""
        results = self._results.get(stage, {})
        return [results[piece] for piece in sorted(results)]

    def has_inputs(self, stage: int) -> bool:
        """Return True if all inputs of a stage are kept.

        They are not if the stage must be run again after its inputs were freed. A
        piece is never sent with only a part of its inputs.
        """
        return all(
            len(self._results.get(upstream, {})) == self._work.n_pieces[upstream]
            for upstream in self._work.stages[stage].after
        )

    def inputs(self, stage: int) -> tuple[str, ...]:
        """Return the handles of the inputs; each piece of a stage takes all of them."""
        return tuple(
            result.handle
            for upstream in self._work.stages[stage].after
            for result in self.results(upstream)
        )

    def fully_read_stages(self, stage: int) -> Iterator[int]:
        """Yield the upstream stages whose results no other stage still has to read.

        Called once the stage is done, or once the workers of all of its pieces have
        fetched their inputs.
        """
        for upstream in self._work.stages[stage].after:
            readers = {
                reader
                for reader, plan in enumerate(self._work.stages)
                if upstream in plan.after
            }
            if all(reader == stage or self._has_inputs(reader) for reader in readers):
                yield upstream

    def _has_inputs(self, stage: int) -> bool:
        fetched = self._fetched.get(stage, set())
        return stage in self._done or len(fetched) == self._work.n_pieces[stage]

    def pop_stage(self, stage: int) -> list[PieceResult]:
        """Remove and return the results of a stage."""
        results = self.results(stage)
        self._results.pop(stage, None)
        return results

    def pop_all(self) -> tuple[StagePiece, ...]:
        """Remove and return the results of all stages."""
        taken = tuple(
            StagePiece(stage=stage, piece=piece, result=result)
            for stage, by_piece in self._results.items()
            for piece, result in by_piece.items()
        )
        self._results.clear()
        return taken

    def kept_stages(self) -> list[int]:
        """Return the stages that have results."""
        return list(self._results)

    def bytes_by_domain(
        self, stages: Iterator[int] | tuple[int, ...], domain_of: Callable[[str], str]
    ) -> Counter[str]:
        """Return the expected bytes of the results of stages, by failure domain.

        Parameters
        ----------
        stages : iterable of int
            Indices of the stages.
        domain_of : callable
            Returns the failure domain of a worker, given its id.
        """
        n_bytes: Counter[str] = Counter()
        for stage in stages:
            size = int(self._work.stages[stage].result_bytes)
            for result in self.results(stage):
                n_bytes[domain_of(result.worker_id)] += size
        return n_bytes
