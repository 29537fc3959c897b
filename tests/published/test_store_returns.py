"""The store comes back from a copy: revisions are given out again, entries are lost."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Final

import pytest

from trefoilpaddle.coordination.published import store_feed
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.store_readers import UpdateGap
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S
from trefoilpaddle.coordination.published.unconfirmed_entries import CONFIRM_TIMEOUT_S
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews
from trefoilpaddle.state.chain.workers import Worker
from trefoilpaddle.state.journal import Event

from ..chain.fakes import worker
from .store_fleet import GROUP, IDS, NAMES, Fleet, fleet

NEW: Final = worker("w9")


@pytest.fixture
def made() -> Iterator[Fleet]:
    with fleet() as started:
        yield started


def all_know(made: Fleet, *ids: str) -> bool:
    return made.known() == dict.fromkeys(NAMES, sorted(ids))


def entries(made: Fleet, worker_id: str) -> set[Worker | None]:
    """Return what the gateways hold of a worker."""
    return {gateway.workers.get(worker_id) for gateway in made.by_name.values()}


class TestRevisions:
    async def test_a_worker_written_at_a_revision_given_out_again_is_known(
        self, made: Fleet
    ) -> None:
        # By the next read the store has passed the revision that all know, and
        # answers what has changed since: the worker was written before it.
        copy = made.store.copy()
        for _ in range(5):
            made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.store.put(NEW)
        for _ in range(9):
            made.store.put(worker("w1"))
        made.turn()
        assert all_know(made, *IDS, "w9")

    async def test_a_revision_that_the_store_does_not_have_yet_sends_to_the_list(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.turn()
        position = StorePosition(era=1, revision=copy.revision)
        assert {g.feed.position for g in made.by_name.values()} == {position}

    async def test_returns_follow_one_another(self, made: Fleet) -> None:
        copy = made.store.copy()
        for number in range(4):
            made.store.put(worker(f"x{number}"))
            if number % 2:
                made.turn()
            made.store.return_from(copy)
        made.store.put(NEW)
        made.turn()
        made.pass_time(RECOVERY_GRACE_S)
        assert all_know(made, *IDS, "w9")


class TestLateAnswers:
    async def test_a_list_of_the_era_before_is_left_aside(self, made: Fleet) -> None:
        # A slow answer, or one over another connection, comes after the next era's.
        slow = made.by_name["b"]
        copy = made.store.copy()
        made.store.put(NEW)
        made.store.forget()
        slow.begin()
        slow.go_on()
        made.store.return_from(copy)
        made.by_name["a"].read()
        made.deliver("a", "b")
        known = slow.feed.position
        slow.go_on()
        assert slow.feed.position == known
        assert slow.workers.get("w9") is None

    async def test_changes_of_the_era_before_are_left_aside(self, made: Fleet) -> None:
        slow = made.by_name["b"]
        copy = made.store.copy()
        made.store.lapse("w1")
        slow.begin()
        made.store.return_from(copy)
        made.by_name["a"].read()
        made.deliver("a", "b")
        slow.read()
        assert sorted(slow.workers.ids()) == sorted(IDS)

    async def test_changes_of_this_era_since_a_revision_of_the_last_are_no_changes(
        self, made: Fleet
    ) -> None:
        # Asked for in the last era, answered in this one, which others told of.
        slow = made.by_name["b"]
        copy = made.store.copy()
        for _ in range(3):
            made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.by_name["a"].read()
        for _ in range(4):
            made.store.put(worker("w1"))
        made.store.lapse("w2")
        slow.begin()
        made.deliver("a", "b")
        slow.go_on()
        made.turn()
        made.pass_time(RECOVERY_GRACE_S)
        assert all_know(made, "w1", "w3")

    async def test_lost_history_of_the_era_before_is_nothing_of_this_one(
        self, made: Fleet
    ) -> None:
        # News of the next era come while a watch of the last is refused: what leaves
        # or is gone must be held against the list that follows.
        slow = made.by_name["b"]
        copy = made.store.copy()
        made.store.lapse("w1")
        made.turn()
        made.store.return_from(copy)
        slow.begin()
        slow.workers.put(worker("w7"))
        made.by_name["a"].read()
        made.deliver("a", "b")
        assert slow.feed.position == StorePosition(era=1)
        made.now_s += store_feed.POLL_S
        while slow.reading is not None:
            slow.go_on()
        assert slow.feed.position == made.by_name["a"].feed.position
        assert "w1" not in slow.workers.ids()


class TestPeers:
    async def test_one_that_is_cut_off_goes_on_from_news(self, made: Fleet) -> None:
        cut_off = made.by_name["d"]
        made.store.away_from.add("d")
        copy = made.store.copy()
        made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.store.put(NEW)
        made.turn()
        assert cut_off.workers.get("w9") == NEW
        assert cut_off.feed.position == made.by_name["a"].feed.position

    async def test_readers_that_are_cut_off_meanwhile_hear_of_it(
        self, made: Fleet
    ) -> None:
        # Nobody is told, so the others read by themselves, and list it in turn.
        made.store.away_from.update(NAMES[:2])
        copy = made.store.copy()
        made.store.lapse("w1")
        made.by_name["c"].read()
        made.by_name["d"].read()
        made.store.return_from(copy)
        made.store.put(NEW)
        for _ in range(3):
            made.now_s += store_feed.POLL_S
            made.by_name["c"].read()
            made.deliver_all()
        for gateway in made.by_name.values():
            gateway.ask_peers()
        assert {g.workers.get("w9") for g in made.by_name.values()} == {NEW}
        assert {g.feed.position.era for g in made.by_name.values()} == {1}
        assert "w1" not in made.by_name["d"].workers.ids()

    async def test_one_that_missed_the_news_asks_its_peers(self, made: Fleet) -> None:
        late = made.by_name["d"]
        made.store.away_from.add("d")
        copy = made.store.copy()
        made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.store.put(NEW)
        for one in ("a", "b"):
            made.by_name[one].read()
            made.lose(one, "d")
        made.deliver_all()
        late.ask_peers()
        assert late.workers.get("w9") == NEW

    async def test_a_later_era_makes_the_own_position_void(self, made: Fleet) -> None:
        # Its list differs from the one that the news lead on from: it asks no more
        # for changes since a revision of the era before.
        late = made.by_name["d"]
        late.workers.put(worker("w7"))
        copy = made.store.copy()
        made.store.return_from(copy)
        made.by_name["a"].read()
        made.deliver("a", "d")
        assert late.feed.position == StorePosition(era=1)
        made.turn()
        late.read()
        made.pass_time(RECOVERY_GRACE_S)
        assert all_know(made, *IDS)

    async def test_news_of_an_earlier_era_take_nobody_back(self, made: Fleet) -> None:
        made.store.return_from(made.store.copy())
        made.turn()
        hears = made.by_name["d"]
        known = hears.feed.position
        late = StoreNews(base_revision=1, revision=99, removed=["w1"], version=1)
        assert hears.feed.apply_update(late) is UpdateGap.STALE
        assert hears.feed.position == known
        assert "w1" in hears.workers.ids()


class TestTable:
    async def test_an_older_one_is_never_in_force_again(self, made: Fleet) -> None:
        copy = made.store.copy()
        made.store.publish()
        made.turn()
        made.store.return_from(copy)
        made.turn()
        assert made.versions() == dict.fromkeys(NAMES, 2)
        made.store.publish_again()
        made.store.publish()
        made.turn()
        assert made.versions() == dict.fromkeys(NAMES, 3)

    async def test_one_that_starts_after_the_return_takes_the_newer_from_peers(
        self, made: Fleet
    ) -> None:
        # The copy has a key that was revoked, and the operator has not written again.
        copy = made.store.copy()
        made.store.publish()
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.start_again("d")
        made.by_name["d"].read()
        assert made.versions() == dict.fromkeys(NAMES, 2)

    async def test_one_that_a_reader_names_is_asked_of_peers(self, made: Fleet) -> None:
        # It lost the news that told the table; the store has it no more.
        copy = made.store.copy()
        made.store.publish()
        made.by_name["a"].read()
        for other in "bcd":
            made.lose("a", other)
        made.store.return_from(copy)
        made.turn()
        for name in "bcd":
            made.by_name[name].read()
        assert made.versions() == dict.fromkeys(NAMES, 2)


class TestWorkers:
    async def test_one_that_came_in_the_lost_seconds_has_time_to_write_again(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.put(NEW)
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.pass_time(RECOVERY_GRACE_S - store_feed.POLL_S - 0.1)
        assert all_know(made, *IDS, "w9")
        made.store.put(NEW)
        made.turn()
        made.pass_time(RECOVERY_GRACE_S)
        assert all_know(made, *IDS, "w9")

    async def test_one_that_does_not_write_again_is_gone_then(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.put(NEW)
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.pass_time(RECOVERY_GRACE_S)
        assert all_know(made, *IDS)

    async def test_one_that_leaves_is_not_used_again(self, made: Fleet) -> None:
        copy = made.store.copy()
        made.leave("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        assert entries(made, "w1") == {replace(worker("w1"), is_leaving=True)}

    async def test_one_that_is_gone_is_not_used_again(self, made: Fleet) -> None:
        # It serves on for a while after its entry was removed, as some do.
        copy = made.store.copy()
        made.store.lapse("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.store.put(worker("w2"))
        made.turn()
        assert all_know(made, "w2", "w3")

    @pytest.mark.parametrize("is_gone", [True, False])
    async def test_one_that_writes_again_is_used_again(
        self, made: Fleet, *, is_gone: bool
    ) -> None:
        copy = made.store.copy()
        if is_gone:
            made.store.lapse("w1")
        else:
            made.leave("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.store.put(worker("w1"))
        made.turn()
        assert entries(made, "w1") == {worker("w1")}

    async def test_one_that_nobody_says_wrote_again_is_used_once_its_entry_stands(
        self, made: Fleet
    ) -> None:
        # Both readers have started since the return and know nothing against it.
        copy = made.store.copy()
        made.store.lapse("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        for name in ("a", "b"):
            made.start_again(name)
            made.by_name[name].members = []
            made.by_name[name].read()
            made.by_name[name].members = list(GROUP)
        made.store.put(worker("w1"))
        made.turn()
        made.pass_time(CONFIRM_TIMEOUT_S)
        made.turn()
        assert all_know(made, *IDS)

    async def test_one_that_began_to_leave_since_the_return_is_not_used(
        self, made: Fleet
    ) -> None:
        made.store.return_from(made.store.copy())
        made.leave("w1")
        made.turn()
        assert entries(made, "w1") == {replace(worker("w1"), is_leaving=True)}

    async def test_a_new_start_under_the_id_of_one_that_is_gone_is_used(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.lapse("w1")
        made.turn()
        made.store.return_from(copy)
        again = replace(worker("w1"), born_ms=7)
        made.store.put(again)
        made.turn()
        assert entries(made, "w1") == {again}

    async def test_one_whose_address_another_has_by_now_is_not_used(
        self, made: Fleet
    ) -> None:
        # Nothing is known here of the first: its end was longer ago than all starts.
        first = worker("w8")
        made.store.put(first)
        copy = made.store.copy()
        made.store.lapse("w8")
        second = replace(NEW, address=first.address)
        made.store.put(second)
        for name in NAMES:
            made.start_again(name)
        made.start()
        made.store.return_from(copy)
        made.turn()
        assert entries(made, "w8") == {None}
        assert entries(made, "w9") == {second}

    async def test_one_whose_entry_another_writer_had_overwritten_stays(
        self, made: Fleet
    ) -> None:
        # The copy was made between that and the worker's next heartbeat.
        made.store.spoil("w1")
        copy = made.store.copy()
        made.store.put(worker("w1"))
        made.turn()
        made.store.return_from(copy)
        made.turn()
        assert all_know(made, *IDS)

    async def test_one_that_starts_after_the_return_hears_who_is_gone(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.lapse("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        made.start_again("d")
        made.by_name["d"].read()
        made.turn()
        assert all_know(made, "w2", "w3")
        assert not made.by_name["d"].readers.must_read()


class TestLog:
    async def test_one_line_tells_what_is_held_against_the_copy(
        self, made: Fleet
    ) -> None:
        copy = made.store.copy()
        made.store.put(NEW)
        made.leave("w1")
        made.turn()
        made.store.return_from(copy)
        made.turn()
        for gateway in made.by_name.values():
            (line,) = [
                record.decision
                for record in gateway.notes.recent()
                if record.decision.event is Event.STORE_RETURNED
            ]
            assert line.detail == "0/3 to 1/1; ignored until written again: w1"
            figures = {figure.name: figure.value for figure in line.figures}
            assert figures == {"n_kept": 1, "kept_s": RECOVERY_GRACE_S, "n_doubted": 1}
