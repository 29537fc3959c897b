"""Which pieces share the next call of a worker that is free."""

import asyncio

from trefoilpaddle.state.chain.piece_queue import CallOffer, PieceQueue
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceWork

NOW_S = 1000.0


def piece(
    name: str, *, due_s: float, deadline_s: float = NOW_S + 9, **fields: object
) -> PieceWork:
    return PieceWork(
        request_id=name,
        route="r",
        stage=0,
        piece=0,
        due_s=due_s,
        deadline_s=deadline_s,
        **fields,  # type: ignore[arg-type]
    )


def offer(**fields: object) -> CallOffer:
    known: dict[str, object] = {
        "worker_id": "w",
        "failure_domain": "here",
        "max_pieces": 4,
        "free_bytes": 1e6,
        "is_empty": True,
        "done_s": NOW_S + 0.02,
        "now_s": NOW_S,
    }
    return CallOffer(**(known | fields))  # type: ignore[arg-type]


def queue_of(*works: PieceWork) -> PieceQueue:
    queue = PieceQueue()
    queue.add(works)
    return queue


def names(batch: list[PieceWork]) -> list[str]:
    return [work.request_id for work in batch]


class TestOrder:
    async def test_pieces_of_many_requests_share_a_call(self) -> None:
        queue = queue_of(*(piece(name, due_s=NOW_S + 1) for name in "abcd"))
        assert names(queue.take_batch(offer(max_pieces=3))) == ["a", "b", "c"]
        assert len(queue) == 1

    async def test_the_earliest_due_goes_first(self) -> None:
        queue = queue_of(
            piece("late", due_s=NOW_S + 3),
            piece("soon", due_s=NOW_S + 1),
            piece("mid", due_s=NOW_S + 2),
        )
        assert names(queue.take_batch(offer(max_pieces=2))) == ["soon", "mid"]

    async def test_one_already_late_fills_up_and_never_goes_before(self) -> None:
        # A burst leaves requests that have missed their aim. By due time alone
        # they would stand first, and make those late that still can be on time.
        queue = queue_of(
            piece("missed", due_s=NOW_S - 1),
            piece("a", due_s=NOW_S + 1),
            piece("b", due_s=NOW_S + 2),
        )
        assert names(queue.take_batch(offer(max_pieces=2))) == ["a", "b"]
        assert names(queue.take_batch(offer(max_pieces=2))) == ["missed"]

    async def test_one_that_cannot_be_done_in_time_is_told_at_once(self) -> None:
        hopeless = piece("x", due_s=NOW_S, deadline_s=NOW_S + 0.1)
        queue = queue_of(hopeless)
        queue.drop_unservable(NOW_S + 0.2)
        assert not len(queue)
        assert hopeless.outcome.result() is PieceFault.LATE

    async def test_one_that_nobody_waits_for_is_dropped(self) -> None:
        unwanted = piece("x", due_s=NOW_S + 1)
        queue = queue_of(unwanted)
        unwanted.outcome.cancel()
        queue.drop_unservable(NOW_S)
        assert not len(queue)

    async def test_a_slow_worker_takes_what_others_come_to_later(self) -> None:
        # One of four workers is five times as slow for some seconds. Free most of
        # the time, it took the most urgent pieces and made all of them late.
        queue = queue_of(*(piece(str(n), due_s=NOW_S + n) for n in range(1, 7)))
        assert names(queue.take_batch(offer(n_skipped=4))) == ["5", "6"]
        assert queue.take_batch(offer(n_skipped=4)) == []


class TestWorkers:
    async def test_one_that_failed_a_piece_does_not_get_it_again(self) -> None:
        work = piece("a", due_s=NOW_S + 1, excluded_workers=frozenset({"w"}))
        queue = queue_of(work)
        assert queue.take_batch(offer()) == []
        assert names(queue.take_batch(offer(worker_id="v"))) == ["a"]

    async def test_unless_there_is_no_other(self) -> None:
        queue = queue_of(piece("a", due_s=NOW_S + 1, excluded_workers=frozenset({"w"})))
        queue.allow_excluded({"w"})
        assert names(queue.take_batch(offer())) == ["a"]

    async def test_a_piece_waits_a_while_for_a_near_worker(self) -> None:
        # Results that cross failure domains are paid for by the byte.
        work = piece(
            "a",
            due_s=NOW_S + 1,
            preferred_domain="there",
            cross_domain_wait_s=0.2,
            queued_s=NOW_S,
        )
        queue = queue_of(work)
        assert queue.take_batch(offer(free_in_s_by_domain={"there": 0.1})) == []
        assert names(queue.take_batch(offer(free_in_s_by_domain={"there": 0.3}))) == [
            "a"
        ]

    async def test_and_no_longer_however_soon_that_is_free(self) -> None:
        # The near worker's next call may be filled by others.
        work = piece(
            "a",
            due_s=NOW_S + 1,
            preferred_domain="there",
            cross_domain_wait_s=0.2,
            queued_s=NOW_S,
        )
        at = offer(free_in_s_by_domain={"there": 0.1}, now_s=NOW_S + 0.15)
        assert names(queue_of(work).take_batch(at)) == ["a"]

    async def test_where_there_is_none_it_does_not_wait(self) -> None:
        work = piece(
            "a",
            due_s=NOW_S + 1,
            preferred_domain="gone",
            cross_domain_wait_s=0.2,
            queued_s=NOW_S,
        )
        assert names(queue_of(work).take_batch(offer())) == ["a"]


class TestMemory:
    async def test_a_piece_without_memory_waits_and_smaller_ones_pass(self) -> None:
        # Results wait at their maker. A call for which there is no memory ends
        # at once for the pieces without it, which then came again and again:
        # most calls carried one piece and made none.
        queue = queue_of(
            piece("big", due_s=NOW_S + 1, result_bytes=5),
            piece("small", due_s=NOW_S + 2, result_bytes=1),
        )
        at = offer(free_bytes=2, is_empty=False)
        assert names(queue.take_batch(at)) == ["small"]
        assert names(queue.take_batch(offer(free_bytes=9))) == ["big"]

    async def test_a_wrong_size_does_not_stop_the_queue(self) -> None:
        queue = queue_of(piece("huge", due_s=NOW_S + 1, result_bytes=99))
        assert queue.take_batch(offer(free_bytes=10, is_empty=False)) == []
        assert names(queue.take_batch(offer(free_bytes=10))) == ["huge"]


def test_a_piece_needs_a_loop_only_for_its_end() -> None:
    async def make() -> bool:
        return piece("x", due_s=0.0).is_pending

    assert asyncio.run(make())
