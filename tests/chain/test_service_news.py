"""Announcements of contended services that gateways pass on to one another."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

import pytest

from trefoilpaddle.coordination.chain.service_news import (
    FORWARD_S,
    MAX_KNOWN,
    MAX_SERVICES,
    ContentionNews,
)
from trefoilpaddle.coordination.chain.slot_home import SlotHome
from trefoilpaddle.coordination.chain.slot_leases import SlotLeases
from trefoilpaddle.coordination.chain.worker_choice import WorkerChoice
from trefoilpaddle.protocol.gen.chain.ttypes import ServiceNews
from trefoilpaddle.transport.connection import Connection
from trefoilpaddle.transport.link import Link

from .fakes import process
from .virtual_time import run_virtual


@dataclass
class Sent:
    """A link that records which services were announced on it."""

    connection: None = None
    names: list[str] = field(default_factory=list)

    def send(self, message: ServiceNews) -> None:
        self.names += message.contended


@dataclass
class Known:
    """The contended services of the home, and those that the leases heard of."""

    services: list[str] = field(default_factory=list)
    heard: list[str] = field(default_factory=list)

    def contended(self) -> list[str]:
        return self.services

    def hear_contention(self, services: Iterable[str]) -> None:
        self.heard += services


class OneGateway:
    """The news of one gateway, with one link to another."""

    def __init__(self, *services: str) -> None:
        self.link = Sent()
        self.known = Known(services=list(services))
        own = process("g")
        self.news = ContentionNews(
            process=own,
            links=lambda: [cast(Link, self.link)],
            home=cast(SlotHome, self.known),
            leases=cast(SlotLeases, self.known),
            choice=cast(WorkerChoice, SimpleNamespace()),
        )
        self._listener = own.message_listeners[-1]

    async def receive(self, names: Iterable[str]) -> None:
        """Receive an announcement, and wait until it was passed on."""
        message = ServiceNews(contended=list(names))
        self._listener(cast(Connection, None), message)
        await asyncio.sleep(0.1)


def names(first: int, n: int) -> list[str]:
    return [f"s{number}" for number in range(first, first + n)]


def play(
    monkeypatch: pytest.MonkeyPatch,
    gateway: OneGateway,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Play `work` in virtual time while the news run."""

    async def run() -> None:
        running = asyncio.create_task(gateway.news.run())
        try:
            await work()
            assert not running.done()
        finally:
            running.cancel()
            with suppress(asyncio.CancelledError):
                await running

    run_virtual(monkeypatch, run())


class TestNewsOfOthers:
    def test_it_is_passed_on_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against announcements that go round among gateways.
        gateway = OneGateway()

        async def work() -> None:
            for _ in range(3):
                await gateway.receive(["s"])
            assert gateway.link.names == ["s"]
            assert gateway.known.heard == ["s"]

        play(monkeypatch, gateway, work)

    def test_it_is_passed_on_once_however_many_there_are(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a flood that never ends, as a gateway forgets what it has
        # passed on once many services are contended.
        gateway = OneGateway()

        async def work() -> None:
            for _ in range(2):
                for first in range(0, 4 * MAX_SERVICES, MAX_SERVICES):
                    await gateway.receive(names(first, MAX_SERVICES))
            assert len(gateway.link.names) == 4 * MAX_SERVICES

        play(monkeypatch, gateway, work)

    def test_none_is_lost_though_many_come_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against services that are never announced, as their names are the last.
        gateway = OneGateway()

        async def work() -> None:
            for first in (0, MAX_SERVICES):
                gateway._listener(
                    cast(Connection, None),
                    ServiceNews(contended=names(first, MAX_SERVICES)),
                )
            await asyncio.sleep(0.1)
            assert len(set(gateway.link.names)) == 2 * MAX_SERVICES

        play(monkeypatch, gateway, work)

    def test_it_is_passed_on_again_when_it_is_repeated(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against gateways that stop to report in a long contention.
        gateway = OneGateway()

        async def work() -> None:
            for _ in range(3):
                await gateway.receive(["s"])
                await asyncio.sleep(FORWARD_S)
            assert gateway.link.names == ["s"] * 3

        play(monkeypatch, gateway, work)

    def test_names_without_end_are_not_remembered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a peer that fills the memory with names.
        gateway = OneGateway()

        async def work() -> None:
            for first in range(0, 4 * MAX_KNOWN, MAX_SERVICES):
                gateway._listener(
                    cast(Connection, None),
                    ServiceNews(contended=names(first, MAX_SERVICES)),
                )
            await asyncio.sleep(1.0)
            assert len(gateway.link.names) <= MAX_KNOWN

        play(monkeypatch, gateway, work)


class TestOwnNews:
    def test_it_is_announced_once_a_second(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against gateways with little traffic that hear of nothing.
        gateway = OneGateway("s")

        async def work() -> None:
            await asyncio.sleep(3.5)
            assert gateway.link.names == ["s"] * 4

        play(monkeypatch, gateway, work)

    def test_its_echo_is_not_passed_on(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against announcements that the home of a service sends twice.
        gateway = OneGateway("s")

        async def work() -> None:
            await asyncio.sleep(0.1)
            await gateway.receive(["s"])
            assert gateway.link.names == ["s"]

        play(monkeypatch, gateway, work)
