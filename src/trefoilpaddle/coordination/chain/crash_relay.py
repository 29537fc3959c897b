"""Exchanges between gateways under which requests workers have crashed."""

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
from ...state.chain.isolated_runs import ISOLATION_S, IsolatedRun
from ...transport.connection import Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .peer_flood import PeerFlood

MAX_ID_CHARS: Final = 256
"""Longest id of a worker; all crashes on record are sent in one message."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on reports that are ignored."""


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
        "_flood",
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
        self._registry = book
        self._crashed: dict[str, None] = {}
        self._cleared: dict[str, None] = {}
        self._runs: dict[int, IsolatedRun] = {}
        self._flood = PeerFlood(
            subject="crashes",
            links=links,
            take_updates=self._take_updates,
            all_known=self._known_or_none,
        )
        self.on_crash: Callable[[str, Crash], None] = _ignore_crash
        self.on_clear: Callable[[str], None] = _ignore
        self.on_run: Callable[[IsolatedRun], bool] = _ignore_run
        process.message_listeners.append(self._on_message)

    def announce_crash(self, fingerprint: str) -> None:
        """Announce the crashes of a request to other gateways."""
        self._crashed[fingerprint] = None
        self._flood.trigger()

    def announce_clear(self, fingerprint: str) -> None:
        """Announce to other gateways that a request is cleared."""
        self._cleared[fingerprint] = None
        self._flood.trigger()

    def announce_run(self, run: IsolatedRun) -> None:
        """Announce to other gateways that an isolated run has begun or ended."""
        self._runs[run.run_id] = run
        self._flood.trigger()

    async def run(self) -> None:
        """Send updates, and all crashes to links that open, until cancelled."""
        await self._flood.run()

    def _take_updates(self) -> CrashNews:
        updates = CrashNews(
            crashed=self._to_wire(self._crashed),
            cleared=list(self._cleared),
            runs=[_run_to_wire(run) for run in self._runs.values()],
        )
        self._crashed, self._cleared, self._runs = {}, {}, {}
        return updates

    def all_known(self) -> CrashNews:
        """Return all crashes on record."""
        return CrashNews(crashed=self._to_wire(self._registry.fingerprints()))

    def _known_or_none(self) -> CrashNews | None:
        return self.all_known() if len(self._registry) else None

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
        if isinstance(message, CrashNews):
            self.receive(message)

    def receive(self, message: CrashNews) -> None:
        """Record what a peer knows, and announce what was not known here."""
        now_s = time.monotonic()
        n_ignored = 0
        for crashed in message.crashed:
            if not is_fingerprint(crashed.fingerprint):
                n_ignored += 1
                continue
            for crash in crashed.crashes:
                if len(crash.worker_id) > MAX_ID_CHARS:
                    n_ignored += 1
                    continue
                self.on_crash(crashed.fingerprint, _crash_from_wire(crash, now_s))
        for fingerprint in filter(is_fingerprint, message.cleared):
            self.on_clear(fingerprint)
        for run in message.runs:
            is_odd_id = len(run.worker_id) > MAX_ID_CHARS
            if is_odd_id or not is_fingerprint(run.fingerprint):
                n_ignored += 1
            elif self.on_run(_run_from_wire(run)):
                self.announce_run(_run_from_wire(run))
        if n_ignored:
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored %d reports of crashes or runs from a peer",
                LOG_PERIOD_S,
                n_ignored,
            )


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
        isolation_s=min(ISOLATION_S, max(0, run.for_ms) / MS_PER_S),
    )


def _ignore(fingerprint: str) -> None:
    pass


def _ignore_crash(fingerprint: str, crash: Crash) -> None:
    pass


def _ignore_run(run: IsolatedRun) -> bool:
    return False
