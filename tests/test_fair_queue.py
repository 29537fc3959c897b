"""Fair queueing: shares by weight and floor, order by slack, and predicted waits."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.fair_queue import FairQueue
from trefoilpaddle.state.wait_estimate import wait_s
from trefoilpaddle.state.work_queue import FifoQueue, Work, WorkQueue

LATER_NS = 1 << 60
counter = itertools.count()


def work_of(
    owner: str,
    *,
    predicted_s: float = 1.0,
    weight: float = 1.0,
    floor_share: float = 0.0,
    latest_start_ns: int = LATER_NS,
    brownout_order: int = 0,
) -> Work:
    return Work(
        attempt_id=next(counter).to_bytes(16),
        owner=owner,
        entry=f"{owner}-entry",
        weight=weight,
        floor_share=floor_share,
        brownout_order=brownout_order,
        predicted_s=predicted_s,
        latest_start_ns=latest_start_ns,
    )


def served_s(queue: WorkQueue, n: int) -> dict[str, float]:
    """Start `n` queued attempts and return the target-seconds of each owner."""
    total: dict[str, float] = {}
    for _ in range(n):
        work = queue.pop(now_ns=0)
        assert work is not None
        total[work.owner] = total.get(work.owner, 0.0) + work.predicted_s
    return total


works = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.floats(min_value=0.0, max_value=5.0),
        st.integers(min_value=0, max_value=100),
    ),
    max_size=40,
)


class TestEveryQueue:
    @pytest.mark.parametrize("kind", [FifoQueue, FairQueue])
    @given(rows=works, removed=st.sets(st.integers(min_value=0, max_value=39)))
    def test_each_piece_leaves_once_and_only_if_it_waits(
        self,
        kind: type[FifoQueue] | type[FairQueue],
        rows: list[tuple[str, float, int]],
        removed: set[int],
    ) -> None:
        queue: WorkQueue = kind()
        pieces = [
            work_of(owner, predicted_s=size, latest_start_ns=latest)
            for owner, size, latest in rows
        ]
        for piece in pieces:
            queue.push(piece)
        gone = [piece for i, piece in enumerate(pieces) if i in removed]
        assert all(queue.remove(piece) for piece in gone)
        assert not any(queue.remove(piece) for piece in gone)
        left = [piece for piece in pieces if piece not in gone]
        assert len(queue) == len(left)
        assert queue.work_s == pytest.approx(sum(p.predicted_s for p in left))
        popped = [queue.pop(now_ns=50) for _ in left]
        assert set(map(id, popped)) == set(map(id, left))
        assert queue.pop(now_ns=50) is None
        assert queue.work_s == 0.0


class TestShares:
    @given(
        weights=st.lists(
            st.floats(min_value=0.5, max_value=8.0), min_size=2, max_size=5
        ),
        sizes=st.lists(st.floats(min_value=0.1, max_value=3.0), min_size=5, max_size=5),
    )
    def test_backlogged_owners_get_their_weight_in_target_seconds(
        self, weights: list[float], sizes: list[float]
    ) -> None:
        """Owners with few long calls and with many short ones get the same time."""
        queue = FairQueue()
        for i, weight in enumerate(weights):
            for _ in range(400):
                queue.push(work_of(f"o{i}", predicted_s=sizes[i], weight=weight))
        served = served_s(queue, 200)
        total_s, total_weight = sum(served.values()), sum(weights)
        for i, weight in enumerate(weights):
            fair_s = total_s * weight / total_weight
            # The bound of start-time fair queueing: one call of each owner.
            assert abs(served.get(f"o{i}", 0.0) - fair_s) <= sum(sizes) + max(sizes)

    def test_burst_of_one_owner_does_not_delay_another(self) -> None:
        """One large account sends a hundred calls at once.

        First come, first served, the call of another account would wait for all
        of them. Here it is started second at the latest.
        """
        queue = FairQueue()
        for _ in range(100):
            queue.push(work_of("large"))
        queue.pop(now_ns=0)
        queue.pop(now_ns=0)
        small = work_of("small")
        assert queue.ahead(small).work_s <= 1.0
        queue.push(small)
        assert small in [queue.pop(now_ns=0), queue.pop(now_ns=0)]

    def test_idle_time_earns_no_credit(self) -> None:
        queue = FairQueue()
        for _ in range(100):
            queue.push(work_of("busy"))
        served_s(queue, 50)
        for _ in range(50):
            queue.push(work_of("late"))
        served = served_s(queue, 20)
        assert served["busy"] == pytest.approx(10.0, abs=1.0)

    @given(floor=st.floats(min_value=0.05, max_value=0.9))
    def test_a_floor_is_kept_against_any_weight(self, floor: float) -> None:
        queue = FairQueue()
        for _ in range(400):
            queue.push(work_of("heavy", weight=50.0))
            queue.push(work_of("kept", weight=0.1, floor_share=floor))
        served = served_s(queue, 200)
        assert served["kept"] >= 200 * floor - 2.0

    def test_charge_is_corrected_to_the_used_time(self) -> None:
        """An owner whose calls take ten times their prediction is charged for that."""
        queue = FairQueue()
        for _ in range(200):
            queue.push(work_of("honest"))
            queue.push(work_of("wrong", predicted_s=0.1))
        used = {"honest": 0.0, "wrong": 0.0}
        for _ in range(100):
            work = queue.pop(now_ns=0)
            assert work is not None
            used[work.owner] += 1.0
            queue.correct_charge(work, used_s=1.0)
        assert abs(used["honest"] - used["wrong"]) <= 2.0

    def test_work_that_did_not_run_is_not_charged(self) -> None:
        queue = FairQueue()
        for _ in range(4):
            queue.push(work_of("a"))
            queue.push(work_of("b"))
        first = queue.pop(now_ns=0)
        assert first is not None
        queue.correct_charge(first, used_s=0.0)
        second = queue.pop(now_ns=0)
        assert second is not None
        assert second.owner == first.owner


class TestSlack:
    def test_least_slack_that_can_be_met_starts_first(self) -> None:
        queue = FairQueue()
        missed = work_of("a", latest_start_ns=5)
        loose = work_of("a", latest_start_ns=30)
        tight = work_of("a", latest_start_ns=20)
        for work in (missed, loose, tight):
            queue.push(work)
        order = [queue.pop(now_ns=10) for _ in range(3)]
        assert order == [tight, loose, missed]


class TestDisplacement:
    def test_only_the_burst_is_displaced(self) -> None:
        queue = FairQueue()
        burst = [work_of("large", latest_start_ns=i) for i in range(10)]
        kept = work_of("small", brownout_order=-5)
        for work in (*burst, kept):
            queue.push(work)
        newcomer = work_of("other")
        displaceable = queue.displaceable(newcomer)
        assert kept not in displaceable
        assert displaceable[0] is burst[-1]

    def test_burst_displaces_only_its_own_work(self) -> None:
        queue = FairQueue()
        for owner in ("large", "large", "large", "small"):
            queue.push(work_of(owner))
        assert all(
            other.owner == "large" for other in queue.displaceable(work_of("large"))
        )

    def test_lower_brownout_order_is_displaced_first(self) -> None:
        queue = FairQueue()
        low = work_of("a", brownout_order=1, latest_start_ns=1)
        high = work_of("a", brownout_order=2, latest_start_ns=2)
        queue.push(high)
        queue.push(low)
        newcomer = work_of("a", brownout_order=3)
        assert queue.preceding_lower_order(newcomer) == [low, high]
        assert queue.displaceable(newcomer)[0] is low


class TestWait:
    @given(
        left_s=st.lists(st.floats(min_value=0.0, max_value=10.0), max_size=12),
        n_slots=st.integers(min_value=1, max_value=12),
        ahead_s=st.floats(min_value=0.0, max_value=100.0),
    )
    def test_the_level_holds_the_work_ahead(
        self, left_s: list[float], n_slots: int, ahead_s: float
    ) -> None:
        level_s = wait_s(left_s=left_s, n_slots=n_slots, ahead_s=ahead_s)
        slots = [0.0] * max(0, n_slots - len(left_s))
        slots += sorted(left_s)[-n_slots:]
        poured_s = sum(max(0.0, level_s - each) for each in slots)
        assert poured_s == pytest.approx(ahead_s, abs=1e-6)

    def test_wait_is_zero_with_a_free_slot_and_no_work_ahead(self) -> None:
        assert wait_s(left_s=[3.0], n_slots=2, ahead_s=0.0) == 0.0

    def test_wait_lasts_until_the_first_slot_is_free(self) -> None:
        assert wait_s(left_s=[3.0, 1.0], n_slots=2, ahead_s=0.0) == 1.0
