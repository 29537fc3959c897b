"""Held and open answers together stay within the memory bound."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.held_results import Answer, HeldResults

MAX_BYTES = 100


def store() -> tuple[HeldResults, list[bytes]]:
    dropped: list[bytes] = []
    held = HeldResults(max_bytes=MAX_BYTES, keep_ns=10, on_drop=dropped.append)
    return held, dropped


class TestHeldResults:
    @given(
        sizes=st.lists(st.integers(min_value=0, max_value=60), max_size=30),
        acknowledged=st.sets(st.integers(min_value=0, max_value=29)),
    )
    def test_the_bound_holds(self, sizes: list[int], acknowledged: set[int]) -> None:
        held, dropped = store()
        for number, size in enumerate(sizes):
            attempt_id = number.to_bytes(16)
            if held.grow(size):
                held.hold(attempt_id, n_bytes=size, now_ns=number)
            assert held.held_bytes + held.open_bytes <= MAX_BYTES
            if number in acknowledged:
                held.release(attempt_id)
        held.expire(1000)
        assert (len(held), held.held_bytes, held.open_bytes) == (0, 0, 0)
        assert len(dropped) == len(set(dropped))

    def test_oldest_finished_answer_is_evicted(self) -> None:
        held, dropped = store()
        for name in (b"a", b"b"):
            assert held.grow(40)
            held.hold(name, n_bytes=40, now_ns=0)
        assert held.grow(40)
        assert dropped == [b"a"]

    def test_open_answers_are_not_evicted(self) -> None:
        held, dropped = store()
        assert held.grow(90)
        assert not held.grow(20)
        held.shrink(90)
        assert held.grow(20)
        assert dropped == []

    def test_answer_is_dropped_after_its_retention(self) -> None:
        held, dropped = store()
        held.grow(1)
        held.hold(b"a", n_bytes=1, now_ns=0)
        held.expire(9)
        assert dropped == []
        held.expire(10)
        assert dropped == [b"a"]
        assert not held.release(b"a")


class TestAnswer:
    @given(chunks=st.lists(st.binary(max_size=50), max_size=10))
    def test_the_checksum_is_of_the_whole(self, chunks: list[bytes]) -> None:
        parts, whole = Answer(), Answer()
        for chunk in chunks:
            parts.append(chunk)
        whole.append(b"".join(chunks))
        assert parts.checksum() == whole.checksum()
        assert parts.n_bytes == whole.n_bytes
