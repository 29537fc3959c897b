"""Sends updates over the links between members, and all that is known on new links."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from absl import logging

from ...protocol.frames import Message
from ...transport.connection import Address, Connection
from ...transport.link import Link

BATCH_WINDOW_S: Final = 0.002
"""Seconds for which updates are collected before they are sent together.

One event, such as the exit of a worker, causes many updates at once.
"""

LINK_CHECK_PERIOD_S: Final = 0.1
"""Seconds between checks whether a link to another gateway has opened."""


class PeerFlood:
    """Floods one kind of updates over the links between members.

    Updates that were sent while a link was down are lost on it. All that is known is
    therefore sent on a link that opens, so that gateways that start or reconnect
    receive it.

    Parameters
    ----------
    subject : str
        What the updates are about, for log lines.
    links : callable
        Returns the links on which updates are sent.
    take_updates : callable
        Returns the message with all updates since the last call.
    all_known : callable
        Returns the message with all that is known; None if there is nothing.
    """

    __slots__ = ("_all_known", "_has_updates", "_links", "_subject", "_take_updates")

    def __init__(
        self,
        *,
        subject: str,
        links: Callable[[], Sequence[Link]],
        take_updates: Callable[[], Message],
        all_known: Callable[[], Message | None],
    ) -> None:
        self._subject = subject
        self._links = links
        self._take_updates = take_updates
        self._all_known = all_known
        self._has_updates = asyncio.Event()

    def trigger(self) -> None:
        """Send the updates that are available, after a short time."""
        self._has_updates.set()

    async def run(self) -> None:
        """Send updates, and all that is known on links that open, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._flood())
            group.create_task(self._sync_new_links())

    async def _flood(self) -> None:
        while True:
            await self._has_updates.wait()
            await asyncio.sleep(BATCH_WINDOW_S)
            self._has_updates.clear()
            try:
                updates = self._take_updates()
                for link in self._links():
                    link.send(updates)
            except Exception:
                # An exception would end all further updates without a trace.
                logging.exception("sending updates about %s failed", self._subject)

    async def _sync_new_links(self) -> None:
        synced: dict[Address, Connection] = {}
        while True:
            try:
                synced = self._sync_links(synced)
            except Exception:
                logging.exception("updating a new link on %s failed", self._subject)
            await asyncio.sleep(LINK_CHECK_PERIOD_S)

    def _sync_links(
        self, synced: dict[Address, Connection]
    ) -> dict[Address, Connection]:
        """Send all that is known on new connections; return open connections."""
        open_now: dict[Address, Connection] = {}
        for link in self._links():
            connection = link.connection
            if connection is None:
                continue
            open_now[link.address] = connection
            if synced.get(link.address) is not connection:
                known = self._all_known()
                if known is not None:
                    link.send(known)
        return open_now
