"""Exchange of configuration between peers: changes are pushed, gaps are pulled."""

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
from .config_state import ConfigChange, ConfigState
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
"""Larger changes are only announced, so that each process fetches them once."""

PULL_TIMEOUT_S: Final = 2.0
"""Longest wait for one page from a peer."""

PULL_PERIOD_S: Final = 2.0
"""Mean time between two periodic pulls from children."""

FETCH_DELAY_S: Final = 0.2
"""Wait after a heartbeat with a newer revision, for a push that is in transit."""

MAX_PAGES: Final = 1000
"""Largest number of pages read from one peer, in case its list never ends."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NewerPeer:
    """A process that has newer configuration, and its revisions."""

    process_id: str
    revision: int
    hosts_revision: int


class ConfigPeers:
    """Pushes changes to peers and pulls versions that are not known here.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    state : ConfigState
        The configuration known here.
    membership : Membership
        The children to push to and pull from, and addresses of members.
    """

    __slots__ = (
        "_has_newer_peer",
        "_membership",
        "_newer_peer",
        "_process",
        "_pull_lock",
        "_state",
    )

    def __init__(
        self, *, process: OwnProcess, state: ConfigState, membership: Membership
    ) -> None:
        self._process = process
        self._state = state
        self._membership = membership
        self._newer_peer: NewerPeer | None = None
        self._has_newer_peer = asyncio.Event()
        self._pull_lock = asyncio.Lock()
        process.server.add_handler(ConfigPull, self.answer)
        process.message_listeners.append(self._on_peer_message)
        process.link_listeners.append(self._on_link_message)
        state.subscribe(self._push)

    async def answer(self, request: ConfigPull, peer: Hello) -> ConfigDelta:
        """Respond to a peer that requests versions that it does not know."""
        items = self._state.items
        if len(request.shard_digests) == N_SHARDS:
            items_to_send = items.differing(
                request.shard_digests, revision=request.after_revision
            )
        else:
            known = max(request.known_revision, request.after_revision)
            items_to_send = items.since(known)
        page, has_more = _first_page(items_to_send)
        delta = self._delta(request.known_revision)
        delta.items = [to_wire(item) for item in page]
        delta.more = has_more
        if self._process.published.hosts.revision > request.known_hosts_revision:
            delta.hosts = pack_hosts(self._state.hosts_json)
        return delta

    async def pull(self, link: Link) -> bool:
        """Fetch from a peer all that is not known here; return True if it responded."""
        async with self._pull_lock:
            delta = await self._fetch(link, self._new_request())
            if delta is None:
                return False
            if not self._has_other_versions(delta):
                return True
            request = self._new_request()
            request.shard_digests = list(self._state.items.shard_digests)
            return await self._fetch(link, request) is not None

    async def _fetch(self, link: Link, request: ConfigPull) -> ConfigDelta | None:
        """Fetch page by page, apply all as one change and return the last page.

        Applying single pages could activate a state that was never published: a
        key whose newest version is on a later page would be missing from it.
        """
        items: list[PublishedItem] = []
        for _ in range(MAX_PAGES):
            match await self._request_page(link, request):
                case Ok(delta):
                    items += from_wire(delta.items)
                case Err(_):
                    return None
            if not delta.more:
                self._apply(items, delta, link)
                return delta
            if not delta.items:
                break
            request.after_revision = delta.items[-1].revision
        # The revision of a page stands for all pages up to the last one.
        logging.warning("the values of %s have no end", link.address)
        return None

    async def pull_periodically(self) -> None:
        """Pull from the responsive children in turn, until cancelled."""
        n_rounds = 0
        while True:
            await asyncio.sleep(PULL_PERIOD_S * random.uniform(0.75, 1.25))
            n_rounds += 1
            responsive = [
                link for link in self._membership.child_links() if link.is_responsive()
            ]
            if responsive:
                await self.pull(responsive[n_rounds % len(responsive)])

    async def fetch_newer(self) -> None:
        """Pull from peers that are known to be newer, until cancelled."""
        while True:
            await self._has_newer_peer.wait()
            self._has_newer_peer.clear()
            newer = self._newer_peer
            # Several peers announce the same change; the first pull fetches it.
            if newer is None or not self._is_behind(newer):
                continue
            async with self._link_to(newer.process_id) as link:
                if link is not None:
                    await self.pull(link)

    @contextlib.asynccontextmanager
    async def _link_to(self, process_id: str) -> AsyncIterator[Link | None]:
        """Yield an open or a temporary link to a member, or None without an address."""
        record = self._membership.table.records.get(process_id)
        address = Address.parse(record.address if record else "").ok()
        if address is None:
            yield None
            return
        link = self._process.peers.links.get(address)
        if link is not None and link.is_responsive():
            yield link
            return
        async with probe_link(self._process, address) as temporary:
            yield temporary

    def _push(self, change: ConfigChange) -> None:
        """Send a change to the children, or only announce it if it is large."""
        changed = [
            item for key in change.keys for item in self._state.items.versions(key)
        ]
        delta = self._delta(change.base_revision)
        if n_bytes(changed) <= PUSH_BYTES:
            delta.items = [to_wire(item) for item in changed]
        for link in self._membership.child_links():
            if link.peer is not None and link.peer.process_id != change.source:
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

    def _new_request(self) -> ConfigPull:
        return ConfigPull(
            known_revision=self._state.items.revision,
            known_hosts_revision=self._process.published.hosts.revision,
        )

    async def _request_page(
        self, link: Link, request: ConfigPull
    ) -> Result[ConfigDelta, PeerError]:
        # An exception here would end the calling loop, and with it the process.
        match await link.ask(request, timeout_s=PULL_TIMEOUT_S):
            case Ok(ConfigDelta() as delta):
                return Ok(delta)
            case Ok(unexpected):
                return Err(
                    PeerError.unexpected_reply(unexpected, peer=str(link.address))
                )
            case Err(error):
                return Err(error)

    def _apply(
        self, items: list[PublishedItem], delta: ConfigDelta, link: Link
    ) -> None:
        source = link.peer.process_id if link.peer else str(link.address)
        if delta.read_age_ms >= 0:
            self._state.record_read(delta.read_age_ms / 1000)
        self._state.apply(items, revision=delta.revision, source=source)
        if not delta.hosts:
            return
        match unpack_hosts(delta.hosts):
            case Ok(hosts_json):
                self._state.apply_hosts(hosts_json, source=source)
            case Err(problem):
                logging.warning("host list from %s: %s", source, problem)

    def _has_other_versions(self, delta: ConfigDelta) -> bool:
        """Return True if a peer at the same revision holds other versions.

        This happens if one process knows the last valid value below a rejected
        change and another process, which started later, does not.
        """
        items = self._state.items
        return delta.revision == items.revision and delta.digest != items.digest

    def _on_peer_message(self, connection: Connection, message: Message) -> None:
        match message:
            case ConfigDelta():
                self._apply_push(message, connection.peer.process_id)
            case Heartbeat() if message.load is not None:
                self._schedule_fetch(
                    message.load.config_revision, connection.peer.process_id
                )

    def _on_link_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat) and message.load is not None and link.peer:
            self._schedule_fetch(message.load.config_revision, link.peer.process_id)

    def _apply_push(self, delta: ConfigDelta, source: str) -> None:
        """Apply a pushed change if its base is known; pull what is still missing."""
        state = self._state
        if delta.read_age_ms >= 0:
            state.record_read(delta.read_age_ms / 1000)
        if delta.items and delta.base_revision <= state.items.revision:
            state.apply(from_wire(delta.items), revision=delta.revision, source=source)
        self._request_fetch(
            NewerPeer(
                process_id=source,
                revision=delta.revision,
                hosts_revision=delta.hosts_revision,
            )
        )

    def _schedule_fetch(self, revision: int, source: str) -> None:
        if revision <= self._state.items.revision:
            return
        newer = NewerPeer(process_id=source, revision=revision, hosts_revision=0)
        loop = asyncio.get_running_loop()
        loop.call_later(FETCH_DELAY_S, self._request_fetch, newer)

    def _request_fetch(self, newer: NewerPeer) -> None:
        if self._is_behind(newer):
            self._newer_peer = newer
            self._has_newer_peer.set()

    def _is_behind(self, newer: NewerPeer) -> bool:
        hosts_revision = self._process.published.hosts.revision
        return (
            newer.revision > self._state.items.revision
            or newer.hosts_revision > hosts_revision
        )


def _first_page(items: Iterator[PublishedItem]) -> tuple[list[PublishedItem], bool]:
    """Return the items of one page, and whether more items follow.

    The versions of one key are never split between pages: the next page is
    requested by the revision of the last item.
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
