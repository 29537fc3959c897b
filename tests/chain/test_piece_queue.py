"""Which pieces share the next call of a free worker."""

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

    async def test_the_earliest_due_piece_is_first(self) -> None:
        queue = queue_of(
            piece("late", due_s=NOW_S + 3),
            piece("soon", due_s=NOW_S + 1),
            piece("mid", due_s=NOW_S + 2),
        )
        assert names(queue.take_batch(offer(max_pieces=2))) == ["soon", "mid"]

    async def test_late_pieces_only_fill_remaining_slots(self) -> None:
        # A burst leaves requests that have missed their latency objective. Ordered by
        # due time alone they would be first, and delay those that can be on time.
        queue = queue_of(
            piece("missed", due_s=NOW_S - 1),
            piece("a", due_s=NOW_S + 1),
            piece("b", due_s=NOW_S + 2),
        )
        assert names(queue.take_batch(offer(max_pieces=2))) == ["a", "b"]
        assert names(queue.take_batch(offer(max_pieces=2))) == ["missed"]

    async def test_pieces_beyond_a_share_go_after_others_that_can_be_in_time(
        self,
    ) -> None:
        # Guards against a call full of one account's burst, and against pieces that
        # are late in any case before those of the burst that are not.
        queue = queue_of(
            piece("burst", due_s=NOW_S + 1, is_beyond_share=True),
            piece("missed", due_s=NOW_S - 1),
            piece("within", due_s=NOW_S + 2),
        )
        assert queue.n_on_time(NOW_S, is_beyond_share=False) == 1
        assert queue.n_on_time(NOW_S) == 2
        assert names(queue.take_batch(offer())) == ["within", "burst", "missed"]

    async def test_a_piece_that_misses_its_deadline_fails_at_once(self) -> None:
        unservable = piece("x", due_s=NOW_S, deadline_s=NOW_S + 0.1)
        queue = queue_of(unservable)
        queue.drop_unservable(NOW_S + 0.2)
        assert not len(queue)
        assert unservable.outcome.result() is PieceFault.LATE

    async def test_a_cancelled_piece_is_dropped(self) -> None:
        cancelled = piece("x", due_s=NOW_S + 1)
        queue = queue_of(cancelled)
        cancelled.outcome.cancel()
        queue.drop_unservable(NOW_S)
        assert not len(queue)

    async def test_a_slow_worker_skips_the_most_urgent_pieces(self) -> None:
        # One of four workers is five times as slow for some seconds. As it was free
        # most often, it took the most urgent pieces, and all of them were late.
        queue = queue_of(*(piece(str(n), due_s=NOW_S + n) for n in range(1, 7)))
        assert names(queue.take_batch(offer(n_skipped=4))) == ["5", "6"]
        assert queue.take_batch(offer(n_skipped=4)) == []


class TestWorkers:
    async def test_an_excluded_worker_does_not_get_the_piece(self) -> None:
        work = piece("a", due_s=NOW_S + 1, excluded_workers=frozenset({"w"}))
        queue = queue_of(work)
        assert queue.take_batch(offer()) == []
        assert names(queue.take_batch(offer(worker_id="v"))) == ["a"]

    async def test_exclusion_ends_if_all_workers_are_excluded(self) -> None:
        queue = queue_of(piece("a", due_s=NOW_S + 1, excluded_workers=frozenset({"w"})))
        queue.allow_excluded({"w"})
        assert names(queue.take_batch(offer())) == ["a"]

    async def test_a_piece_waits_for_a_worker_of_its_preferred_domain(self) -> None:
        # Traffic between failure domains is paid by the byte.
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

    async def test_the_wait_for_the_preferred_domain_is_limited(self) -> None:
        # The next call of the preferred worker may be filled by other pieces.
        work = piece(
            "a",
            due_s=NOW_S + 1,
            preferred_domain="there",
            cross_domain_wait_s=0.2,
            queued_s=NOW_S,
        )
        at = offer(free_in_s_by_domain={"there": 0.1}, now_s=NOW_S + 0.15)
        assert names(queue_of(work).take_batch(at)) == ["a"]

    async def test_without_a_worker_in_its_domain_a_piece_does_not_wait(self) -> None:
        work = piece(
            "a",
            due_s=NOW_S + 1,
            preferred_domain="gone",
            cross_domain_wait_s=0.2,
            queued_s=NOW_S,
        )
        assert names(queue_of(work).take_batch(offer())) == ["a"]


class TestMemory:
    async def test_a_piece_without_memory_waits_and_smaller_ones_are_sent(self) -> None:
        # Results stay at the worker that computed them. Pieces without memory for their
        # results fail at once and were retried again and again: most calls carried one
        # piece and completed none.
        queue = queue_of(
            piece("big", due_s=NOW_S + 1, result_bytes=5),
            piece("small", due_s=NOW_S + 2, result_bytes=1),
        )
        at = offer(free_bytes=2, is_empty=False)
        assert names(queue.take_batch(at)) == ["small"]
        assert names(queue.take_batch(offer(free_bytes=9))) == ["big"]

    async def test_a_wrong_size_does_not_block_the_queue(self) -> None:
        queue = queue_of(piece("huge", due_s=NOW_S + 1, result_bytes=99))
        assert queue.take_batch(offer(free_bytes=10, is_empty=False)) == []
        assert names(queue.take_batch(offer(free_bytes=10))) == ["huge"]


def test_a_piece_is_pending_when_created() -> None:
    async def make() -> bool:
        return piece("x", due_s=0.0).is_pending

    assert asyncio.run(make())
