"""Gateways that tell one another of the store end with what it lists."""

from typing import Final

import pytest

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S, ListReason

from .store_fleet import GATEWAY_NAMES, WORKER_IDS, started_fleet

TICK_S: Final = 0.05
"""Time that passes between looks; a part of all times here."""


class TestBackBetweenTwoReads:
    async def test_a_worker_that_is_back_is_not_dropped_by_who_heard_of_its_end(
        self,
    ) -> None:
        # The store is away, and an entry runs out. One reader finds it gone and
        # says so. Before the other reads, the worker has written again, so the
        # other finds nothing new and says just that. Everybody who heard both was
        # led past the change that brings it back, and dropped it 2.5 s later.
        with started_fleet() as fleet:
            first, other = fleet.by_name["a"], fleet.by_name["b"]
            fleet.store.unavailable_to.update(GATEWAY_NAMES)
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
            assert fleet.known() == dict.fromkeys(GATEWAY_NAMES, sorted(WORKER_IDS))

    async def test_it_is_named_after_a_whole_list(self) -> None:
        # The same while the store has lost its history: the other reads the whole
        # list, which does not tell what was gone meanwhile.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            fleet.by_name["a"].read()
            fleet.deliver("a", "d")
            fleet.store.write("w1")
            fleet.store.lose_history()
            fleet.by_name["b"].read()
            fleet.deliver("b", "d")
            assert fleet.known()["d"] == sorted(WORKER_IDS)


class TestLateAnswers:
    async def test_a_worker_that_is_back_is_not_dropped(self) -> None:
        # A read is answered late: it says that an entry ran out. Meanwhile the
        # other reader's news have led this gateway to where it is back. The
        # worker was dropped here until lists that differ were made anew.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            fleet.by_name["a"].begin()
            fleet.store.write("w1")
            fleet.by_name["b"].read()
            fleet.deliver("b", "a")
            fleet.by_name["a"].resume()
            assert fleet.known()["a"] == sorted(WORKER_IDS)
            fleet.deliver_all()
            assert fleet.known() == dict.fromkeys(GATEWAY_NAMES, sorted(WORKER_IDS))

    async def test_a_worker_that_is_gone_is_not_listed(self) -> None:
        # The other way about: the late answer says that a worker is there, which
        # the news have taken away since. It got work without being listed.
        with started_fleet() as fleet:
            fleet.store.expire("w1")
            for name in GATEWAY_NAMES:
                fleet.by_name[name].read()
            fleet.deliver_all()
            fleet.store.write("w1")
            fleet.by_name["a"].begin()
            fleet.store.expire("w1")
            fleet.by_name["b"].read()
            fleet.deliver("b", "a")
            fleet.by_name["a"].resume()
            assert fleet.known()["a"] == ["w2", "w3"]


class TestRefusedNews:
    async def test_they_tell_that_the_store_was_away(self) -> None:
        # The store is away for the readers, too shortly for the others to notice,
        # and entries run out. News are lost, so the next cannot be used; and with
        # them went the time of the store's return. Read by the gateway itself, the
        # entries counted as gone at once, 2 s before they were back.
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


class TestCutOffAlone:
    async def test_a_reader_does_not_make_the_others_keep_who_is_gone(self) -> None:
        # Its read hangs for seconds while the other reader's are answered. Back, it
        # told all that the store had been away, and they kept a worker that had gone.
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

    async def test_nor_do_both_readers_where_the_store_answers_others(self) -> None:
        # Nobody tells them of it then; those that are not told read by themselves.
        with started_fleet() as fleet:
            disconnected = [fleet.by_name[name] for name in GATEWAY_NAMES[:2]]
            fleet.store.unavailable_to.update(GATEWAY_NAMES[:2])
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


class TestLapsedEntries:
    async def test_who_waits_for_their_return_lists_nothing_anew(self) -> None:
        # One gateway was cut off from the store, the readers were not. An entry
        # runs out: the readers drop its worker at once, the one cut off gives it
        # 2.5 s. Lists that were the same seemed to differ, and 1.2 s later it asked
        # for all of them. It took no news until it had it; cut off, it had none.
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

    async def test_a_list_asked_for_in_these_seconds_loses_no_worker(self) -> None:
        # As above, but the one that was cut off reads for the others. Its list
        # differs from the other reader's for 2.5 s. It asks for all of it while a
        # read is on its way; that answer, one worker that is back, was taken for the
        # list. It told the others that all the rest are gone, and as all agreed,
        # and no entry changed any more, none came back until all restarted.
        with started_fleet() as fleet:
            first, other = fleet.by_name["a"], fleet.by_name["b"]
            fleet.store.unavailable_to.add("b")
            other.read()
            fleet.store.unavailable_to.clear()
            other.read()
            for name in GATEWAY_NAMES:
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
            assert fleet.known() == dict.fromkeys(GATEWAY_NAMES, sorted(WORKER_IDS))


class TestReads:
    @pytest.mark.parametrize("answer_s", [0.0, 0.25])
    @pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.3])
    async def test_two_read_for_all(self, answer_s: float, phase_s: float) -> None:
        # Each read is paid for. With news that are in time nobody reads beside the
        # two, whether they read at the same moment or in turn, and however long the
        # store takes; also while entries run out and come back.
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


class TestAskedPeers:
    async def test_a_worker_that_may_come_back_is_not_taken_as_listed(self) -> None:
        # The store is away, and an entry runs out. It is back for one gateway,
        # which gives that entry its seconds to come back. Another, still cut off,
        # asks the first, and was told of the worker as of all others: it kept it
        # for good, until some news showed that their lists differ.
        with started_fleet() as fleet:
            first, last = fleet.by_name["a"], fleet.by_name["d"]
            fleet.store.unavailable_to.update(GATEWAY_NAMES)
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

    async def test_a_whole_list_that_comes_after_theirs_drops_nobody(self) -> None:
        # The store has lost its history and answers slowly. A gateway asks for the
        # whole list, and peers meanwhile, who know of later changes. The store's
        # list comes last and is passed over; taken for an empty one, it would drop
        # every worker.
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
            assert fleet.known() == dict.fromkeys(GATEWAY_NAMES, sorted(WORKER_IDS))

    async def test_their_list_must_not_be_from_before_what_is_known(self) -> None:
        # Lists differ, and a gateway that is cut off needs the whole list. A peer
        # has not read for a while: in its list a worker is there that is gone, and
        # what the store tells next leads on from after its end.
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
