"""Which pieces share a call after some of their requests have crashed workers."""

from trefoilpaddle.state.chain.call_sharing import MAX_WATCHED, CallSharing
from trefoilpaddle.state.chain.crash_registry import CrashStatus
from trefoilpaddle.state.chain.piece_work import PieceWork

from .test_piece_queue import piece


def shared(
    statuses: dict[str, CrashStatus], *names: str, running: str = ""
) -> list[str]:
    """Return which of some requests' pieces, most urgent first, share a call."""
    sharing = CallSharing(
        status=lambda name: statuses.get(name, CrashStatus.CLEAR),
        is_running=lambda name: name == running,
    )
    works: list[PieceWork] = [
        piece(name, due_s=1.0, fingerprint=name) for name in names
    ]
    return [work.fingerprint for work in works if sharing.may_share(work)]


class TestCallSharing:
    async def test_a_suspect_shares_its_call_with_no_other_request(self) -> None:
        statuses = {"s": CrashStatus.SUSPECT}
        assert shared(statuses, "s", "a", "s") == ["s", "s"]
        assert shared(statuses, "a", "s", "b") == ["a", "b"]

    async def test_two_suspects_do_not_share_a_call(self) -> None:
        statuses = {"s": CrashStatus.SUSPECT, "t": CrashStatus.SUSPECT}
        assert shared(statuses, "s", "t") == ["s"]

    async def test_a_running_suspect_waits(self) -> None:
        assert shared({"s": CrashStatus.SUSPECT}, "s", "a", running="s") == ["a"]

    async def test_a_running_watched_request_waits(self) -> None:
        assert shared({"w": CrashStatus.WATCHED}, "w", "a", running="w") == ["a"]

    async def test_watched_requests_in_one_call_are_limited(
        self,
    ) -> None:
        # If all sixty share one call again, three crashes do not identify the cause.
        names = [f"w{number}" for number in range(60)]
        statuses = dict.fromkeys(names, CrashStatus.WATCHED)
        assert len(shared(statuses, *names)) == MAX_WATCHED
        assert len(shared(statuses, *names, "a")) == MAX_WATCHED + 1
