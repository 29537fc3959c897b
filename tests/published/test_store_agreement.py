"""Gateways that exchange updates about the store agree with what it lists."""

from typing import Final

import pytest

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S, ListReason

from .store_fleet import NAMES, WORKER_IDS, started_fleet

TICK_S: Final = 0.05
"""Time between checks; divides all other times here."""


class TestEntryWrittenAgainBetweenReads:
    async def test_a_relisted_worker_is_kept_by_gateways_that_received_its_removal(
        self,
    ) -> None:
        # The store is unavailable, and an entry expires. One reader finds it removed
        # and sends that. Before the other reader reads, the worker has written again,
        # so the other reader finds no change and sends none. Gateways that received
        # both updates were advanced past the change that lists the worker again, and
        # removed it 2.5 s later.
        with started_fleet() as fleet:
            first, other = fleet.by_name["a"], fleet.by_name["b"]
            fleet.store.unavailable_to.update(NAMES)
            for gateway in fleet.by_name.values():
                gateway.read()
            fleet.store.unavailable_to.clear()
            fleet.store.expire("w1")
            first.read()
            fleet.store.write("w1")
            other.read()
            fleet.deliver_all()
            fleet.now_s += RECOVERY_GRACE_S + store_feed.POLL_S
            for gateway in fleet.by_name.values():
                gateway.feed.view.listing.remove_expired(fleet.now_s)
            assert fleet.known() == dict.fromkeys(NAMES, sorted(WORKER_IDS))

    async def test_a_relisted_worker_is_sent_after_a_complete_list(self) -> None:
        # As above, but the store has lost its history: the other reader reads the
        # complete list, which does not show what was removed in between.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            fleet.by_name["a"].read()
            fleet.deliver("a", "d")
            fleet.store.write("w1")
            fleet.store.lose_history()
            fleet.by_name["b"].read()
            fleet.deliver("b", "d")
            assert fleet.known()["d"] == sorted(WORKER_IDS)


class TestLateResponses:
    async def test_a_relisted_worker_is_not_removed(self) -> None:
        # A late response of the store says that an entry has expired. Updates from the
        # other reader have advanced this gateway to where it is listed again. The
        # worker was removed here until the differing lists were read again.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            fleet.by_name["a"].begin()
            fleet.store.write("w1")
            fleet.by_name["b"].read()
            fleet.deliver("b", "a")
            fleet.by_name["a"].resume()
            assert fleet.known()["a"] == sorted(WORKER_IDS)
            fleet.deliver_all()
            assert fleet.known() == dict.fromkeys(NAMES, sorted(WORKER_IDS))

    async def test_a_removed_worker_is_not_listed(self) -> None:
        # The opposite case: the late response lists a worker that updates have removed
        # since. It received work without being listed.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            for name in NAMES:
                fleet.by_name[name].read()
            fleet.deliver_all()
            fleet.store.write("w1")
            fleet.by_name["a"].begin()
            fleet.store.expire("w1")
            fleet.by_name["b"].read()
            fleet.deliver("b", "a")
            fleet.by_name["a"].resume()
            assert fleet.known()["a"] == ["w2", "w3"]


class TestInapplicableUpdates:
    async def test_they_report_that_the_store_was_unavailable(self) -> None:
        # The store is unavailable to the readers, too briefly for the others to notice,
        # and entries expire. An update is lost, so the next one cannot be applied, and
        # the time of the store's recovery was discarded with it. When the gateway read
        # the store itself, it removed the expired entries at once, 2 s before their
        # workers wrote again.
        with started_fleet() as fleet:
            fleet.store.unavailable_to.add("a")
            fleet.by_name["a"].read()
            fleet.store.unavailable_to.clear()
            fleet.store.expire("w2")
            fleet.by_name["a"].read()
            fleet.lose("a", "d")
            fleet.store.expire("w1")
            fleet.by_name["a"].read()
            fleet.deliver("a", "d")
            assert fleet.by_name["d"].readers.must_read()
            fleet.by_name["d"].read()
            assert fleet.known()["d"] == sorted(WORKER_IDS)


class TestDisconnectedReaders:
    async def test_one_reader_does_not_make_others_keep_removed_workers(self) -> None:
        # One reader's read hangs for seconds while those of the other succeed. After
        # that it reported to all that the store had been unavailable, and they kept a
        # worker that had exited.
        with started_fleet() as fleet:
            disconnected, other = fleet.by_name["a"], fleet.by_name["b"]
            fleet.store.unavailable_to.add("a")
            fleet.now_s += store_feed.POLL_S
            disconnected.begin()
            fleet.now_s += store_feed.POLL_S
            other.read()
            fleet.deliver_all()
            disconnected.resume()
            fleet.store.unavailable_to.clear()
            disconnected.read()
            fleet.deliver_all()
            fleet.store.expire("w1")
            other.read()
            fleet.deliver_all()
            assert all(known == ["w2", "w3"] for known in fleet.known().values())

    async def test_both_readers_do_not_either_if_the_store_responds_to_others(
        self,
    ) -> None:
        # They receive no updates then; gateways without updates read the store.
        with started_fleet() as fleet:
            disconnected = [fleet.by_name[name] for name in NAMES[:2]]
            fleet.store.unavailable_to.update(NAMES[:2])
            fleet.now_s += store_feed.POLL_S
            for gateway in disconnected:
                gateway.begin()
            fleet.now_s += store_feed.POLL_S
            fleet.by_name["c"].read()
            for gateway in disconnected:
                gateway.query_peers()
                gateway.resume()
            fleet.store.unavailable_to.clear()
            fleet.store.expire("w1")
            disconnected[0].read()
            fleet.deliver_all()
            assert all(known == ["w2", "w3"] for known in fleet.known().values())


class TestExpiredEntries:
    async def test_a_gateway_in_the_grace_period_does_not_list_again(self) -> None:
        # One gateway is disconnected from the store, the readers are not. An entry
        # expires: the readers remove its worker at once, the disconnected gateway after
        # the grace period of 2.5 s. Equal lists seemed to differ, so 1.2 s later it
        # requested the complete list. It applied no updates until it had the list,
        # which a disconnected gateway does not get.
        with started_fleet() as fleet:
            last = fleet.by_name["d"]
            fleet.store.unavailable_to.add("d")
            last.read()
            fleet.store.unavailable_to.clear()
            last.read()
            fleet.store.unavailable_to.add("d")
            fleet.by_name["a"].read()
            fleet.deliver_all()
            n_lists = last.n_lists
            fleet.store.expire("w1")
            for _ in range(store_view.MAX_DIGEST_MISMATCHES):
                for name in ("a", "b"):
                    fleet.now_s += store_feed.POLL_S / 2
                    fleet.by_name[name].read()
                    fleet.deliver_all()
            assert last.feed.position.revision == fleet.store.revision
            assert last.n_lists == n_lists
            fleet.now_s += RECOVERY_GRACE_S
            last.feed.view.listing.remove_expired(fleet.now_s)
            assert all(known == ["w2", "w3"] for known in fleet.known().values())

    async def test_a_list_requested_in_the_grace_period_loses_no_worker(self) -> None:
        # As above, but the disconnected gateway is a reader. Its list differs from the
        # other reader's for 2.5 s. It requests the complete list while a read of
        # changes is outstanding. The response, a single worker that is listed again,
        # was taken for the list, and the removal of all other workers was sent to the
        # other gateways. As all of them agreed, and no entry changed any more, the
        # workers were missing until the gateways restarted.
        with started_fleet() as fleet:
            first, other = fleet.by_name["a"], fleet.by_name["b"]
            fleet.store.unavailable_to.add("b")
            other.read()
            fleet.store.unavailable_to.clear()
            other.read()
            for name in NAMES:
                fleet.lose("b", name)
            first.read()
            fleet.deliver_all()
            fleet.store.expire("w1")
            for left in reversed(range(store_view.MAX_DIGEST_MISMATCHES)):
                fleet.now_s += store_feed.POLL_S / 2
                first.read()
                if not left:
                    fleet.store.write("w1")
                    other.begin()
                fleet.deliver_all()
            other.resume()
            fleet.settle()
            assert fleet.known() == dict.fromkeys(NAMES, sorted(WORKER_IDS))


class TestReads:
    @pytest.mark.parametrize("answer_s", [0.0, 0.25])
    @pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.3])
    async def test_only_two_gateways_read(
        self, answer_s: float, phase_s: float
    ) -> None:
        # Each read has a cost. With updates in time no gateway reads except the two
        # readers, whether they read at the same moment or alternately, however long
        # the store takes, and while entries expire and are written again.
        with started_fleet() as fleet:
            readers = {"a": fleet.now_s, "b": fleet.now_s + phase_s}
            answers: dict[str, float] = {}
            n_lists = {name: each.n_lists for name, each in fleet.by_name.items()}
            for tick in range(100):
                fleet.now_s += TICK_S
                if tick % 7 == 0:
                    fleet.store.expire(WORKER_IDS[tick % len(WORKER_IDS)])
                if tick % 11 == 0:
                    fleet.store.write(WORKER_IDS[tick % len(WORKER_IDS)])
                for name, due_s in list(answers.items()):
                    if due_s <= fleet.now_s:
                        fleet.by_name[name].read()
                        fleet.deliver_all()
                        del answers[name]
                for name, due_s in list(readers.items()):
                    if due_s <= fleet.now_s:
                        fleet.by_name[name].begin()
                        readers[name] += store_feed.POLL_S
                        answers[name] = fleet.now_s + answer_s
                for name in ("c", "d"):
                    fleet.by_name[name].feed.view.listing.remove_expired(fleet.now_s)
                    assert not fleet.by_name[name].readers.must_read()
            assert {
                name: each.n_lists for name, each in fleet.by_name.items()
            } == n_lists


class TestPeerQueries:
    async def test_a_worker_in_its_grace_period_is_not_taken_as_listed(self) -> None:
        # The store is unavailable, and an entry expires. The store recovers for one
        # gateway, which gives the entry its grace period. Another gateway, still
        # disconnected, queries the first. It received the worker like all others and
        # kept it until some update showed that their lists differ.
        with started_fleet() as fleet:
            first, last = fleet.by_name["a"], fleet.by_name["d"]
            fleet.store.unavailable_to.update(NAMES)
            first.read()
            fleet.store.expire("w1")
            fleet.store.unavailable_to.remove("a")
            first.read()
            for one, other in fleet.in_transit:
                fleet.lose(one, other)
            last.read()
            assert fleet.known()["d"] == sorted(WORKER_IDS)
            fleet.now_s += RECOVERY_GRACE_S
            for gateway in (first, last):
                gateway.feed.view.listing.remove_expired(fleet.now_s)
            assert fleet.known()["a"] == ["w2", "w3"]
            assert fleet.known()["d"] == ["w2", "w3"]

    async def test_a_list_that_arrives_after_a_peer_state_removes_no_worker(
        self,
    ) -> None:
        # The store has lost its history and responds slowly. A gateway requests the
        # complete list, and meanwhile queries peers, which know of later changes. The
        # store's list arrives last and is ignored. If it were taken for an empty one,
        # every worker would be removed.
        with started_fleet() as fleet:
            first, last = fleet.by_name["a"], fleet.by_name["d"]
            fleet.store.expire("w1")
            fleet.store.write("w1")
            fleet.store.lose_history()
            last.begin()
            last.resume()
            assert last.n_lists == 2
            fleet.store.expire("w3")
            first.read()
            last.query_peers()
            assert fleet.known()["d"] == ["w1", "w2"]
            last.resume()
            assert fleet.known()["d"] == ["w1", "w2"]
            fleet.settle()
            assert fleet.known() == dict.fromkeys(NAMES, sorted(WORKER_IDS))

    async def test_a_peer_list_older_than_the_known_position_is_ignored(self) -> None:
        # Lists differ, and a disconnected gateway needs the complete list. A peer has
        # not read for a while: its list contains a worker that was removed, and the
        # changes that the store returns next are later than the removal.
        with started_fleet() as fleet:
            last = fleet.by_name["d"]
            fleet.store.expire("w1")
            last.read()
            last.feed.view.request_list(ListReason.DIGEST_MISMATCH)
            last.query_peers()
            assert fleet.known()["d"] == ["w2", "w3"]
            assert last.feed.position.revision == 0
            fleet.by_name["a"].read()
            last.query_peers()
            assert fleet.known()["d"] == ["w2", "w3"]
            assert last.feed.position.revision == fleet.store.revision
