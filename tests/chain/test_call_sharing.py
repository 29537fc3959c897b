"""Which pieces share a call once workers have crashed under some of them."""

from trefoilpaddle.state.chain.call_sharing import MAX_WATCHED, CallSharing
from trefoilpaddle.state.chain.crash_registry import CrashStatus
from trefoilpaddle.state.chain.piece_work import PieceWork

from .test_piece_queue import piece


def shared(
    standings: dict[str, CrashStatus], *names: str, running: str = ""
) -> list[str]:
    """Return which of some requests' pieces, most urgent first, share a call."""
    sharing = CallSharing(
        status=lambda name: standings.get(name, CrashStatus.CLEAR),
        is_running=lambda name: name == running,
    )
    works: list[PieceWork] = [
        piece(name, due_s=1.0, fingerprint=name) for name in names
    ]
    return [work.fingerprint for work in works if sharing.may_share(work)]


class TestCallSharing:
    async def test_a_suspect_goes_alone_with_all_of_its_pieces(self) -> None:
        standings = {"s": CrashStatus.SUSPECT}
        assert shared(standings, "s", "a", "s") == ["s", "s"]
        assert shared(standings, "a", "s", "b") == ["a", "b"]

    async def test_two_suspects_do_not_share_a_call(self) -> None:
        standings = {"s": CrashStatus.SUSPECT, "t": CrashStatus.SUSPECT}
        assert shared(standings, "s", "t") == ["s"]

    async def test_a_suspect_that_runs_waits(self) -> None:
        assert shared({"s": CrashStatus.SUSPECT}, "s", "a", running="s") == ["a"]

    async def test_one_that_has_crashed_a_worker_waits_while_it_runs(self) -> None:
        assert shared({"w": CrashStatus.WATCHED}, "w", "a", running="w") == ["a"]

    async def test_few_of_those_that_were_in_one_crash_share_the_next_call(
        self,
    ) -> None:
        # All sixty in one call again, three crashes tell nothing of who it was.
        names = [f"w{number}" for number in range(60)]
        standings = dict.fromkeys(names, CrashStatus.WATCHED)
        assert len(shared(standings, *names)) == MAX_WATCHED
        assert len(shared(standings, *names, "a")) == MAX_WATCHED + 1
