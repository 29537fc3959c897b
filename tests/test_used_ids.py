"""Truncated records of used attempt ids may refuse too much, but never allow a run."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.used_ids import UsedIds, UsedState

NS_PER_S = 1_000_000_000


def is_refused(used: UsedIds, attempt_id: bytes, *, sent_ns: int) -> bool:
    return used.get(attempt_id) is not None or used.is_before_horizon(sent_ns)


class TestUsedIds:
    @given(
        steps_s=st.lists(st.floats(min_value=0.0, max_value=20.0), max_size=80),
        max_ids=st.integers(min_value=1, max_value=40),
        late_s=st.floats(min_value=0.0, max_value=30.0),
    )
    def test_late_start_of_a_used_id_is_always_refused(
        self, steps_s: list[float], max_ids: int, late_s: float
    ) -> None:
        """A start message arrives late, after its attempt was barred.

        In the meantime, so many other attempts were used that old ids were dropped.
        """
        used = UsedIds(keep_ns=60 * NS_PER_S, max_ids=max_ids)
        now_ns = 100 * NS_PER_S
        known: list[tuple[bytes, int]] = []
        for number, step_s in enumerate(steps_s):
            now_ns += int(step_s * NS_PER_S)
            attempt_id = number.to_bytes(16)
            used.add(attempt_id, UsedState.NEVER_STARTED, now_ns=now_ns)
            known.append((attempt_id, now_ns - int(late_s * NS_PER_S)))
            assert len(used) <= max(max_ids, 7)
        for attempt_id, sent_ns in known:
            assert is_refused(used, attempt_id, sent_ns=sent_ns)

    @given(steps_s=st.lists(st.floats(min_value=0.0, max_value=20.0), max_size=80))
    def test_no_recent_start_is_refused_below_the_id_limit(
        self, steps_s: list[float]
    ) -> None:
        used = UsedIds(keep_ns=60 * NS_PER_S, max_ids=10_000)
        now_ns = 100 * NS_PER_S
        for number, step_s in enumerate(steps_s):
            now_ns += int(step_s * NS_PER_S)
            used.add(number.to_bytes(16), UsedState.RAN, now_ns=now_ns)
            fresh_ns = now_ns - 59 * NS_PER_S
            assert used.is_complete(now_ns)
            assert not is_refused(used, b"x" * 16, sent_ns=fresh_ns)

    def test_truncated_record_reports_that_it_is_incomplete(self) -> None:
        used = UsedIds(keep_ns=60 * NS_PER_S, max_ids=7)
        for number in range(20):
            used.add(number.to_bytes(16), UsedState.RAN, now_ns=100 * NS_PER_S + number)
        assert not used.is_complete(100 * NS_PER_S + 20)

    def test_id_that_ran_is_never_recorded_as_not_started(self) -> None:
        used = UsedIds()
        used.add(b"a" * 16, UsedState.RAN, now_ns=1)
        used.add(b"a" * 16, UsedState.NEVER_STARTED, now_ns=2)
        assert used.get(b"a" * 16) is UsedState.RAN
