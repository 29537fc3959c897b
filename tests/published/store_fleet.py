"""A store and gateways that exchange updates, driven step by step by a test."""

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

WORKER_IDS: Final = ("w1", "w2", "w3")
NAMES: Final = ("a", "b", "c", "d")
"""Gateways in the order in which they become readers."""

PORTS: Final = {name: number for number, name in enumerate(NAMES, 1)}
GROUP: Final = [
    replace(member(name, number), address=f"127.0.0.1:{number}")
    for name, number in PORTS.items()
]
N_ROUNDS: Final = 16
"""Rounds of reads after the last fault; twice what reading lists again takes."""


class Suspension:
    """Suspends a read until the test resumes it."""

    def __await__(self) -> Generator[None, None, None]:
        yield


@dataclass(frozen=True, slots=True, kw_only=True)
class Backup:
    """The content of a store at one moment."""

    revision: int
    version: int
    table_revision: int
    entries: dict[str, Worker]
    events: list[tuple[int, str, Worker | None]]


class Store:
    """Entries and events; a response shows the moment at which it was requested."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.version = 1
        self.newest_version = 1
        self.table_revision = 1
        self.entries = {worker_id: worker(worker_id) for worker_id in WORKER_IDS}
        self.events: list[tuple[int, str, Worker | None]] = []
        self.history_lost_until = 0
        self.unavailable_to: set[str] = set()

    def publish(self) -> None:
        """Publish the next configuration."""
        self.newest_version += 1
        self.publish_again()

    def publish_again(self) -> None:
        """Write the newest configuration, which a restore may have reverted."""
        self.version = self.newest_version
        self.revision += 1
        self.table_revision = self.revision

    def back_up(self) -> Backup:
        """Return a backup of the current content."""
        return Backup(
            revision=self.revision,
            version=self.version,
            table_revision=self.table_revision,
            entries=dict(self.entries),
            events=list(self.events),
        )

    def restore_from(self, backup: Backup) -> None:
        """Restore the content of a backup; everything written since is lost."""
        self.era += 1
        self.revision = backup.revision
        self.version = backup.version
        self.table_revision = backup.table_revision
        self.entries = dict(backup.entries)
        self.events = list(backup.events)
        self.history_lost_until = min(self.history_lost_until, backup.revision)

    @property
    def position(self) -> StorePosition:
        """Return the current position."""
        return StorePosition(era=self.era, revision=self.revision)

    def write(self, worker_id: str) -> None:
        """Write an entry if it is not listed; a plain heartbeat changes nothing."""
        if worker_id not in self.entries:
            self.put(worker(worker_id))

    def put(self, entry: Worker) -> None:
        """Write an entry, as a worker does with each heartbeat."""
        self.entries[entry.worker_id] = entry
        self._record(entry.worker_id)

    def overwrite(self, worker_id: str) -> None:
        """Let another writer overwrite an entry with one that names no worker."""
        del self.entries[worker_id]
        self.revision += 1

    def expire(self, worker_id: str) -> None:
        """Remove an entry that has expired."""
        if self.entries.pop(worker_id, None) is not None:
            self._record(worker_id)

    def lose_history(self) -> None:
        """Drop the history of changes."""
        self.history_lost_until = self.revision
        self.events.clear()

    def _record(self, worker_id: str) -> None:
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
        """Return the changes after a revision, as the platform's client does."""
        if not self.history_lost_until <= after.revision <= self.revision:
            if after.era != self.era:
                return Ok(StoreChanges(position=StorePosition(era=self.era)))
            return Err(StoreFault.HISTORY_LOST)
        events = [event for event in self.events if event[0] > after.revision]
        last = {i: entry for _, i, entry in events}
        removed_ids = {i for _, i, entry in events if entry is None}
        return Ok(
            StoreChanges(
                position=self.position,
                table=published(self.version)
                if self.table_revision > after.revision
                else None,
                workers=tuple(entry for entry in last.values() if entry is not None),
                removed=tuple(i for i, entry in last.items() if entry is None),
                relisted=tuple(i for i in removed_ids if last[i] is not None),
            )
        )


class Gateway:
    """One gateway's feed; it reads when a test says so, in two steps."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        own = process(name)
        own.peers = SimpleNamespace(link=self._link)  # type: ignore[assignment]
        self.name = name
        self.fleet = fleet
        self.members: list[MemberRecord] = list(GROUP)
        self.workers = WorkerTable()
        self.records = journal()
        self.n_lists = 0
        self.reading: Coroutine[Any, Any, bool] | None = None
        self.readers = StoreReaders(process=own, live=lambda: self.members)
        self.relay = StoreRelay(process=own, workers=self.workers)
        self.feed = StoreFeed(
            store=self,
            workers=self.workers,
            on_table=lambda _: None,
            journal=self.records,
            relay=self.relay,
            readers=self.readers,
            query_peers=self._query,
            decode=lambda data: published(int(data)),
        )

    async def _query(self) -> list[StoreState]:
        others = [g for g in self.fleet.by_name.values() if g is not self]
        question = self.relay.build_request()
        # As from an earlier build: the answer contains the table, in one step.
        question.takes_parts = None
        return [await other.relay.respond(question, Hello()) for other in others]

    def _link(self, address: Address) -> SimpleNamespace:
        other = NAMES[address.port - 1]
        way = self.fleet.in_transit[self.name, other]
        return SimpleNamespace(send=way.append)

    @property
    def is_receiving(self) -> bool:
        return False

    async def snapshot(self) -> Answer:
        """Return all entries at the time of the request."""
        self.n_lists += 1
        answer: Answer = Ok(self.fleet.store.listed())
        await Suspension()
        return self._unless_unavailable(answer)

    async def changes(self, after: StorePosition) -> Answer:
        """Return the changes at the time of the request."""
        answer = self.fleet.store.since(after)
        await Suspension()
        return self._unless_unavailable(answer)

    def _unless_unavailable(self, answer: Answer) -> Answer:
        if self.name in self.fleet.store.unavailable_to:
            return Err(StoreFault.SILENT)
        return answer

    def begin(self) -> None:
        """Begin a read of the store, unless one is outstanding."""
        if self.reading is None:
            self.reading = self.feed._read_any()
            self.resume()

    def resume(self) -> None:
        """Deliver the store's response to the outstanding read."""
        if self.reading is None:
            return
        try:
            self.reading.send(None)
        except StopIteration as read:
            self.reading = None
            self.readers.record_read(is_answered=bool(read.value))

    def query_peers(self) -> None:
        """Query the others, as a gateway does while the store's response is late."""
        query = self.feed.read_peers()
        with pytest.raises(StopIteration):
            query.send(None)

    def read(self) -> None:
        """Run a read until it is complete."""
        self.begin()
        while self.reading is not None:
            self.resume()


class Fleet:
    """A store and four gateways; nothing happens except what a test calls."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.store = Store()
        self.backups: list[Backup] = []
        self._previous_min_version = 0
        self.in_transit: dict[tuple[str, str], deque[StoreNews]] = {
            (one, other): deque() for one in NAMES for other in NAMES if one != other
        }
        self.by_name = {name: Gateway(name, self) for name in NAMES}

    def monotonic(self) -> float:
        """Return the current time of all gateways."""
        return self.now_s

    def start(self) -> None:
        """Let all gateways read once and receive each other's updates."""
        for gateway in self.by_name.values():
            gateway.read()
        self.deliver_all()

    def restart(self, name: str) -> None:
        """Restart a gateway with an empty view; it has not read yet."""
        self.by_name[name] = Gateway(name, self)

    def deliver(self, one: str, other: str) -> None:
        """Deliver the oldest update in transit from one gateway to another."""
        if self.in_transit[one, other]:
            update = self.in_transit[one, other].popleft()
            self.by_name[other].readers._on_message(None, update)  # type: ignore[arg-type]

    def deliver_all(self) -> None:
        """Deliver all updates in transit, the oldest of each connection first."""
        for one, other in self.in_transit:
            while self.in_transit[one, other]:
                self.deliver(one, other)

    def lose(self, one: str, other: str) -> None:
        """Drop all updates in transit from one gateway to another."""
        if one != other:
            self.in_transit[one, other].clear()

    def settle(self) -> None:
        """End all faults, then let time pass and let the gateways read when due.

        After a restore the operator writes again, and the workers write twice: with
        the first list of the era, their first write may be indistinguishable from the
        content of the backup.
        """
        self.store.unavailable_to.clear()
        if self.store.version != self.store.newest_version:
            self.store.publish_again()
        self._write_all()
        for gateway in self.by_name.values():
            gateway.members = list(GROUP)
            while gateway.reading is not None:
                gateway.resume()
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
        for worker_id in WORKER_IDS:
            if self.store.era:
                self.store.put(worker(worker_id))
            else:
                self.store.write(worker_id)

    def run_readers(self) -> None:
        """Let both readers read, and deliver their updates."""
        self.now_s += store_feed.POLL_S
        for name in NAMES[:N_READERS]:
            self.by_name[name].read()
            self.deliver_all()

    def leave(self, worker_id: str) -> None:
        """Let a worker announce that it leaves."""
        self.store.put(replace(worker(worker_id), is_leaving=True))

    def previous_min_version(self) -> int:
        """Return the oldest version active at any gateway at the previous call."""
        before, self._previous_min_version = (
            self._previous_min_version,
            min(self.versions().values()),
        )
        return before

    def pass_time(self, for_s: float) -> None:
        """Let time pass without reads."""
        self.now_s += for_s
        for gateway in self.by_name.values():
            gateway.feed.view.listing.remove_expired(self.now_s)

    def versions(self) -> dict[str, int]:
        """Return the active version of each gateway."""
        return {
            name: 0 if g.relay.published is None else g.relay.published.table.version
            for name, g in self.by_name.items()
        }

    def known(self) -> dict[str, list[str]]:
        """Return the workers that each gateway knows."""
        return {
            name: sorted(gateway.workers.ids())
            for name, gateway in self.by_name.items()
        }


@contextmanager
def started_fleet() -> Iterator[Fleet]:
    """Yield a fleet whose gateways have all read the store, with its own clock."""
    fleet = Fleet()
    with pytest.MonkeyPatch.context() as patch:
        for module in (store_feed, store_readers, store_relay, store_view):
            patch.setattr(module, "time", fleet)
        fleet.start()
        yield fleet
