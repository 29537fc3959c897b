"""Exchanges between gateways under which requests workers have crashed."""

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

BATCH_WINDOW_S: Final = 0.002
"""Seconds for which updates are collected before they are sent together.

The exit of a worker interrupts many requests at once.
"""

LINK_CHECK_PERIOD_S: Final = 0.1
"""Seconds between checks whether a link to another gateway has opened."""


class CrashRelay:
    """Floods updates about crashes over the links between members.

    Updates are sent per crash, never per request. All crashes on record are sent on a
    link that opens, so that gateways that start or reconnect receive them.

    Parameters
    ----------
    process : OwnProcess
        Receives messages of peers.
    links : callable
        Returns the links on which updates are sent.
    book : CrashRegistry
        The crashes on record.

    Attributes
    ----------
    on_crash, on_clear, on_run : callable
        Called with the updates of peers. The first two themselves announce what was
        not known here.
    """

    __slots__ = (
        "_cleared",
        "_crashed",
        "_has_updates",
        "_links",
        "_registry",
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
        self._registry = book
        self._crashed: dict[str, None] = {}
        self._cleared: dict[str, None] = {}
        self._runs: dict[int, IsolatedRun] = {}
        self._has_updates = asyncio.Event()
        self.on_crash: Callable[[str, Crash], None] = _ignore_crash
        self.on_clear: Callable[[str], None] = _ignore
        self.on_run: Callable[[IsolatedRun], bool] = _ignore_run
        process.message_listeners.append(self._on_message)

    def announce_crash(self, fingerprint: str) -> None:
        """Announce the crashes of a request to other gateways."""
        self._crashed[fingerprint] = None
        self._has_updates.set()

    def announce_clear(self, fingerprint: str) -> None:
        """Announce to other gateways that a request is cleared."""
        self._cleared[fingerprint] = None
        self._has_updates.set()

    def announce_run(self, run: IsolatedRun) -> None:
        """Announce to other gateways that an isolated run has begun or ended."""
        self._runs[run.run_id] = run
        self._has_updates.set()

    async def run(self) -> None:
        """Send updates, and all crashes to links that open, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._flood())
            group.create_task(self._sync_new_links())

    async def _flood(self) -> None:
        while True:
            await self._has_updates.wait()
            await asyncio.sleep(BATCH_WINDOW_S)
            self._has_updates.clear()
            try:
                self._send_updates()
            except Exception:
                # An exception would end all further updates without a trace.
                logging.exception("sending updates about crashes failed")

    def _send_updates(self) -> None:
        update = CrashNews(
            crashed=self._to_wire(self._crashed),
            cleared=list(self._cleared),
            runs=[_run_to_wire(run) for run in self._runs.values()],
        )
        self._crashed, self._cleared, self._runs = {}, {}, {}
        for link in self._links():
            link.send(update)

    async def _sync_new_links(self) -> None:
        """Send all crashes on record on each new connection.

        Updates that were sent while a link was down are lost on it.
        """
        synced: dict[Address, Connection] = {}
        while True:
            try:
                synced = self._sync_links(synced)
            except Exception:
                logging.exception("sending all crashes on a new link failed")
            await asyncio.sleep(LINK_CHECK_PERIOD_S)

    def _sync_links(
        self, synced: dict[Address, Connection]
    ) -> dict[Address, Connection]:
        """Send all crashes on links with new connections; return open connections."""
        open_now: dict[Address, Connection] = {}
        for link in self._links():
            connection = link.connection
            if connection is None:
                continue
            open_now[link.address] = connection
            if len(self._registry) and synced.get(link.address) is not connection:
                link.send(
                    CrashNews(crashed=self._to_wire(self._registry.fingerprints()))
                )
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
                    for crash in self._registry.crashes(fingerprint)
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
