"""Tells other gateways which services are short of slots."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import ServiceNews
from ...transport.connection import Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .peer_flood import PeerFlood
from .slot_home import SlotHome
from .slot_leases import SlotLeases

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


class ContentionNews:
    """Announces contended services over the links between members.

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
    """

    __slots__ = ("_flood", "_heard_s", "_home", "_leases", "_pending", "_sent_s")

    def __init__(
        self,
        *,
        process: OwnProcess,
        links: Callable[[], Sequence[Link]],
        home: SlotHome,
        leases: SlotLeases,
    ) -> None:
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
        return ServiceNews(contended=contended)

    def _known_or_none(self) -> ServiceNews | None:
        contended = self._home.contended()[:MAX_SERVICES]
        return ServiceNews(contended=contended) if contended else None

    def _on_message(self, connection: Connection, message: Message) -> None:
        if not isinstance(message, ServiceNews):
            return
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
