"""Restores of the store from a backup: revisions are reused, entries are lost."""

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
from .store_fleet import GROUP, NAMES, WORKER_IDS, Fleet, started_fleet

NEW: Final = worker("w9")


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with started_fleet() as started:
        yield started


def all_know(fleet: Fleet, *ids: str) -> bool:
    return fleet.known() == dict.fromkeys(NAMES, sorted(ids))


def entries(fleet: Fleet, worker_id: str) -> set[Worker | None]:
    """Return the entries of a worker that the gateways hold."""
    return {gateway.workers.get(worker_id) for gateway in fleet.by_name.values()}


class TestRevisions:
    async def test_a_worker_written_at_a_reused_revision_is_known(
        self, fleet: Fleet
    ) -> None:
        # By the next read the store has passed the revision that all gateways know, and
        # returns the changes since. The worker was written before that revision.
        backup = fleet.store.back_up()
        for _ in range(5):
            fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.store.put(NEW)
        for _ in range(9):
            fleet.store.put(worker("w1"))
        fleet.run_readers()
        assert all_know(fleet, *WORKER_IDS, "w9")

    async def test_a_revision_later_than_the_stores_leads_to_a_list(
        self, fleet: Fleet
    ) -> None:
        backup = fleet.store.back_up()
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        position = StorePosition(era=1, revision=backup.revision)
        assert {g.feed.position for g in fleet.by_name.values()} == {position}

    async def test_several_restores_in_a_row(self, fleet: Fleet) -> None:
        backup = fleet.store.back_up()
        for number in range(4):
            fleet.store.put(worker(f"x{number}"))
            if number % 2:
                fleet.run_readers()
            fleet.store.restore_from(backup)
        fleet.store.put(NEW)
        fleet.run_readers()
        fleet.pass_time(RECOVERY_GRACE_S)
        assert all_know(fleet, *WORKER_IDS, "w9")


class TestLateResponses:
    async def test_a_list_of_the_earlier_era_is_ignored(self, fleet: Fleet) -> None:
        # A slow response, or one on another connection, arrives after the next era's.
        slow = fleet.by_name["b"]
        backup = fleet.store.back_up()
        fleet.store.put(NEW)
        fleet.store.lose_history()
        slow.begin()
        slow.resume()
        fleet.store.restore_from(backup)
        fleet.by_name["a"].read()
        fleet.deliver("a", "b")
        known = slow.feed.position
        slow.resume()
        assert slow.feed.position == known
        assert slow.workers.get("w9") is None

    async def test_changes_of_the_earlier_era_are_ignored(self, fleet: Fleet) -> None:
        slow = fleet.by_name["b"]
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        slow.begin()
        fleet.store.restore_from(backup)
        fleet.by_name["a"].read()
        fleet.deliver("a", "b")
        slow.read()
        assert sorted(slow.workers.ids()) == sorted(WORKER_IDS)

    async def test_changes_since_a_revision_of_the_earlier_era_are_not_applied(
        self, fleet: Fleet
    ) -> None:
        # Requested in the last era, answered in this one, which others have reported.
        slow = fleet.by_name["b"]
        backup = fleet.store.back_up()
        for _ in range(3):
            fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.by_name["a"].read()
        for _ in range(4):
            fleet.store.put(worker("w1"))
        fleet.store.expire("w2")
        slow.begin()
        fleet.deliver("a", "b")
        slow.resume()
        fleet.run_readers()
        fleet.pass_time(RECOVERY_GRACE_S)
        assert all_know(fleet, "w1", "w3")

    async def test_lost_history_of_the_earlier_era_does_not_affect_the_next(
        self, fleet: Fleet
    ) -> None:
        # An update of the next era arrives while a watch of the last one is refused.
        # Leaving and removed workers must be compared with the list that follows.
        slow = fleet.by_name["b"]
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        slow.begin()
        slow.workers.put(worker("w7"))
        fleet.by_name["a"].read()
        fleet.deliver("a", "b")
        assert slow.feed.position == StorePosition(era=1)
        fleet.now_s += store_feed.POLL_S
        while slow.reading is not None:
            slow.resume()
        assert slow.feed.position == fleet.by_name["a"].feed.position
        assert "w1" not in slow.workers.ids()


class TestPeers:
    async def test_a_disconnected_gateway_continues_with_updates(
        self, fleet: Fleet
    ) -> None:
        disconnected = fleet.by_name["d"]
        fleet.store.unavailable_to.add("d")
        backup = fleet.store.back_up()
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.store.put(NEW)
        fleet.run_readers()
        assert disconnected.workers.get("w9") == NEW
        assert disconnected.feed.position == fleet.by_name["a"].feed.position

    async def test_disconnected_readers_learn_of_the_restore(
        self, fleet: Fleet
    ) -> None:
        # No gateway is notified, so the others read the store, and list it in turn.
        fleet.store.unavailable_to.update(NAMES[:2])
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.by_name["c"].read()
        fleet.by_name["d"].read()
        fleet.store.restore_from(backup)
        fleet.store.put(NEW)
        for _ in range(3):
            fleet.now_s += store_feed.POLL_S
            fleet.by_name["c"].read()
            fleet.deliver_all()
        for gateway in fleet.by_name.values():
            gateway.query_peers()
        assert {g.workers.get("w9") for g in fleet.by_name.values()} == {NEW}
        assert {g.feed.position.era for g in fleet.by_name.values()} == {1}
        assert "w1" not in fleet.by_name["d"].workers.ids()

    async def test_a_gateway_that_missed_updates_queries_peers(
        self, fleet: Fleet
    ) -> None:
        late = fleet.by_name["d"]
        fleet.store.unavailable_to.add("d")
        backup = fleet.store.back_up()
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.store.put(NEW)
        for one in ("a", "b"):
            fleet.by_name[one].read()
            fleet.lose(one, "d")
        fleet.deliver_all()
        late.query_peers()
        assert late.workers.get("w9") == NEW

    async def test_a_later_era_invalidates_the_known_position(
        self, fleet: Fleet
    ) -> None:
        # Its list differs from the base of the update. It must no longer request
        # changes since a revision of the earlier era.
        late = fleet.by_name["d"]
        late.workers.put(worker("w7"))
        backup = fleet.store.back_up()
        fleet.store.restore_from(backup)
        fleet.by_name["a"].read()
        fleet.deliver("a", "d")
        assert late.feed.position == StorePosition(era=1)
        fleet.run_readers()
        late.read()
        fleet.pass_time(RECOVERY_GRACE_S)
        assert all_know(fleet, *WORKER_IDS)

    async def test_an_update_of_an_earlier_era_is_ignored(self, fleet: Fleet) -> None:
        fleet.store.restore_from(fleet.store.back_up())
        fleet.run_readers()
        gateway = fleet.by_name["d"]
        known = gateway.feed.position
        late = StoreNews(base_revision=1, revision=99, removed=["w1"], version=1)
        assert gateway.feed.apply_update(late) is UpdateGap.STALE
        assert gateway.feed.position == known
        assert "w1" in gateway.workers.ids()


class TestTable:
    async def test_an_older_table_is_never_active_again(self, fleet: Fleet) -> None:
        backup = fleet.store.back_up()
        fleet.store.publish()
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        assert fleet.versions() == dict.fromkeys(NAMES, 2)
        fleet.store.publish_again()
        fleet.store.publish()
        fleet.run_readers()
        assert fleet.versions() == dict.fromkeys(NAMES, 3)

    async def test_a_gateway_started_after_the_restore_gets_the_newer_table_from_peers(
        self, fleet: Fleet
    ) -> None:
        # The backup has a key that was revoked; the operator has not written again.
        backup = fleet.store.back_up()
        fleet.store.publish()
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.restart("d")
        fleet.by_name["d"].read()
        assert fleet.versions() == dict.fromkeys(NAMES, 2)

    async def test_a_table_announced_by_a_reader_is_requested_from_peers(
        self, fleet: Fleet
    ) -> None:
        # The update with the table was lost, and the store no longer has the table.
        backup = fleet.store.back_up()
        fleet.store.publish()
        fleet.by_name["a"].read()
        for other in "bcd":
            fleet.lose("a", other)
        fleet.store.restore_from(backup)
        fleet.run_readers()
        for name in "bcd":
            fleet.by_name[name].read()
        assert fleet.versions() == dict.fromkeys(NAMES, 2)


class TestWorkers:
    async def test_a_worker_added_since_the_backup_has_time_to_write_again(
        self, fleet: Fleet
    ) -> None:
        backup = fleet.store.back_up()
        fleet.store.put(NEW)
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.pass_time(RECOVERY_GRACE_S - store_feed.POLL_S - 0.1)
        assert all_know(fleet, *WORKER_IDS, "w9")
        fleet.store.put(NEW)
        fleet.run_readers()
        fleet.pass_time(RECOVERY_GRACE_S)
        assert all_know(fleet, *WORKER_IDS, "w9")

    async def test_a_worker_that_does_not_write_again_is_removed(
        self, fleet: Fleet
    ) -> None:
        backup = fleet.store.back_up()
        fleet.store.put(NEW)
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.pass_time(RECOVERY_GRACE_S)
        assert all_know(fleet, *WORKER_IDS)

    async def test_a_leaving_worker_is_not_used_again(self, fleet: Fleet) -> None:
        backup = fleet.store.back_up()
        fleet.leave("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        assert entries(fleet, "w1") == {replace(worker("w1"), is_leaving=True)}

    async def test_a_removed_worker_is_not_used_again(self, fleet: Fleet) -> None:
        # It keeps serving for a while after its entry was removed, as some workers do.
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.store.put(worker("w2"))
        fleet.run_readers()
        assert all_know(fleet, "w2", "w3")

    @pytest.mark.parametrize("is_gone", [True, False])
    async def test_a_worker_that_writes_again_is_used_again(
        self, fleet: Fleet, *, is_gone: bool
    ) -> None:
        backup = fleet.store.back_up()
        if is_gone:
            fleet.store.expire("w1")
        else:
            fleet.leave("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        assert entries(fleet, "w1") == {worker("w1")}

    async def test_a_worker_without_reported_write_is_used_once_its_entry_stays_listed(
        self, fleet: Fleet
    ) -> None:
        # Both readers have restarted since the restore and have no other knowledge.
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        for name in ("a", "b"):
            fleet.restart(name)
            fleet.by_name[name].members = []
            fleet.by_name[name].read()
            fleet.by_name[name].members = list(GROUP)
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.pass_time(CONFIRM_TIMEOUT_S)
        fleet.run_readers()
        assert all_know(fleet, *WORKER_IDS)

    async def test_a_worker_that_leaves_after_the_restore_is_not_used(
        self, fleet: Fleet
    ) -> None:
        fleet.store.restore_from(fleet.store.back_up())
        fleet.leave("w1")
        fleet.run_readers()
        assert entries(fleet, "w1") == {replace(worker("w1"), is_leaving=True)}

    async def test_a_restart_under_the_id_of_a_removed_worker_is_used(
        self, fleet: Fleet
    ) -> None:
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        again = replace(worker("w1"), born_ms=7)
        fleet.store.put(again)
        fleet.run_readers()
        assert entries(fleet, "w1") == {again}

    async def test_a_worker_whose_address_was_reused_is_not_used(
        self, fleet: Fleet
    ) -> None:
        # The gateways do not know the first worker: it exited before they started.
        first = worker("w8")
        fleet.store.put(first)
        backup = fleet.store.back_up()
        fleet.store.expire("w8")
        second = replace(NEW, address=first.address)
        fleet.store.put(second)
        for name in NAMES:
            fleet.restart(name)
        fleet.start()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        assert entries(fleet, "w8") == {None}
        assert entries(fleet, "w9") == {second}

    async def test_a_worker_whose_entry_was_overwritten_in_the_backup_stays(
        self, fleet: Fleet
    ) -> None:
        # The backup was made between that write and the worker's next heartbeat.
        fleet.store.overwrite("w1")
        backup = fleet.store.back_up()
        fleet.store.put(worker("w1"))
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        assert all_know(fleet, *WORKER_IDS)

    async def test_a_gateway_started_after_the_restore_learns_of_removed_workers(
        self, fleet: Fleet
    ) -> None:
        backup = fleet.store.back_up()
        fleet.store.expire("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        fleet.restart("d")
        fleet.by_name["d"].read()
        fleet.run_readers()
        assert all_know(fleet, "w2", "w3")
        assert not fleet.by_name["d"].readers.must_read()


class TestLog:
    async def test_one_record_names_the_ignored_entries(self, fleet: Fleet) -> None:
        backup = fleet.store.back_up()
        fleet.store.put(NEW)
        fleet.leave("w1")
        fleet.run_readers()
        fleet.store.restore_from(backup)
        fleet.run_readers()
        for gateway in fleet.by_name.values():
            (line,) = [
                record.decision
                for record in gateway.records.recent()
                if record.decision.event is Event.STORE_RETURNED
            ]
            assert line.detail == "0/3 to 1/1; ignored until written again: w1"
            figures = {figure.name: figure.value for figure in line.figures}
            assert figures == {"n_kept": 1, "kept_s": RECOVERY_GRACE_S, "n_doubted": 1}
