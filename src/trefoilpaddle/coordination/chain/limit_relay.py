"""Exchanges between gateways which limits workers have named."""

import time
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import LimitNews, NamedLimit
from ...state.chain.stated_limits import StatedLimit
from ...transport.connection import Connection
from ...transport.link import Link
from ..own_process import OwnProcess
from .peer_flood import PeerFlood
from .worker_needs import WorkerNeeds

MIN_RATE_PER_S: Final = 1e-3
MAX_RATE_PER_S: Final = 1e9
"""Bounds of a credible limit; gateways send limits that are well within them."""

MAX_HEARD_MS: Final = 86_400_000
"""Longest time since an answer that is kept, in milliseconds."""

MAX_ID_CHARS: Final = 256
"""Longest id of a worker; limits of workers that are not listed are kept, too."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on limits that are ignored."""


class LimitRelay:
    """Tells other gateways of limits, so that those without a quota see their end.

    Updates are sent per change of a limit, and at long intervals while it holds, never
    per request.

    Parameters
    ----------
    process : OwnProcess
        Receives messages of peers.
    links : callable
        Returns the links on which updates are sent.
    needs : WorkerNeeds
        What workers have stated.
    """

    __slots__ = ("_changed", "_flood", "_needs")

    def __init__(
        self,
        *,
        process: OwnProcess,
        links: Callable[[], Sequence[Link]],
        needs: WorkerNeeds,
    ) -> None:
        self._needs = needs
        self._changed: dict[str, StatedLimit] = {}
        self._flood = PeerFlood(
            subject="limits",
            links=links,
            take_updates=self._take_updates,
            all_known=self._known_or_none,
        )
        needs.on_news = self._announce
        process.message_listeners.append(self._on_message)

    async def run(self) -> None:
        """Send updates, and all limits to links that open, until cancelled."""
        await self._flood.run()

    def _announce(self, limit: StatedLimit) -> None:
        self._changed[limit.worker.worker_id] = limit
        self._flood.trigger()

    def _take_updates(self) -> LimitNews:
        updates = _to_wire(self._changed.values())
        self._changed = {}
        return updates

    def all_known(self) -> LimitNews:
        """Return all limits in force."""
        return _to_wire(self._needs.limits.in_force(time.monotonic()))

    def _known_or_none(self) -> LimitNews | None:
        known = self.all_known()
        return known if known.limits else None

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, LimitNews):
            self.receive(message)

    def receive(self, message: LimitNews) -> None:
        """Record the limits that a peer knows."""
        now_s = time.monotonic()
        credible = list(filter(_is_credible, message.limits))
        for limit in credible:
            heard_ms = min(MAX_HEARD_MS, max(0, limit.heard_ms))
            self._needs.learn_from_peer(
                limit.worker_id,
                limit.born_ms,
                rate_per_s=limit.rate_per_s,
                heard_s=now_s - heard_ms / MS_PER_S,
            )
        if len(credible) < len(message.limits):
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored %d limits of workers from a peer",
                LOG_PERIOD_S,
                len(message.limits) - len(credible),
            )


def _is_credible(limit: NamedLimit) -> bool:
    """Return True if a limit can be computed with; 0 stands for its end."""
    rate_per_s = limit.rate_per_s
    is_rate = rate_per_s == 0.0 or MIN_RATE_PER_S <= rate_per_s <= MAX_RATE_PER_S
    return is_rate and 0 < len(limit.worker_id) <= MAX_ID_CHARS


def _to_wire(limits: Iterable[StatedLimit]) -> LimitNews:
    now_s = time.monotonic()
    return LimitNews(
        limits=[
            NamedLimit(
                worker_id=limit.worker.worker_id,
                born_ms=limit.worker.born_ms,
                rate_per_s=limit.rate_per_s if limit.ended_s is None else 0.0,
                heard_ms=int((now_s - limit.last_s) * MS_PER_S),
            )
            for limit in limits
        ]
    )
