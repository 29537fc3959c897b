"""Announcements between gateways of workers that are left out."""

import asyncio
import random
from types import SimpleNamespace

from trefoilpaddle.coordination.chain.service_news import (
    MAX_LEFT_OUT,
    ContentionNews,
)
from trefoilpaddle.coordination.chain.worker_choice import WorkerChoice
from trefoilpaddle.protocol.frames import Message, decode, encode
from trefoilpaddle.protocol.gen.chain.ttypes import LeftOutWorker, ServiceNews
from trefoilpaddle.roles.process import Process
from trefoilpaddle.state.chain.worker_loads import MAX_FAILED_S, WorkerLoads
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.state.journal import Event, Journal

from ..waiting import until
from .fakes import journal, process, worker

BORN_MS = 5
SETTLED_S = 0.1
"""Many times the window in which updates are collected."""


class Gateway:
    """Sends and receives announcements; its messages are kept."""

    def __init__(self, *, n_workers: int = 2) -> None:
        self.workers = WorkerTable()
        for number in range(n_workers):
            self.workers.put(worker(f"w{number}", born_ms=BORN_MS))
        self.journal: Journal = journal()
        self.choice = WorkerChoice(
            failure_domain="here",
            workers=self.workers,
            loads=WorkerLoads(rng=random.Random(1)),
            journal=self.journal,
        )
        self.process: Process = process("g")
        self.sent: list[ServiceNews] = []
        link = SimpleNamespace(address="a", connection=None, send=self.sent.append)
        self.news = ContentionNews(
            process=self.process,
            links=lambda: [link],  # type: ignore[list-item]
            home=SimpleNamespace(contended=list),  # type: ignore[arg-type]
            leases=SimpleNamespace(hear_contention=list),  # type: ignore[arg-type]
            choice=self.choice,
        )

    def receive(self, *left_out: LeftOutWorker) -> None:
        """Receive an announcement of a peer."""
        data = encode(ServiceNews(left_out=list(left_out)))
        message: Message = decode(data[4:]).unwrap().message
        for listener in self.process.message_listeners:
            listener(None, message)  # type: ignore[arg-type]

    def n_recorded(self) -> int:
        """Return how often this gateway has recorded that it leaves a worker out."""
        return sum(
            record.decision.event is Event.TARGET_LEFT_OUT
            for record in self.journal.recent()
        )


def left_out(worker_id: str = "w0", **fields: int) -> LeftOutWorker:
    return LeftOutWorker(
        worker_id=worker_id, **({"born_ms": BORN_MS, "for_ms": 1000} | fields)
    )


class TestAnnouncing:
    async def test_a_worker_that_sheds_is_announced_once(self) -> None:
        # Guards against an announcement for each request that is turned away.
        at = Gateway()
        running = asyncio.create_task(at.news.run())
        for _ in range(5):
            at.choice.record_shed(at.workers.all()[0])
        await until(lambda: bool(at.sent))
        await asyncio.sleep(SETTLED_S / 2)
        running.cancel()
        assert [e.worker_id for news in at.sent for e in news.left_out] == ["w0"]
        assert at.sent[0].left_out[0].for_ms == 100
        assert at.n_recorded() == 1

    async def test_what_is_heard_is_passed_on_once(self) -> None:
        # Guards against gateways that send an announcement to each other for ever.
        at = Gateway()
        running = asyncio.create_task(at.news.run())
        for _ in range(3):
            at.receive(left_out())
            await asyncio.sleep(SETTLED_S)
        running.cancel()
        assert len([e for news in at.sent for e in news.left_out]) == 1
        assert at.n_recorded() == 1

    async def test_a_short_time_is_not_passed_on_again(self) -> None:
        # Guards against announcements that circulate as messages take longer than the
        # time that they state.
        at = Gateway()
        running = asyncio.create_task(at.news.run())
        for _ in range(3):
            at.receive(left_out(for_ms=20))
            await asyncio.sleep(SETTLED_S)
        running.cancel()
        assert len([e for news in at.sent for e in news.left_out]) == 1


class TestBounds:
    async def test_what_a_peer_sends_is_bounded(self) -> None:
        # Guards against a peer that excludes all workers, or one for ever.
        at = Gateway(n_workers=2 * MAX_LEFT_OUT)
        at.receive(*(left_out(f"w{n}", for_ms=2**31 - 1) for n in range(100)))
        assert at.choice.n_left_out == MAX_LEFT_OUT
        figures = [
            figure.value
            for record in at.journal.recent()
            for figure in record.decision.figures
        ]
        assert set(figures) == {MAX_FAILED_S}

    async def test_absurd_entries_are_ignored(self) -> None:
        # Guards against a later start that gets nothing since an earlier one failed.
        at = Gateway()
        at.receive(
            left_out(born_ms=BORN_MS - 1), left_out("other"), left_out("w1", for_ms=-5)
        )
        assert at.choice.n_left_out == 0
