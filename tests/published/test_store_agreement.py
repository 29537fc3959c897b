"""Gateways that tell one another of the store end with what it lists."""

from typing import Final

import pytest

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S, ListReason

from .store_fleet import IDS, NAMES, fleet

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
        with fleet() as made:
            first, other = made.by_name["a"], made.by_name["b"]
            made.store.away_from.update(NAMES)
            for gateway in made.by_name.values():
                gateway.read()
            made.store.away_from.clear()
            made.store.lapse("w1")
            first.read()
            made.store.write("w1")
            other.read()
            made.deliver_all()
            made.now_s += RECOVERY_GRACE_S + store_feed.POLL_S
            for gateway in made.by_name.values():
                gateway.feed.view.listing.remove_expired(made.now_s)
            assert made.known() == dict.fromkeys(NAMES, sorted(IDS))

    async def test_it_is_named_after_a_whole_list(self) -> None:
        # The same while the store has lost its history: the other reads the whole
        # list, which does not tell what was gone meanwhile.
        with fleet() as made:
            made.store.lapse("w1")
            made.by_name["a"].read()
            made.deliver("a", "d")
            made.store.write("w1")
            made.store.forget()
            made.by_name["b"].read()
            made.deliver("b", "d")
            assert made.known()["d"] == sorted(IDS)


class TestLateAnswers:
    async def test_a_worker_that_is_back_is_not_dropped(self) -> None:
        # A read is answered late: it says that an entry ran out. Meanwhile the
        # other reader's news have led this gateway to where it is back. The
        # worker was dropped here until lists that differ were made anew.
        with fleet() as made:
            made.store.lapse("w1")
            made.by_name["a"].begin()
            made.store.write("w1")
            made.by_name["b"].read()
            made.deliver("b", "a")
            made.by_name["a"].go_on()
            assert made.known()["a"] == sorted(IDS)
            made.deliver_all()
            assert made.known() == dict.fromkeys(NAMES, sorted(IDS))

    async def test_a_worker_that_is_gone_is_not_listed(self) -> None:
        # The other way about: the late answer says that a worker is there, which
        # the news have taken away since. It got work without being listed.
        with fleet() as made:
            made.store.lapse("w1")
            for name in NAMES:
                made.by_name[name].read()
            made.deliver_all()
            made.store.write("w1")
            made.by_name["a"].begin()
            made.store.lapse("w1")
            made.by_name["b"].read()
            made.deliver("b", "a")
            made.by_name["a"].go_on()
            assert made.known()["a"] == ["w2", "w3"]


class TestRefusedNews:
    async def test_they_tell_that_the_store_was_away(self) -> None:
        # The store is away for the readers, too shortly for the others to notice,
        # and entries run out. News are lost, so the next cannot be used; and with
        # them went the time of the store's return. Read by the gateway itself, the
        # entries counted as gone at once, 2 s before they were back.
        with fleet() as made:
            made.store.away_from.add("a")
            made.by_name["a"].read()
            made.store.away_from.clear()
            made.store.lapse("w2")
            made.by_name["a"].read()
            made.lose("a", "d")
            made.store.lapse("w1")
            made.by_name["a"].read()
            made.deliver("a", "d")
            assert made.by_name["d"].readers.must_read()
            made.by_name["d"].read()
            assert made.known()["d"] == sorted(IDS)


class TestCutOffAlone:
    async def test_a_reader_does_not_make_the_others_keep_who_is_gone(self) -> None:
        # Its read hangs for seconds while the other reader's are answered. Back, it
        # told all that the store had been away, and they kept a worker that had gone.
        with fleet() as made:
            cut_off, other = made.by_name["a"], made.by_name["b"]
            made.store.away_from.add("a")
            made.now_s += store_feed.POLL_S
            cut_off.begin()
            made.now_s += store_feed.POLL_S
            other.read()
            made.deliver_all()
            cut_off.go_on()
            made.store.away_from.clear()
            cut_off.read()
            made.deliver_all()
            made.store.lapse("w1")
            other.read()
            made.deliver_all()
            assert all(known == ["w2", "w3"] for known in made.known().values())

    async def test_nor_do_both_readers_where_the_store_answers_others(self) -> None:
        # Nobody tells them of it then; those that are not told read by themselves.
        with fleet() as made:
            cut_off = [made.by_name[name] for name in NAMES[:2]]
            made.store.away_from.update(NAMES[:2])
            made.now_s += store_feed.POLL_S
            for gateway in cut_off:
                gateway.begin()
            made.now_s += store_feed.POLL_S
            made.by_name["c"].read()
            for gateway in cut_off:
                gateway.ask_peers()
                gateway.go_on()
            made.store.away_from.clear()
            made.store.lapse("w1")
            cut_off[0].read()
            made.deliver_all()
            assert all(known == ["w2", "w3"] for known in made.known().values())


class TestLapsedEntries:
    async def test_who_waits_for_their_return_lists_nothing_anew(self) -> None:
        # One gateway was cut off from the store, the readers were not. An entry
        # runs out: the readers drop its worker at once, the one cut off gives it
        # 2.5 s. Lists that were the same seemed to differ, and 1.2 s later it asked
        # for all of them. It took no news until it had it; cut off, it had none.
        with fleet() as made:
            last = made.by_name["d"]
            made.store.away_from.add("d")
            last.read()
            made.store.away_from.clear()
            last.read()
            made.store.away_from.add("d")
            made.by_name["a"].read()
            made.deliver_all()
            n_lists = last.n_lists
            made.store.lapse("w1")
            for _ in range(store_view.MAX_DIGEST_MISMATCHES):
                for name in ("a", "b"):
                    made.now_s += store_feed.POLL_S / 2
                    made.by_name[name].read()
                    made.deliver_all()
            assert last.feed.position.revision == made.store.revision
            assert last.n_lists == n_lists
            made.now_s += RECOVERY_GRACE_S
            last.feed.view.listing.remove_expired(made.now_s)
            assert all(known == ["w2", "w3"] for known in made.known().values())

    async def test_a_list_asked_for_in_these_seconds_loses_no_worker(self) -> None:
        # As above, but the one that was cut off reads for the others. Its list
        # differs from the other reader's for 2.5 s. It asks for all of it while a
        # read is on its way; that answer, one worker that is back, was taken for the
        # list. It told the others that all the rest are gone, and as all agreed,
        # and no entry changed any more, none came back until all restarted.
        with fleet() as made:
            first, other = made.by_name["a"], made.by_name["b"]
            made.store.away_from.add("b")
            other.read()
            made.store.away_from.clear()
            other.read()
            for name in NAMES:
                made.lose("b", name)
            first.read()
            made.deliver_all()
            made.store.lapse("w1")
            for left in reversed(range(store_view.MAX_DIGEST_MISMATCHES)):
                made.now_s += store_feed.POLL_S / 2
                first.read()
                if not left:
                    made.store.write("w1")
                    other.begin()
                made.deliver_all()
            other.go_on()
            made.settle()
            assert made.known() == dict.fromkeys(NAMES, sorted(IDS))


class TestReads:
    @pytest.mark.parametrize("answer_s", [0.0, 0.25])
    @pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.3])
    async def test_two_read_for_all(self, answer_s: float, phase_s: float) -> None:
        # Each read is paid for. With news that are in time nobody reads beside the
        # two, whether they read at the same moment or in turn, and however long the
        # store takes; also while entries run out and come back.
        with fleet() as made:
            readers = {"a": made.now_s, "b": made.now_s + phase_s}
            answers: dict[str, float] = {}
            n_lists = {name: each.n_lists for name, each in made.by_name.items()}
            for tick in range(100):
                made.now_s += TICK_S
                if tick % 7 == 0:
                    made.store.lapse(IDS[tick % len(IDS)])
                if tick % 11 == 0:
                    made.store.write(IDS[tick % len(IDS)])
                for name, due_s in list(answers.items()):
                    if due_s <= made.now_s:
                        made.by_name[name].read()
                        made.deliver_all()
                        del answers[name]
                for name, due_s in list(readers.items()):
                    if due_s <= made.now_s:
                        made.by_name[name].begin()
                        readers[name] += store_feed.POLL_S
                        answers[name] = made.now_s + answer_s
                for name in ("c", "d"):
                    made.by_name[name].feed.view.listing.remove_expired(made.now_s)
                    assert not made.by_name[name].readers.must_read()
            assert {
                name: each.n_lists for name, each in made.by_name.items()
            } == n_lists


class TestAskedPeers:
    async def test_a_worker_that_may_come_back_is_not_taken_as_listed(self) -> None:
        # The store is away, and an entry runs out. It is back for one gateway,
        # which gives that entry its seconds to come back. Another, still cut off,
        # asks the first, and was told of the worker as of all others: it kept it
        # for good, until some news showed that their lists differ.
        with fleet() as made:
            first, last = made.by_name["a"], made.by_name["d"]
            made.store.away_from.update(NAMES)
            first.read()
            made.store.lapse("w1")
            made.store.away_from.remove("a")
            first.read()
            for one, other in made.ways:
                made.lose(one, other)
            last.read()
            assert made.known()["d"] == sorted(IDS)
            made.now_s += RECOVERY_GRACE_S
            for gateway in (first, last):
                gateway.feed.view.listing.remove_expired(made.now_s)
            assert made.known()["a"] == ["w2", "w3"]
            assert made.known()["d"] == ["w2", "w3"]

    async def test_a_whole_list_that_comes_after_theirs_drops_nobody(self) -> None:
        # The store has lost its history and answers slowly. A gateway asks for the
        # whole list, and peers meanwhile, who know of later changes. The store's
        # list comes last and is passed over; taken for an empty one, it would drop
        # every worker.
        with fleet() as made:
            first, last = made.by_name["a"], made.by_name["d"]
            made.store.lapse("w1")
            made.store.write("w1")
            made.store.forget()
            last.begin()
            last.go_on()
            assert last.n_lists == 2
            made.store.lapse("w3")
            first.read()
            last.ask_peers()
            assert made.known()["d"] == ["w1", "w2"]
            last.go_on()
            assert made.known()["d"] == ["w1", "w2"]
            made.settle()
            assert made.known() == dict.fromkeys(NAMES, sorted(IDS))

    async def test_their_list_must_not_be_from_before_what_is_known(self) -> None:
        # Lists differ, and a gateway that is cut off needs the whole list. A peer
        # has not read for a while: in its list a worker is there that is gone, and
        # what the store tells next leads on from after its end.
        with fleet() as made:
            last = made.by_name["d"]
            made.store.lapse("w1")
            last.read()
            last.feed.view.request_list(ListReason.DIGEST_MISMATCH)
            last.ask_peers()
            assert made.known()["d"] == ["w2", "w3"]
            assert last.feed.position.revision == 0
            made.by_name["a"].read()
            last.ask_peers()
            assert made.known()["d"] == ["w2", "w3"]
            assert last.feed.position.revision == made.store.revision
