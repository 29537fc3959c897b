"""Passes on between gateways which requests workers have ended under."""

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import (
    CrashedWorkers,
    CrashNews,
    SuspectRun,
    WorkerCrash,
)
from ...state.chain.crash_registry import Crash, CrashRegistry
from ...state.chain.fingerprint import is_fingerprint
from ...state.chain.isolated_runs import IsolatedRun
from ...transport.connection import Address, Connection
from ...transport.link import Link
from ..own_process import OwnProcess

FLOOD_DELAY_S: Final = 0.002
"""News of this long go out together; a worker's end cuts many requests at once."""

LINK_LOOK_S: Final = 0.1
"""Time between looks whether a link to another gateway has opened."""


class CrashRelay:
    """Floods news of crashes over the links that members keep for theirs.

    News go out by crashes, never by requests. A link that opens gets all that is
    remembered, so that gateways learn it that start, or come back.

    Parameters
    ----------
    process : OwnProcess
        Hears peers.
    links : callable
        Returns the links on which news go out.
    book : CrashRegistry
        What is remembered.

    Attributes
    ----------
    on_crash, on_clear, on_run : callable
        Take what a peer says; the first two pass on by themselves what was news.
    """

    __slots__ = (
        "_book",
        "_cleared",
        "_crashed",
        "_is_due",
        "_links",
        "_runs",
        "on_clear",
        "on_crash",
        "on_run",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        links: Callable[[], Sequence[Link]],
        book: CrashRegistry,
    ) -> None:
        self._links = links
        self._book = book
        self._crashed: dict[str, None] = {}
        self._cleared: dict[str, None] = {}
        self._runs: dict[int, IsolatedRun] = {}
        self._is_due = asyncio.Event()
        self.on_crash: Callable[[str, Crash], None] = _ignore_crash
        self.on_clear: Callable[[str], None] = _ignore
        self.on_run: Callable[[IsolatedRun], bool] = _ignore_run
        process.message_listeners.append(self._on_message)

    def announce_crash(self, fingerprint: str) -> None:
        """Pass on the crashes of a request."""
        self._crashed[fingerprint] = None
        self._is_due.set()

    def announce_clear(self, fingerprint: str) -> None:
        """Pass on that a request is cleared."""
        self._cleared[fingerprint] = None
        self._is_due.set()

    def announce_run(self, run: IsolatedRun) -> None:
        """Pass on that a run is kept apart, or has ended."""
        self._runs[run.run_id] = run
        self._is_due.set()

    async def run(self) -> None:
        """Send news as they come, and all to links that open, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._flood())
            group.create_task(self._greet())

    async def _flood(self) -> None:
        while True:
            await self._is_due.wait()
            await asyncio.sleep(FLOOD_DELAY_S)
            self._is_due.clear()
            try:
                self._send_news()
            except Exception:
                # A fault here would end all news, and nothing would show it.
                logging.exception("news of crashes")

    def _send_news(self) -> None:
        news = CrashNews(
            crashed=self._to_wire(self._crashed),
            cleared=list(self._cleared),
            runs=[_run_to_wire(run) for run in self._runs.values()],
        )
        self._crashed, self._cleared, self._runs = {}, {}, {}
        for link in self._links():
            link.send(news)

    async def _greet(self) -> None:
        """Send all that is remembered on each new connection.

        News that were said while a link was down are lost on it.
        """
        greeted: dict[Address, Connection] = {}
        while True:
            try:
                greeted = self._greet_new(greeted)
            except Exception:
                logging.exception("what is remembered of crashes, for a new link")
            await asyncio.sleep(LINK_LOOK_S)

    def _greet_new(
        self, greeted: dict[Address, Connection]
    ) -> dict[Address, Connection]:
        """Greet links whose connections are new; return those that were greeted."""
        open_now: dict[Address, Connection] = {}
        for link in self._links():
            connection = link.connection
            if connection is None:
                continue
            open_now[link.address] = connection
            if len(self._book) and greeted.get(link.address) is not connection:
                link.send(CrashNews(crashed=self._to_wire(self._book.fingerprints())))
        return open_now

    def _to_wire(self, fingerprints: Iterable[str]) -> list[CrashedWorkers]:
        now_s = time.monotonic()
        return [
            CrashedWorkers(
                fingerprint=fingerprint,
                crashes=[
                    WorkerCrash(
                        worker_id=crash.worker_id,
                        born_ms=crash.born_ms,
                        level=crash.level,
                        ended_ms=int((now_s - crash.ended_s) * MS_PER_S),
                    )
                    for crash in self._book.crashes(fingerprint)
                ],
            )
            for fingerprint in fingerprints
        ]

    def _on_message(self, connection: Connection, message: Message) -> None:
        if not isinstance(message, CrashNews):
            return
        now_s = time.monotonic()
        for crashed in message.crashed:
            if not is_fingerprint(crashed.fingerprint):
                continue
            for crash in crashed.crashes:
                self.on_crash(crashed.fingerprint, _crash_from_wire(crash, now_s))
        for fingerprint in filter(is_fingerprint, message.cleared):
            self.on_clear(fingerprint)
        for run in message.runs:
            if is_fingerprint(run.fingerprint) and self.on_run(_run_from_wire(run)):
                self.announce_run(_run_from_wire(run))


def _crash_from_wire(crash: WorkerCrash, now_s: float) -> Crash:
    return Crash(
        worker_id=crash.worker_id,
        born_ms=crash.born_ms,
        level=max(1, crash.level),
        ended_s=now_s - max(0, crash.ended_ms) / MS_PER_S,
    )


def _run_to_wire(run: IsolatedRun) -> SuspectRun:
    return SuspectRun(
        run_id=run.run_id,
        fingerprint=run.fingerprint,
        worker_id=run.worker_id,
        for_ms=int(run.isolation_s * MS_PER_S),
    )


def _run_from_wire(run: SuspectRun) -> IsolatedRun:
    return IsolatedRun(
        run_id=run.run_id,
        fingerprint=run.fingerprint,
        worker_id=run.worker_id,
        isolation_s=max(0, run.for_ms) / MS_PER_S,
    )


def _ignore(fingerprint: str) -> None:
    pass


def _ignore_crash(fingerprint: str, crash: Crash) -> None:
    pass


def _ignore_run(run: IsolatedRun) -> bool:
    return False
