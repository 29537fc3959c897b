"""Which workers may receive work, cached until the answer changes."""

import pytest

from trefoilpaddle.state.chain.workers import SUSPECT_S, Worker, WorkerTable

from .fakes import worker


class Clock:
    """The monotonic clock, set by the test."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        patch.setattr("time.monotonic", lambda: self.now_s)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def table_of(*workers: Worker) -> WorkerTable:
    table = WorkerTable()
    for each in workers:
        table.put(each)
    return table


def ids(table: WorkerTable, **fields: frozenset[str]) -> list[str]:
    return [each.worker_id for each in table.usable("s", **fields)]


class TestUsable:
    def test_the_same_object_is_returned_while_nothing_changes(
        self, clock: Clock
    ) -> None:
        table = table_of(worker("a", "s"), worker("b", "s"))
        assert table.usable("s") is table.usable("s")

    def test_listing_and_removing_workers_changes_the_result(
        self, clock: Clock
    ) -> None:
        table = table_of(worker("a", "s"))
        assert ids(table) == ["a"]
        table.put(worker("b", "s"))
        assert ids(table) == ["a", "b"]
        table.put(worker("a", "s", is_leaving=True))
        assert ids(table) == ["b"]
        table.remove("b")
        assert ids(table) == []

    def test_a_suspect_is_not_usable_until_its_time_is_over(self, clock: Clock) -> None:
        a, b = worker("a", "s"), worker("b", "s")
        table = table_of(a, b)
        assert ids(table) == ["a", "b"]
        table.mark_suspect(a)
        assert ids(table) == ["b"]
        clock.now_s += SUSPECT_S / 2
        table.mark_suspect(b)
        assert ids(table) == ["a", "b"], "if all workers are suspect, all are usable"
        clock.now_s += SUSPECT_S / 2
        assert ids(table) == ["a"]
        clock.now_s += SUSPECT_S / 2
        assert ids(table) == ["a", "b"]

    def test_a_suspect_that_answers_is_usable_at_once(self, clock: Clock) -> None:
        a = worker("a", "s")
        table = table_of(a, worker("b", "s"))
        table.mark_suspect(a)
        assert ids(table) == ["b"]
        table.clear_suspicion(a)
        assert ids(table) == ["a", "b"]

    def test_excluded_workers_are_left_out(self, clock: Clock) -> None:
        table = table_of(worker("a", "s"), worker("b", "s"))
        assert ids(table, excluded=frozenset({"a"})) == ["b"]
        assert ids(table) == ["a", "b"]

    # A worker restarts under its id. A listener for the end of its former start asks
    # for the usable workers before the new start is listed; the result must not be
    # cached for later.
    def test_a_result_computed_in_a_listener_is_not_cached(self, clock: Clock) -> None:
        table = table_of(worker("a", "s"), worker("b", "s"))
        found: list[list[str]] = []
        table.leave_listeners.append(lambda _: found.append(ids(table)))
        table.put(
            Worker(
                worker_id="a",
                service="s",
                address="a:1",
                failure_domain="here",
                born_ms=5,
            )
        )
        assert sorted(ids(table)) == ["a", "b"]
