"""Who may get work, found once and again whenever that changes."""

import pytest

from trefoilpaddle.state.chain.workers import SUSPECT_S, Worker, WorkerTable

from .fakes import worker


class Clock:
    """The monotonic clock, set by a test."""

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

    def test_one_that_comes_or_goes_changes_it(self, clock: Clock) -> None:
        table = table_of(worker("a", "s"))
        assert ids(table) == ["a"]
        table.put(worker("b", "s"))
        assert ids(table) == ["a", "b"]
        table.put(worker("a", "s", is_leaving=True))
        assert ids(table) == ["b"]
        table.remove("b")
        assert ids(table) == []

    def test_a_suspect_is_passed_over_until_its_time_is_over(
        self, clock: Clock
    ) -> None:
        a, b = worker("a", "s"), worker("b", "s")
        table = table_of(a, b)
        assert ids(table) == ["a", "b"]
        table.mark_suspect(a)
        assert ids(table) == ["b"]
        clock.now_s += SUSPECT_S / 2
        table.mark_suspect(b)
        assert ids(table) == ["a", "b"], "with all silent any is tried"
        clock.now_s += SUSPECT_S / 2
        assert ids(table) == ["a"]
        clock.now_s += SUSPECT_S / 2
        assert ids(table) == ["a", "b"]

    def test_one_that_answers_is_used_at_once(self, clock: Clock) -> None:
        a = worker("a", "s")
        table = table_of(a, worker("b", "s"))
        table.mark_suspect(a)
        assert ids(table) == ["b"]
        table.clear_suspicion(a)
        assert ids(table) == ["a", "b"]

    def test_those_that_were_tried_are_left_out(self, clock: Clock) -> None:
        table = table_of(worker("a", "s"), worker("b", "s"))
        assert ids(table, without=frozenset({"a"})) == ["b"]
        assert ids(table) == ["a", "b"]

    # A worker starts again under its id. Whoever hears that its former start has
    # ended asks who may get work, before the new one is listed; what was found then
    # must not stand for later.
    def test_what_a_listener_finds_meanwhile_does_not_last(self, clock: Clock) -> None:
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
