"""Gateways that notify one another of crashes over links that can be disconnected."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from trefoilpaddle.coordination.chain.crash_guard import CrashGuard
from trefoilpaddle.coordination.chain.crash_relay import CrashRelay
from trefoilpaddle.coordination.members.overlay import neighbours
from trefoilpaddle.protocol.frames import Message, decode, encode
from trefoilpaddle.state.chain.crash_registry import CrashRegistry, CrashStatus
from trefoilpaddle.state.chain.worker_runs import RunOutcome
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.transport.connection import Address

from .fakes import FakeCalls, journal, process, worker

LENGTH_BYTES = 4


class Gateway:
    """One gateway, as far as it handles crashes."""

    def __init__(
        self,
        number: int,
        calls: FakeCalls,
        n_workers: int,
        registry: Callable[[], CrashRegistry],
    ) -> None:
        self.process = process(f"g{number}")
        self.address = Address(ip="127.0.0.1", port=1 + number)
        self.links: list[Any] = []
        self.workers = WorkerTable()
        for each in range(n_workers):
            self.workers.put(replace(worker(f"w{each}"), born_ms=1))
        self.book = registry()
        self.notes = journal()
        self.relay = CrashRelay(
            process=self.process, links=lambda: self.links, book=self.book
        )
        self.guard = CrashGuard(
            workers=self.workers,
            calls=calls,
            journal=self.notes,
            book=self.book,
            relay=self.relay,
        )

    def list_start(self, worker_id: str, born_ms: int) -> None:
        """List a start of a known worker."""
        known = self.workers.get(worker_id)
        assert known is not None
        self.workers.put(replace(known, born_ms=born_ms))

    def receive(self, data: bytes) -> None:
        message = decode(data[LENGTH_BYTES:]).unwrap().message
        for listener in self.process.message_listeners:
            listener(None, message)  # type: ignore[arg-type]


class FakeLink:
    """A link from one gateway to another."""

    def __init__(self, fleet: "CrashFleet", to: Gateway) -> None:
        self._fleet = fleet
        self._to = to
        self.address = to.address
        self.connection: object | None = SimpleNamespace()

    def send(self, message: Message) -> bool:
        if self.connection is None:
            return False
        data = encode(message)
        self._fleet.n_messages += 1
        self._fleet.n_bytes += len(data)
        asyncio.get_running_loop().call_soon(self._to.receive, data)
        return True


class CrashFleet:
    """Gateways with the links that members of the fleet keep.

    Attributes
    ----------
    n_messages, n_bytes : int
        Messages and bytes sent between gateways so far.
    """

    def __init__(
        self,
        n_gateways: int,
        n_workers: int,
        registry: Callable[[], CrashRegistry],
    ) -> None:
        self.calls = FakeCalls()
        self.n_messages = 0
        self.n_bytes = 0
        self.every = [
            Gateway(number, self.calls, n_workers, registry)
            for number in range(n_gateways)
        ]
        by_name = {
            gateway.process.identity.process_id: gateway for gateway in self.every
        }
        for name, gateway in by_name.items():
            gateway.links += [
                FakeLink(self, by_name[to]) for to in neighbours(name, by_name)
            ]

    async def run_at(
        self,
        number: int,
        worker_id: str,
        fingerprint: str,
        end: RunOutcome,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Run a request at a worker; the outcome BROKEN crashes the worker."""
        gateway = self.every[number]
        at = gateway.workers.get(worker_id)
        assert at is not None
        with gateway.guard.running(at, fingerprint, parts) as run:
            await asyncio.sleep(0.002)
            run.end = end
            if end is RunOutcome.BROKEN:
                self.calls.refusing.add(worker_id)
        await gateway.guard.wait_for_exit_check(at)

    def restart(self, worker_id: str) -> None:
        """List a new start of a worker at all gateways."""
        self.calls.refusing.discard(worker_id)
        for gateway in self.every:
            known = gateway.workers.get(worker_id)
            assert known is not None
            gateway.workers.put(replace(known, born_ms=known.born_ms + 1))

    def statuses(self, fingerprint: str) -> set[CrashStatus]:
        """Return the crash statuses that the gateways have for a request."""
        return {gateway.book.status(fingerprint) for gateway in self.every}


@contextlib.asynccontextmanager
async def crash_fleet(
    n_gateways: int = 8,
    *,
    n_workers: int = 9,
    registry: Callable[[], CrashRegistry] = CrashRegistry,
) -> AsyncIterator[CrashFleet]:
    """Run gateways that notify one another while the context is open."""
    fleet = CrashFleet(n_gateways, n_workers, registry)
    running = [asyncio.create_task(each.relay.run()) for each in fleet.every]
    try:
        yield fleet
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
