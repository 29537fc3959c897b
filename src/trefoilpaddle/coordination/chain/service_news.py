"""Tells other gateways which services are short of slots, and who is left out."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import LeftOutWorker, ServiceNews
from ...state.chain.worker_loads import MAX_FAILED_S, LeftOut
from ...state.chain.worker_uses import WorkerStart
from ...transport.connection import Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .peer_flood import PeerFlood
from .slot_home import SlotHome
from .slot_leases import SlotLeases
from .worker_choice import WorkerChoice

REPEAT_S: Final = 1.0
"""Seconds between announcements of a service that is short of slots.

Half of the time for which gateways that hear of it report.
"""

CHECK_S: Final = 0.05
"""Seconds between checks whether a service has become short of slots."""

FORWARD_S: Final = 0.5
"""Seconds for which an announcement that was passed on is not passed on again."""

MAX_SERVICES: Final = 64
"""Services in one announcement."""

MAX_KNOWN: Final = 1024
"""Services that were announced lately; more than any configuration has."""


MAX_LEFT_OUT: Final = 64
"""Workers in one announcement; others are found by each gateway itself."""

MAX_HEARD: Final = 1024
"""Workers whose last announcement is remembered."""

LONGER_RATIO: Final = 1.5
"""Ratio from which a longer time is announced anew; times are doubled."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on announcements that are cut to their bounds."""


class ContentionNews:
    """Announces contended services and left-out workers over links between members.

    A gateway with little traffic reports only while it hears of contention: without its
    reports, the home would grant its part to others.

    Parameters
    ----------
    process : OwnProcess
        Receives messages of peers.
    links : callable
        Returns the links on which announcements are sent.
    home : SlotHome
        The services whose home is this gateway.
    leases : SlotLeases
        The leases of this gateway.
    choice : WorkerChoice
        Leaves workers out.
    """

    __slots__ = (
        "_choice",
        "_flood",
        "_heard_left_out",
        "_heard_s",
        "_home",
        "_leases",
        "_left_out",
        "_pending",
        "_sent_s",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        links: Callable[[], Sequence[Link]],
        home: SlotHome,
        leases: SlotLeases,
        choice: WorkerChoice,
    ) -> None:
        self._choice = choice
        self._left_out: dict[WorkerStart, float] = {}
        self._heard_left_out: dict[WorkerStart, tuple[float, float]] = {}
        choice.on_left_out = self._announce_left_out
        self._home = home
        self._leases = leases
        self._pending: set[str] = set()
        self._heard_s: dict[str, float] = {}
        self._sent_s: dict[str, float] = {}
        self._flood = PeerFlood(
            subject="contended services",
            links=links,
            take_updates=self._take_updates,
            all_known=self._known_or_none,
        )
        process.message_listeners.append(self._on_message)

    async def run(self) -> None:
        """Announce services of this home, and pass on what others announce."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._flood.run())
            group.create_task(self._announce())

    async def _announce(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_S)
            now_s = loop.time()
            contended = self._home.contended()
            for name in contended:
                if now_s - self._sent_s.get(name, -REPEAT_S) >= REPEAT_S:
                    self._sent_s[name] = now_s
                    self._heard_s[name] = now_s
                    self._pass_on([name])
            self._sent_s = {name: self._sent_s[name] for name in contended}

    def _pass_on(self, services: Sequence[str]) -> None:
        self._leases.hear_contention(services)
        self._pending.update(services)
        self._flood.trigger()

    def _take_updates(self) -> ServiceNews:
        contended = sorted(self._pending)[:MAX_SERVICES]
        self._pending.difference_update(contended)
        if self._pending:
            self._flood.trigger()
        left_out = [
            LeftOutWorker(worker_id=w, born_ms=b, for_ms=round(for_s * MS_PER_S))
            for (w, b), for_s in list(self._left_out.items())[:MAX_LEFT_OUT]
        ]
        self._left_out.clear()
        return ServiceNews(contended=contended, left_out=left_out)

    def _announce_left_out(self, left_out: LeftOut) -> None:
        worker = left_out.worker
        self._pass_left_out_on((worker.worker_id, worker.born_ms), left_out.for_s)

    def _pass_left_out_on(self, start: WorkerStart, for_s: float) -> None:
        """Announce a worker, unless that was done lately.

        Without the bound, an announcement would circulate for as long as messages take
        longer than the time that it states.
        """
        now_s = asyncio.get_running_loop().time()
        heard_s, heard_for_s = self._heard_left_out.get(start, (-FORWARD_S, 0.0))
        is_known = now_s - heard_s < FORWARD_S
        if is_known and for_s < LONGER_RATIO * heard_for_s:
            return
        if len(self._heard_left_out) >= MAX_HEARD:
            self._heard_left_out.clear()
        self._heard_left_out[start] = (now_s, for_s)
        self._left_out[start] = for_s
        self._flood.trigger()

    def _hear_left_out(self, left_out: Sequence[LeftOutWorker]) -> None:
        if len(left_out) > MAX_LEFT_OUT:
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored %d of the left-out workers that a peer announced",
                LOG_PERIOD_S,
                len(left_out) - MAX_LEFT_OUT,
            )
        for each in left_out[:MAX_LEFT_OUT]:
            for_s = min(MAX_FAILED_S, max(0, each.for_ms) / MS_PER_S)
            if self._choice.hear_left_out(each.worker_id, each.born_ms, for_s):
                self._pass_left_out_on((each.worker_id, each.born_ms), for_s)

    def _known_or_none(self) -> ServiceNews | None:
        contended = self._home.contended()[:MAX_SERVICES]
        return ServiceNews(contended=contended) if contended else None

    def _on_message(self, connection: Connection, message: Message) -> None:
        if not isinstance(message, ServiceNews):
            return
        self._hear_left_out(message.left_out)
        now_s = asyncio.get_running_loop().time()
        new = [
            name
            for name in message.contended[:MAX_SERVICES]
            if now_s - self._heard_s.get(name, -FORWARD_S) >= FORWARD_S
        ]
        if len(self._heard_s) + len(new) > MAX_KNOWN:
            # What was passed on lately stays: it would go round among the gateways.
            self._heard_s = {
                name: heard_s
                for name, heard_s in self._heard_s.items()
                if now_s - heard_s < FORWARD_S
            }
            new = new[: MAX_KNOWN - len(self._heard_s)]
        self._heard_s.update(dict.fromkeys(new, now_s))
        if new:
            self._pass_on(new)
