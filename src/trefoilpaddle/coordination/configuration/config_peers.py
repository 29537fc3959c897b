"""Configuration between peers: differences flooded, the rest asked for."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from itertools import groupby
from typing import Final

from absl import logging
from result import Err, Ok, Result

from ...protocol.errors import PeerError
from ...protocol.frames import Message
from ...protocol.gen.config.ttypes import ConfigDelta, ConfigPull
from ...protocol.gen.stage.ttypes import Heartbeat, Hello
from ...state.config_items import N_SHARDS, PublishedItem
from ...transport.connection import Address, Connection
from ...transport.link import Link
from ..members.membership import Membership
from ..members.probe import probe_link
from ..own_process import OwnProcess
from .config_state import ConfigState, News
from .config_wire import (
    PAGE_BYTES,
    PAGE_ITEMS,
    from_wire,
    n_bytes,
    pack_hosts,
    to_wire,
    unpack_hosts,
)

PUSH_BYTES: Final = 16 * 1024
"""Larger differences are announced only, so each process fetches them once."""

PULL_TIMEOUT_S: Final = 2.0
"""Longest wait for one page of a peer."""

ROUND_S: Final = 2.0
"""Time between two questions to neighbours about what they know."""

CATCH_UP_S: Final = 0.2
"""Wait after hearing of a newer revision, for a flood that is on its way."""

MAX_PAGES: Final = 1000
"""Pages taken from one peer; bounds one that never comes to its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Ahead:
    """A process that knows something newer, and how new."""

    process_id: str
    revision: int
    hosts_revision: int


class ConfigPeers:
    """Passes on what is news here and fetches what is known elsewhere.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    state : ConfigState
        What is known here.
    membership : Membership
        Whom to tell and whom to ask.
    """

    __slots__ = (
        "_ahead",
        "_is_ahead",
        "_membership",
        "_process",
        "_pulling",
        "_state",
    )

    def __init__(
        self, *, process: OwnProcess, state: ConfigState, membership: Membership
    ) -> None:
        self._process = process
        self._state = state
        self._membership = membership
        self._ahead: Ahead | None = None
        self._is_ahead = asyncio.Event()
        self._pulling = asyncio.Lock()
        process.server.answer(ConfigPull, self.answer)
        process.message_listeners.append(self._on_peer_message)
        process.link_listeners.append(self._on_link_message)
        state.subscribe(self._push)

    async def answer(self, question: ConfigPull, peer: Hello) -> ConfigDelta:
        """Answer a peer that asks for what it does not know."""
        items = self._state.items
        if len(question.shard_digests) == N_SHARDS:
            offered = items.differing(
                question.shard_digests, revision=question.after_revision
            )
        else:
            known = max(question.known_revision, question.after_revision)
            offered = items.since(known)
        page, is_cut = _first_page(offered)
        delta = self._delta(question.known_revision)
        delta.items = [to_wire(item) for item in page]
        delta.more = is_cut
        if self._process.published.hosts.revision > question.known_hosts_revision:
            delta.hosts = pack_hosts(self._state.hosts_json)
        return delta

    async def pull(self, link: Link) -> bool:
        """Take from a peer all that is not known here; True if it answered."""
        async with self._pulling:
            delta = await self._fetch(link, self._question())
            if delta is None:
                return False
            if not self._has_other_versions(delta):
                return True
            question = self._question()
            question.shard_digests = list(self._state.items.shard_digests)
            return await self._fetch(link, question) is not None

    async def _fetch(self, link: Link, question: ConfigPull) -> ConfigDelta | None:
        """Ask page by page, take all as one change and return the last page.

        Between two pages a key can be missing whose newest version comes on the
        second; what stood in force in between would never have been published.
        """
        items: list[PublishedItem] = []
        for _ in range(MAX_PAGES):
            match await self._ask(link, question):
                case Ok(delta):
                    items += from_wire(delta.items)
                case Err(_):
                    return None
            if not delta.more or not delta.items:
                self._take(items, delta, link)
                return delta
            question.after_revision = delta.items[-1].revision
        return None

    async def compare_rounds(self) -> None:
        """Ask one child after the other what it knows, until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(ROUND_S * random.uniform(0.75, 1.25))
            number += 1
            heard = [link for link in self._membership.child_links() if link.is_heard()]
            if heard:
                await self.pull(heard[number % len(heard)])

    async def catch_up(self) -> None:
        """Fetch from whoever was heard to be ahead, until cancelled."""
        while True:
            await self._is_ahead.wait()
            self._is_ahead.clear()
            ahead = self._ahead
            # Several peers announce one change; the first fetch takes it.
            if ahead is None or not self._is_behind(ahead):
                continue
            async with self._link_to(ahead.process_id) as link:
                if link is not None:
                    await self.pull(link)

    @contextlib.asynccontextmanager
    async def _link_to(self, process_id: str) -> AsyncIterator[Link | None]:
        """Yield an open link to a member, or a passing one, or None."""
        record = self._membership.table.records.get(process_id)
        address = Address.parse(record.address if record else "").ok()
        if address is None:
            yield None
            return
        link = self._process.peers.links.get(address)
        if link is not None and link.is_heard():
            yield link
            return
        async with probe_link(self._process, address) as passing:
            yield passing

    def _push(self, news: News) -> None:
        """Send a change to the children, or tell them that there is one."""
        changed = [
            item for key in news.keys for item in self._state.items.versions(key)
        ]
        delta = self._delta(news.base_revision)
        if n_bytes(changed) <= PUSH_BYTES:
            delta.items = [to_wire(item) for item in changed]
        for link in self._membership.child_links():
            if link.peer is not None and link.peer.process_id != news.source:
                link.send(delta)

    def _delta(self, base_revision: int) -> ConfigDelta:
        age_s = self._state.read_age_s()
        return ConfigDelta(
            revision=self._state.items.revision,
            base_revision=base_revision,
            hosts_revision=self._process.published.hosts.revision,
            digest=self._state.items.digest,
            read_age_ms=-1 if age_s is None else int(age_s * 1000),
        )

    def _question(self) -> ConfigPull:
        return ConfigPull(
            known_revision=self._state.items.revision,
            known_hosts_revision=self._process.published.hosts.revision,
        )

    async def _ask(
        self, link: Link, question: ConfigPull
    ) -> Result[ConfigDelta, PeerError]:
        # A fault here would end the loop that asks, and with it the process.
        match await link.ask(question, timeout_s=PULL_TIMEOUT_S):
            case Ok(ConfigDelta() as answer):
                return Ok(answer)
            case Ok(foreign):
                return Err(PeerError.of_foreign(foreign, peer=str(link.address)))
            case Err(error):
                return Err(error)

    def _take(self, items: list[PublishedItem], delta: ConfigDelta, link: Link) -> None:
        source = link.peer.process_id if link.peer else str(link.address)
        if delta.read_age_ms >= 0:
            self._state.note_read(delta.read_age_ms / 1000)
        self._state.take(items, revision=delta.revision, source=source)
        if not delta.hosts:
            return
        match unpack_hosts(delta.hosts):
            case Ok(hosts_json):
                self._state.take_hosts(hosts_json, source=source)
            case Err(problem):
                logging.warning("host list from %s: %s", source, problem)

    def _has_other_versions(self, delta: ConfigDelta) -> bool:
        """Return True if a peer at the same revision holds other versions.

        It shows where one process knows the last good value of a rejected
        change and another, which started later, does not.
        """
        items = self._state.items
        return delta.revision == items.revision and delta.digest != items.digest

    def _on_peer_message(self, connection: Connection, message: Message) -> None:
        match message:
            case ConfigDelta():
                self._take_push(message, connection.peer.process_id)
            case Heartbeat() if message.load is not None:
                self._hear_revision(
                    message.load.config_revision, connection.peer.process_id
                )

    def _on_link_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat) and message.load is not None and link.peer:
            self._hear_revision(message.load.config_revision, link.peer.process_id)

    def _take_push(self, delta: ConfigDelta, source: str) -> None:
        """Take a difference that builds on what is known; else ask for the rest."""
        state = self._state
        if delta.read_age_ms >= 0:
            state.note_read(delta.read_age_ms / 1000)
        if delta.items and delta.base_revision <= state.items.revision:
            state.take(from_wire(delta.items), revision=delta.revision, source=source)
        self._fetch_from(
            Ahead(
                process_id=source,
                revision=delta.revision,
                hosts_revision=delta.hosts_revision,
            )
        )

    def _hear_revision(self, revision: int, source: str) -> None:
        if revision <= self._state.items.revision:
            return
        ahead = Ahead(process_id=source, revision=revision, hosts_revision=0)
        loop = asyncio.get_running_loop()
        loop.call_later(CATCH_UP_S, self._fetch_from, ahead)

    def _fetch_from(self, ahead: Ahead) -> None:
        if self._is_behind(ahead):
            self._ahead = ahead
            self._is_ahead.set()

    def _is_behind(self, ahead: Ahead) -> bool:
        hosts_revision = self._process.published.hosts.revision
        return (
            ahead.revision > self._state.items.revision
            or ahead.hosts_revision > hosts_revision
        )


def _first_page(items: Iterator[PublishedItem]) -> tuple[list[PublishedItem], bool]:
    """Return items up to the page's size, and whether more follow.

    The versions of one key are never parted: the next page is asked for by the
    revision of the last item.
    """
    page: list[PublishedItem] = []
    size_bytes = 0
    for _, group in groupby(items, key=lambda item: item.key):
        if size_bytes >= PAGE_BYTES or len(page) >= PAGE_ITEMS:
            return page, True
        versions = list(group)
        page += versions
        size_bytes += n_bytes(versions)
    return page, False
