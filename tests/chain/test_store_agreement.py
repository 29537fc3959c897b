"""Gateways that tell one another of the store end with what it lists."""

from collections import deque
from collections.abc import Callable, Coroutine, Generator, Iterator
from contextlib import contextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, Final

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from trefoilpaddle.coordination.chain import store_feed, store_readers
from trefoilpaddle.coordination.chain.published_store import StoreChanges, StoreFault
from trefoilpaddle.coordination.chain.store_feed import LAPSE_S, StoreFeed
from trefoilpaddle.coordination.chain.store_readers import StoreReaders
from trefoilpaddle.coordination.chain.store_relay import StoreRelay
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews, StoreState
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.members import MemberRecord
from trefoilpaddle.transport.connection import Address

from .fakes import journal, process, worker
from .test_chain_router import member
from .test_store_feed import Answer, published

IDS: Final = ("w1", "w2", "w3")
NAMES: Final = ("a", "b", "c", "d")
"""Gateways in the order in which they read for the others."""

PORTS: Final = {name: number for number, name in enumerate(NAMES, 1)}
GROUP: Final = [
    replace(member(name, number), address=f"127.0.0.1:{number}")
    for name, number in PORTS.items()
]
N_ROUNDS: Final = 16
"""Rounds of reading after the last fault; twice what lists made anew take."""


class Held:
    """Waits until the one who drives the read goes on with it."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class Store:
    """Entries and events; an answer tells of the moment at which it was asked."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries = {worker_id: worker(worker_id) for worker_id in IDS}
        self.events: list[tuple[int, str, Worker | None]] = []
        self.forgotten = 0
        self.away_from: set[str] = set()

    def write(self, worker_id: str) -> None:
        """Write an entry; a worker that only says that it lives changes nothing."""
        if worker_id not in self.entries:
            self.entries[worker_id] = worker(worker_id)
            self._note(worker_id)

    def lapse(self, worker_id: str) -> None:
        """Remove an entry that ran out."""
        if self.entries.pop(worker_id, None) is not None:
            self._note(worker_id)

    def forget(self) -> None:
        """Lose the history."""
        self.forgotten = self.revision
        self.events.clear()

    def _note(self, worker_id: str) -> None:
        self.revision += 1
        self.events.append((self.revision, worker_id, self.entries.get(worker_id)))

    def listed(self) -> StoreChanges:
        """Return all entries."""
        return StoreChanges(
            revision=self.revision,
            table=published(1),
            workers=tuple(self.entries.values()),
        )

    def since(self, after: int) -> Answer:
        """Return the changes after a revision as the platform's client does."""
        if after < self.forgotten:
            return Err(StoreFault.HISTORY_LOST)
        events = [event for event in self.events if event[0] > after]
        last = {i: entry for _, i, entry in events}
        gone = {i for _, i, entry in events if entry is None}
        return Ok(
            StoreChanges(
                revision=self.revision,
                workers=tuple(entry for entry in last.values() if entry is not None),
                removed=tuple(i for i, entry in last.items() if entry is None),
                returned=tuple(i for i in gone if last[i] is not None),
            )
        )


class Gateway:
    """One gateway's feed; it reads when it is told to, in two steps."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        own = process(name)
        own.peers = SimpleNamespace(link=self._link)  # type: ignore[assignment]
        self.name = name
        self.fleet = fleet
        self.members: list[MemberRecord] = list(GROUP)
        self.workers = WorkerTable()
        self.n_lists = 0
        self.reading: Coroutine[Any, Any, bool] | None = None
        self.readers = StoreReaders(process=own, live=lambda: self.members)
        self.feed = StoreFeed(
            store=self,
            workers=self.workers,
            on_table=lambda _: None,
            journal=journal(),
            relay=StoreRelay(process=own, workers=self.workers),
            readers=self.readers,
            ask_peers=self._ask,
            decode=lambda data: published(int(data)),
        )

    async def _ask(self) -> list[StoreState]:
        return []

    def _link(self, address: Address) -> SimpleNamespace:
        other = NAMES[address.port - 1]
        way = self.fleet.ways[self.name, other]
        return SimpleNamespace(send=way.append)

    async def snapshot(self) -> Answer:
        """Return all entries as they are when asked."""
        self.n_lists += 1
        answer: Answer = Ok(self.fleet.store.listed())
        await Held()
        return self._unless_away(answer)

    async def changes(self, after: int) -> Answer:
        """Return the changes as they are when asked."""
        answer = self.fleet.store.since(after)
        await Held()
        return self._unless_away(answer)

    def _unless_away(self, answer: Answer) -> Answer:
        if self.name in self.fleet.store.away_from:
            return Err(StoreFault.SILENT)
        return answer

    def begin(self) -> None:
        """Ask the store, unless an answer is on its way."""
        if self.reading is None:
            self.reading = self.feed._read_any()
            self.reading.send(None)

    def go_on(self) -> None:
        """Let the answer come."""
        if self.reading is None:
            return
        try:
            self.reading.send(None)
        except StopIteration:
            self.reading = None
            self.readers.note_read()

    def read(self) -> None:
        """Read to the end."""
        self.begin()
        while self.reading is not None:
            self.go_on()


class Fleet:
    """A store and four gateways; nothing happens but what a test says."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.store = Store()
        self.ways: dict[tuple[str, str], deque[StoreNews]] = {
            (one, other): deque() for one in NAMES for other in NAMES if one != other
        }
        self.by_name = {name: Gateway(name, self) for name in NAMES}

    def monotonic(self) -> float:
        """Return the time of all gateways."""
        return self.now_s

    def start(self) -> None:
        """Let all read once, and hear of it."""
        for gateway in self.by_name.values():
            gateway.read()
        self.deliver_all()

    def deliver(self, one: str, other: str) -> None:
        """Let the oldest news on a way arrive."""
        if self.ways[one, other]:
            news = self.ways[one, other].popleft()
            self.by_name[other].readers._on_message(None, news)  # type: ignore[arg-type]

    def deliver_all(self) -> None:
        """Let all news arrive, oldest first on each way."""
        for one, other in self.ways:
            while self.ways[one, other]:
                self.deliver(one, other)

    def settle(self) -> None:
        """Mend all, then let time pass and gateways read as their turns say."""
        self.store.away_from.clear()
        for worker_id in IDS:
            self.store.write(worker_id)
        for gateway in self.by_name.values():
            gateway.members = list(GROUP)
            while gateway.reading is not None:
                gateway.go_on()
        for _ in range(N_ROUNDS):
            self.deliver_all()
            self.now_s += store_feed.POLL_S
            for gateway in self.by_name.values():
                gateway.feed._drop_lapsed(self.now_s)
                if not gateway.feed.revision or gateway.readers.must_read():
                    gateway.read()
            self.deliver_all()

    def known(self) -> dict[str, list[str]]:
        """Return the workers that each gateway has."""
        return {
            name: sorted(gateway.workers.ids())
            for name, gateway in self.by_name.items()
        }


@contextmanager
def fleet() -> Iterator[Fleet]:
    """Yield gateways that have all read the store, on a clock of their own."""
    made = Fleet()
    with pytest.MonkeyPatch.context() as patch:
        for module in (store_feed, store_readers):
            patch.setattr(module, "time", made)
        made.start()
        yield made


TICK_S: Final = 0.05
"""Time that passes between looks; a part of all times here."""

Step = Callable[[Fleet], None]


def step(name: str, do: Callable[..., object], *args: object) -> Step:
    def run(made: Fleet) -> None:
        do(made, *args)

    run.__qualname__ = f"{name}{args}"
    return run


names = st.sampled_from(NAMES)
ids = st.sampled_from(IDS)


def _hide(made: Fleet, name: str, hidden: str) -> None:
    """Let a gateway take another for gone, so that it may read for the others."""
    made.by_name[name].members = [m for m in GROUP if m.process_id != hidden]


def _pass(made: Fleet, for_s: float) -> None:
    made.now_s += for_s
    for gateway in made.by_name.values():
        gateway.feed._drop_lapsed(made.now_s)


def _lose(made: Fleet, one: str, other: str) -> None:
    if one != other:
        made.ways[one, other].clear()


def _deliver(made: Fleet, one: str, other: str) -> None:
    if one != other:
        made.deliver(one, other)


def _turn(made: Fleet, name: str) -> None:
    """Let a gateway read and all hear of it, as on a day without faults."""
    made.now_s += store_feed.POLL_S / 2
    made.by_name[name].read()
    made.deliver_all()


STEPS: Final = st.one_of(
    names.map(lambda n: step("turn", _turn, n)),
    ids.map(lambda i: step("lapse", lambda made, i: made.store.lapse(i), i)),
    ids.map(lambda i: step("write", lambda made, i: made.store.write(i), i)),
    names.map(lambda n: step("begin", lambda made, n: made.by_name[n].begin(), n)),
    names.map(lambda n: step("go_on", lambda made, n: made.by_name[n].go_on(), n)),
    names.map(lambda n: step("read", lambda made, n: made.by_name[n].read(), n)),
    st.tuples(names, names).map(lambda way: step("deliver", _deliver, *way)),
    st.tuples(names, names).map(lambda way: step("lose", _lose, *way)),
    st.tuples(names, names).map(lambda two: step("hide", _hide, *two)),
    st.sampled_from((0.2, 0.6, LAPSE_S)).map(lambda s: step("pass", _pass, s)),
    st.just(step("forget", lambda made: made.store.forget())),
    names.map(lambda n: step("away", lambda made, n: made.store.away_from.add(n), n)),
    st.just(step("back", lambda made: made.store.away_from.clear())),
)


class TestAnySchedule:
    @settings(
        max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
    )
    @given(steps=st.lists(STEPS, max_size=40), n_differing=st.sampled_from((1, 4)))
    def test_all_end_with_what_the_store_lists(
        self, steps: list[Step], n_differing: int
    ) -> None:
        # Entries run out and come back, answers and news are late or lost, the
        # store is away from some or forgets, and who reads changes. None of it
        # may take a worker away for good: its entry does not change any more. One
        # difference is enough here for a list anew, so that short schedules have
        # lists that are asked for while answers and news are on their way.
        with fleet() as made, pytest.MonkeyPatch.context() as patch:
            patch.setattr(store_feed, "MAX_DIFFERING", n_differing)
            for do in steps:
                do(made)
            made.settle()
            assert made.known() == dict.fromkeys(NAMES, sorted(IDS))


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
            made.now_s += LAPSE_S + store_feed.POLL_S
            for gateway in made.by_name.values():
                gateway.feed._drop_lapsed(made.now_s)
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
            _lose(made, "a", "d")
            made.store.lapse("w1")
            made.by_name["a"].read()
            made.deliver("a", "d")
            assert made.by_name["d"].readers.must_read()
            made.by_name["d"].read()
            assert made.known()["d"] == sorted(IDS)


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
            made.by_name["a"].read()
            made.deliver_all()
            n_lists = last.n_lists
            made.store.lapse("w1")
            for _ in range(store_feed.MAX_DIFFERING):
                for name in ("a", "b"):
                    made.now_s += store_feed.POLL_S / 2
                    made.by_name[name].read()
                    made.deliver_all()
            assert last.feed.revision == made.store.revision
            assert last.n_lists == n_lists
            made.now_s += LAPSE_S
            last.feed._drop_lapsed(made.now_s)
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
            first.read()
            made.deliver_all()
            made.store.away_from.clear()
            made.store.lapse("w1")
            for left in reversed(range(store_feed.MAX_DIFFERING)):
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
                    made.by_name[name].feed._drop_lapsed(made.now_s)
                    assert not made.by_name[name].readers.must_read()
            assert {
                name: each.n_lists for name, each in made.by_name.items()
            } == n_lists
