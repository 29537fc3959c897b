"""A store and gateways that tell one another of it, one step after the other."""

from collections import deque
from collections.abc import Coroutine, Generator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, Final

import pytest
from result import Err, Ok

from trefoilpaddle.coordination.published import (
    store_feed,
    store_readers,
    store_relay,
    store_view,
)
from trefoilpaddle.coordination.published.published_store import (
    StoreChanges,
    StoreFault,
)
from trefoilpaddle.coordination.published.store_feed import StoreFeed
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.coordination.published.store_readers import (
    N_READERS,
    StoreReaders,
)
from trefoilpaddle.coordination.published.store_relay import StoreRelay
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews, StoreState
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.members import MemberRecord
from trefoilpaddle.transport.connection import Address

from ..chain.fakes import journal, process, worker
from ..chain.test_chain_router import member
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


@dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """What a store held at some moment."""

    revision: int
    version: int
    table_revision: int
    entries: dict[str, Worker]
    events: list[tuple[int, str, Worker | None]]


class Store:
    """Entries and events; an answer tells of the moment at which it was asked."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.version = 1
        self.newest_version = 1
        self.table_revision = 1
        self.entries = {worker_id: worker(worker_id) for worker_id in IDS}
        self.events: list[tuple[int, str, Worker | None]] = []
        self.forgotten = 0
        self.away_from: set[str] = set()

    def publish(self) -> None:
        """Publish the next configuration."""
        self.newest_version += 1
        self.publish_again()

    def publish_again(self) -> None:
        """Write the newest configuration, which a return may have lost."""
        self.version = self.newest_version
        self.revision += 1
        self.table_revision = self.revision

    def copy(self) -> Copy:
        """Return what it holds now."""
        return Copy(
            revision=self.revision,
            version=self.version,
            table_revision=self.table_revision,
            entries=dict(self.entries),
            events=list(self.events),
        )

    def return_from(self, copy: Copy) -> None:
        """Come back with what a copy holds; all that was written since is gone."""
        self.era += 1
        self.revision = copy.revision
        self.version = copy.version
        self.table_revision = copy.table_revision
        self.entries = dict(copy.entries)
        self.events = list(copy.events)
        self.forgotten = min(self.forgotten, copy.revision)

    @property
    def position(self) -> StorePosition:
        """Return where it is."""
        return StorePosition(era=self.era, revision=self.revision)

    def write(self, worker_id: str) -> None:
        """Write an entry; a worker that only says that it lives changes nothing."""
        if worker_id not in self.entries:
            self.put(worker(worker_id))

    def put(self, entry: Worker) -> None:
        """Write an entry, as a worker does with each heartbeat."""
        self.entries[entry.worker_id] = entry
        self._note(entry.worker_id)

    def spoil(self, worker_id: str) -> None:
        """Let another writer overwrite an entry with what names no worker."""
        del self.entries[worker_id]
        self.revision += 1

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
            position=self.position,
            table=published(self.version),
            workers=tuple(self.entries.values()),
        )

    def since(self, after: StorePosition) -> Answer:
        """Return the changes after a revision as the platform's client does."""
        if not self.forgotten <= after.revision <= self.revision:
            if after.era != self.era:
                return Ok(StoreChanges(position=StorePosition(era=self.era)))
            return Err(StoreFault.HISTORY_LOST)
        events = [event for event in self.events if event[0] > after.revision]
        last = {i: entry for _, i, entry in events}
        gone = {i for _, i, entry in events if entry is None}
        return Ok(
            StoreChanges(
                position=self.position,
                table=published(self.version)
                if self.table_revision > after.revision
                else None,
                workers=tuple(entry for entry in last.values() if entry is not None),
                removed=tuple(i for i, entry in last.items() if entry is None),
                relisted=tuple(i for i in gone if last[i] is not None),
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
        self.notes = journal()
        self.n_lists = 0
        self.reading: Coroutine[Any, Any, bool] | None = None
        self.readers = StoreReaders(process=own, live=lambda: self.members)
        self.relay = StoreRelay(process=own, workers=self.workers)
        self.feed = StoreFeed(
            store=self,
            workers=self.workers,
            on_table=lambda _: None,
            journal=self.notes,
            relay=self.relay,
            readers=self.readers,
            query_peers=self._ask,
            decode=lambda data: published(int(data)),
        )

    async def _ask(self) -> list[StoreState]:
        others = [g for g in self.fleet.by_name.values() if g is not self]
        question = self.relay.build_request()
        return [await other.relay.respond(question, Hello()) for other in others]

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

    async def changes(self, after: StorePosition) -> Answer:
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
            self.go_on()

    def go_on(self) -> None:
        """Let the answer come."""
        if self.reading is None:
            return
        try:
            self.reading.send(None)
        except StopIteration as read:
            self.reading = None
            self.readers.record_read(is_answered=bool(read.value))

    def ask_peers(self) -> None:
        """Ask the others, as it does while the store's answer is late."""
        asking = self.feed.read_peers()
        with pytest.raises(StopIteration):
            asking.send(None)

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
        self.copies: list[Copy] = []
        self._least_version = 0
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

    def start_again(self, name: str) -> None:
        """Start a gateway again, which then knows nothing; it has not read yet."""
        self.by_name[name] = Gateway(name, self)

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

    def lose(self, one: str, other: str) -> None:
        """Lose all news on a way."""
        if one != other:
            self.ways[one, other].clear()

    def settle(self) -> None:
        """Mend all, then let time pass and gateways read as their turns say.

        After a return the operator writes again, and the workers twice: the first
        list may not tell what they wrote before it from what the copy had.
        """
        self.store.away_from.clear()
        if self.store.version != self.store.newest_version:
            self.store.publish_again()
        self._write_all()
        for gateway in self.by_name.values():
            gateway.members = list(GROUP)
            while gateway.reading is not None:
                gateway.go_on()
        for number in range(N_ROUNDS):
            if number == 1 and self.store.era:
                self._write_all()
            self.deliver_all()
            self.now_s += store_feed.POLL_S
            for gateway in self.by_name.values():
                gateway.feed.view.listing.remove_expired(self.now_s)
                if not gateway.feed.position.is_known or gateway.readers.must_read():
                    gateway.read()
            self.deliver_all()

    def _write_all(self) -> None:
        for worker_id in IDS:
            if self.store.era:
                self.store.put(worker(worker_id))
            else:
                self.store.write(worker_id)

    def turn(self) -> None:
        """Let both readers read, and all hear of it."""
        self.now_s += store_feed.POLL_S
        for name in NAMES[:N_READERS]:
            self.by_name[name].read()
            self.deliver_all()

    def leave(self, worker_id: str) -> None:
        """Let a worker say that it leaves."""
        self.store.put(replace(worker(worker_id), is_leaving=True))

    def least_version(self) -> int:
        """Return the oldest version that a gateway had in force at the last call."""
        before, self._least_version = self._least_version, min(self.versions().values())
        return before

    def pass_time(self, for_s: float) -> None:
        """Let time pass in which nobody reads."""
        self.now_s += for_s
        for gateway in self.by_name.values():
            gateway.feed.view.listing.remove_expired(self.now_s)

    def versions(self) -> dict[str, int]:
        """Return the version in force at each gateway."""
        return {
            name: 0 if g.relay.published is None else g.relay.published.table.version
            for name, g in self.by_name.items()
        }

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
        for module in (store_feed, store_readers, store_relay, store_view):
            patch.setattr(module, "time", made)
        made.start()
        yield made
