"""Which streams get a copy of their run, where it goes, and what copies may cost."""

from collections.abc import Sequence

import pytest

from trefoilpaddle.state.chain import stream_copies
from trefoilpaddle.state.chain.requests import Prompt, PromptPart
from trefoilpaddle.state.chain.routes import EngineService
from trefoilpaddle.state.chain.stream_copies import (
    COPY_RATIO,
    CROSS_DOMAIN_FACTOR,
    MAX_CREDIT_S,
    MEMORY_SHARE,
    MIN_OUTPUT_TOKENS,
    SLACK_TOKENS_PER_S,
    StreamCopies,
    StreamCopy,
)
from trefoilpaddle.state.chain.workers import Worker

from .fakes import worker

SERVICE = EngineService(name="model", n_slots=8, cache_tokens=100_000)
FIRST = worker("first", "model", domain="a", software_version="v1")
NEAR = worker("near", "model", domain="a", software_version="v1")
FAR = worker("far", "model", domain="b", software_version="v1")
MAX_CREDIT = MAX_CREDIT_S * SLACK_TOKENS_PER_S


def prompt(n_tokens: int = 100, n_output_tokens: int = 200) -> Prompt:
    part = PromptPart(part_id="p", n_tokens=n_tokens)
    return Prompt(parts=(part,), n_tokens=n_tokens, n_output_tokens=n_output_tokens)


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(stream_copies, "time", clock)
    return clock


class Rig:
    """The copies of a gateway, and the streams of one service."""

    def __init__(self, *, n_gateways: int = 1) -> None:
        self.n_open = {"near": 0, "near2": 0, "far": 0}
        self.copies = StreamCopies(
            n_gateways=lambda: n_gateways, n_open=lambda i: self.n_open[i]
        )

    def begin(
        self,
        *,
        of: Prompt | None = None,
        priority: int = 0,
        request_id: str = "a1",
        others: Sequence[Worker] = (NEAR, FAR),
    ) -> StreamCopy | None:
        return self.copies.begin(
            SERVICE,
            of or prompt(),
            request_id=request_id,
            priority=priority,
            worker=FIRST,
            others=lambda: others,
        )

    def n_accepted(self, n_streams: int, *, priority: int = 0) -> int:
        """Return how many of these streams get a copy that ends at once."""
        n_accepted = 0
        for number in range(n_streams):
            copy = self.begin(request_id=f"a{number}", priority=priority)
            if copy is not None:
                n_accepted += 1
                self.copies.end(copy, has_run=True)
        return n_accepted


class TestWhere:
    def test_the_same_failure_domain_is_preferred(self) -> None:
        # Guards against copies at twice the price.
        copy = Rig().begin(others=[FAR, NEAR])
        assert copy is not None and copy.worker is NEAR
        assert copy.cost_tokens == copy.n_tokens == 300

    def test_another_failure_domain_costs_twice_as_much(self) -> None:
        copy = Rig().begin(others=[FAR])
        assert copy is not None and copy.worker is FAR
        assert copy.cost_tokens == CROSS_DOMAIN_FACTOR * 300

    def test_another_software_version_gets_no_copy(self) -> None:
        # Guards against a stream with events of two versions.
        other = worker("near", "model", domain="a", software_version="v2")
        assert Rig().begin(others=[other]) is None

    def test_the_worker_itself_gets_no_copy(self) -> None:
        assert Rig().begin(others=[FIRST]) is None

    def test_the_least_loaded_of_equals_is_chosen(self) -> None:
        near2 = worker("near2", "model", domain="a", software_version="v1")
        rig = Rig()
        rig.n_open["near"] = 1
        copy = rig.begin(others=[NEAR, near2])
        assert copy is not None and copy.worker is near2

    def test_copies_spread_over_equals(self) -> None:
        # Guards against one worker that holds the copies of all gateways.
        near2 = worker("near2", "model", domain="a", software_version="v1")
        seen = set()
        for number in range(20):
            copy = Rig().begin(request_id=f"a{number}", others=[NEAR, near2])
            assert copy is not None
            seen.add(copy.worker.worker_id)
        assert seen == {"near", "near2"}

    def test_copies_do_not_fill_an_engine(self) -> None:
        # Guards against copies that leave an engine no room for its own requests.
        n_tokens = int(MEMORY_SHARE * SERVICE.cache_tokens)
        assert Rig().begin(of=prompt(n_tokens, 200), others=[NEAR]) is None
        fits = Rig().begin(of=prompt(n_tokens - 200, 200), others=[NEAR])
        assert fits is not None

    def test_an_ended_copy_makes_room(self) -> None:
        n_tokens = int(MEMORY_SHARE * SERVICE.cache_tokens) - 200
        rig = Rig()
        held = rig.begin(of=prompt(n_tokens, 200))
        assert held is not None and held.worker is NEAR
        rig.copies.record_read("model", 10**9)
        elsewhere = rig.begin(of=prompt(n_tokens, 200))
        assert elsewhere is not None and elsewhere.worker is FAR
        rig.copies.end(held, has_run=True)
        rig.copies.record_read("model", 10**9)
        again = rig.begin(of=prompt(n_tokens, 200))
        assert again is not None and again.worker is NEAR


class TestWhich:
    def test_a_short_answer_gets_no_copy(self) -> None:
        assert Rig().begin(of=prompt(100, MIN_OUTPUT_TOKENS - 1)) is None
        assert Rig().begin(of=prompt(100, MIN_OUTPUT_TOKENS)) is not None

    def test_less_urgent_streams_leave_credit_for_urgent_ones(
        self, clock: Clock
    ) -> None:
        # Guards against a crowd of batch streams that uses up the whole bound.
        rig = Rig()
        n_low = rig.n_accepted(50, priority=2)
        assert 0 < n_low < MAX_CREDIT / 300
        assert rig.n_accepted(50, priority=0) >= n_low - 1

    def test_shorter_streams_leave_credit_for_longer_ones(self, clock: Clock) -> None:
        rig = Rig()
        for _ in range(40):
            rig.begin(of=prompt(100, 500))
        clock.now_s += MAX_CREDIT_S / 5
        assert rig.begin(of=prompt(100, 200)) is None
        assert rig.begin(of=prompt(100, 500)) is not None


class TestBound:
    def test_a_burst_is_bounded_by_the_largest_credit(self, clock: Clock) -> None:
        # Guards against copies that take more of the links than the bound.
        n_accepted = Rig().n_accepted(1000)
        assert MAX_CREDIT <= 300 * n_accepted < MAX_CREDIT + 300

    def test_it_accrues_with_time(self, clock: Clock) -> None:
        rig = Rig()
        rig.n_accepted(1000)
        clock.now_s += 15.0
        n_accepted = rig.n_accepted(1000)
        assert 300 * n_accepted <= 15.0 * SLACK_TOKENS_PER_S + 300

    def test_it_accrues_with_what_the_service_reads(self, clock: Clock) -> None:
        rig = Rig()
        rig.n_accepted(1000)
        assert rig.begin() is None
        rig.copies.record_read("other", 100_000)
        assert rig.begin() is None
        rig.copies.record_read("model", int(300 / COPY_RATIO) + 1)
        assert rig.begin() is not None

    def test_gateways_divide_the_slack(self, clock: Clock) -> None:
        n_alone = Rig().n_accepted(1000)
        n_each = Rig(n_gateways=4).n_accepted(1000)
        assert 4 * n_each <= n_alone + 4

    def test_one_large_stream_may_overdraw_the_credit(self, clock: Clock) -> None:
        # Guards against large streams that never get a copy at a gateway of many.
        rig = Rig(n_gateways=20)
        assert rig.begin(of=prompt(5000, 1000)) is not None
        clock.now_s += MAX_CREDIT_S
        assert rig.begin() is None

    def test_what_has_not_run_is_given_back(self, clock: Clock) -> None:
        rig = Rig()
        for _ in range(1000):
            copy = rig.begin()
            assert copy is not None
            rig.copies.end(copy, has_run=False)
        assert rig.copies.n_begun == rig.copies.n_tokens_begun == 0

    def test_copies_are_counted(self, clock: Clock) -> None:
        rig = Rig()
        rig.n_accepted(2)
        assert (rig.copies.n_begun, rig.copies.n_tokens_begun) == (2, 600)
