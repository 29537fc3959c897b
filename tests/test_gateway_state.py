"""A gateway's state: estimates, retry budgets, deadline splits, request records."""

import math

from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.budget import INITIAL_CREDIT, RetryBudget
from trefoilpaddle.state.deadline_split import stage_budget_s
from trefoilpaddle.state.estimate import Estimate, WorkSize
from trefoilpaddle.state.prefix import BLOCK_WORDS, prefix_hashes
from trefoilpaddle.state.requests import Requests, RequestState

SIZES = st.builds(
    WorkSize, n_bytes=st.integers(0, 4_000_000), n_tokens=st.integers(0, 4000)
)
SECONDS = st.floats(0.0, 100.0)


class TestEstimate:
    def test_the_fit_finds_the_share_of_bytes_and_tokens(self) -> None:
        estimate = Estimate()
        for n in range(200):
            size = WorkSize(n_bytes=(n * 7919) % 50_000, n_tokens=(n * 31) % 200)
            measured_s = 0.02 + size.n_bytes * 2e-6 + size.n_tokens * 1e-3
            estimate.learn(size, measured_s)
        wanted = WorkSize(n_bytes=30_000, n_tokens=100)
        assert math.isclose(estimate.expected_s(wanted), 0.18, rel_tol=0.02)
        assert math.isclose(estimate.input_size_s(wanted), 0.06, rel_tol=0.05)

    def test_the_fit_follows_a_service_that_slows_down(self) -> None:
        estimate = Estimate()
        for n in range(1500):
            size = WorkSize(n_bytes=(n * 7919) % 50_000)
            estimate.learn(size, 0.1 if n < 500 else 0.5)
        assert math.isclose(estimate.expected_s(size), 0.5, rel_tol=0.1)

    @given(samples=st.lists(st.tuples(SIZES, SECONDS), max_size=60), size=SIZES)
    def test_any_samples_give_finite_positive_predictions(
        self, samples: list[tuple[WorkSize, float]], size: WorkSize
    ) -> None:
        estimate = Estimate()
        for sample, measured_s in samples:
            estimate.learn(sample, measured_s)
        expected_s = estimate.expected_s(size)
        assert math.isfinite(expected_s)
        assert 0.0 <= expected_s <= estimate.high_s(size)

    def test_one_outlier_does_not_change_the_prediction_of_constant_work(self) -> None:
        estimate = Estimate()
        size = WorkSize(n_bytes=1000, n_tokens=16)
        for _ in range(20_000):
            estimate.learn(size, 0.05)
        assert math.isclose(estimate.expected_s(size), 0.05, rel_tol=0.01)
        odd = WorkSize(n_bytes=1_000_000, n_tokens=16)
        estimate.learn(odd, 0.5)
        assert math.isclose(estimate.expected_s(size), 0.05, rel_tol=0.2)


class TestRetryBudget:
    @given(
        share=st.floats(0.0, 1.0),
        steps=st.lists(st.booleans(), max_size=400),
    )
    def test_repeats_stay_within_the_share(
        self, share: float, steps: list[bool]
    ) -> None:
        budget = RetryBudget(share=share)
        for is_call in steps:
            if is_call:
                budget.earn()
            else:
                budget.spend()
            assert budget.n_spent <= INITIAL_CREDIT + share * budget.n_calls


class TestDeadlineSplit:
    @given(
        left_s=st.floats(-1.0, 100.0),
        predicted_s=st.lists(st.floats(0.0, 50.0), min_size=1, max_size=6),
        is_split=st.booleans(),
    )
    def test_a_stage_gets_no_more_than_is_left(
        self, left_s: float, predicted_s: list[float], is_split: bool
    ) -> None:
        budget_s = stage_budget_s(
            left_s=left_s, predicted_s=predicted_s, is_split=is_split
        )
        assert budget_s <= left_s
        if left_s > sum(predicted_s) and is_split and left_s * 0.05 < predicted_s[0]:
            later_s = sum(predicted_s[1:])
            assert left_s - budget_s >= later_s - 1e-9


class TestPrefixHashes:
    @given(
        shared=st.integers(0, 6),
        one=st.integers(0, 3),
        other=st.integers(0, 3),
    )
    def test_prompts_share_as_many_hashes_as_leading_blocks(
        self, shared: int, one: int, other: int
    ) -> None:
        head = "the same words " * (shared * BLOCK_WORDS)
        head = " ".join(head.split()[: shared * BLOCK_WORDS])
        first = prefix_hashes(f"{head} {'x ' * BLOCK_WORDS * one}")
        second = prefix_hashes(f"{head} {'y ' * BLOCK_WORDS * other}")
        same = [a == b for a, b in zip(first, second, strict=False)]
        assert sum(same) == shared
        assert len(first) == shared + one


class TestRequests:
    def test_the_oldest_records_are_dropped_beyond_the_maximum_number(self) -> None:
        requests = Requests(n_records=3, keep_s=100.0)
        for n in range(5):
            requests.begin(request_id=str(n), account="a", pipeline="p")
        assert requests.get("1") is None
        requests.end("4", state=RequestState.ANSWERED, reason=Reason.NONE)
        record = requests.get("4")
        assert record is not None
        assert record.state is RequestState.ANSWERED
