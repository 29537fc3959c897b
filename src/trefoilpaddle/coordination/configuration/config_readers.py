"""Reads the configuration service and the host list on the selected processes."""

import asyncio
import random
from typing import Final

from result import Err, Ok

from ...protocol.errors import PeerError
from ...state.config_items import PublishedItem, Version
from ...state.journal import Decision, Event, Journal
from ...state.settings import PlatformSettings
from ...transport.platform_http import PlatformClient, PublishedValue, ValuesPage
from .config_state import ConfigState
from .reader_selection import ReaderSelection

RECHECK_S: Final = 0.5
"""Mean time between two checks of whether this process should read."""

BACKOFF_MIN_S: Final = 0.1
"""First wait after a failed read."""

BACKOFF_MAX_S: Final = 2.0
"""Base of the longest wait after consecutive failed reads."""

MAX_PAGES: Final = 1000
"""Largest number of pages in one read, in case the service's list never ends."""


class Backoff:
    """Exponential backoff with jitter, so that many readers do not retry in step."""

    __slots__ = ("_wait_s",)

    def __init__(self) -> None:
        self._wait_s = BACKOFF_MIN_S

    def reset(self) -> None:
        """Restart with the shortest wait."""
        self._wait_s = BACKOFF_MIN_S

    async def wait(self) -> None:
        """Wait, with a base that doubles each time up to ``BACKOFF_MAX_S``."""
        await asyncio.sleep(self._wait_s * random.uniform(0.5, 1.5))
        self._wait_s = min(BACKOFF_MAX_S, 2 * self._wait_s)


class ConfigReader:
    """Applies what the platform publishes to a `ConfigState`.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    state : ConfigState
        Receives the values and host lists read.
    platform : PlatformSettings
        Provides the polling period.
    journal : Journal
        Records when the service becomes unavailable and when it recovers.
    selection : ReaderSelection
        Decides whether this process should read.
    """

    __slots__ = (
        "_client",
        "_is_unavailable",
        "_journal",
        "_platform",
        "_selection",
        "_state",
    )

    def __init__(
        self,
        *,
        client: PlatformClient,
        state: ConfigState,
        platform: PlatformSettings,
        journal: Journal,
        selection: ReaderSelection,
    ) -> None:
        self._selection = selection
        self._client = client
        self._state = state
        self._platform = platform
        self._journal = journal
        self._is_unavailable = False

    def is_reading(self) -> bool:
        """Return True if this process is one of the readers of its domain."""
        return self._selection.is_reader()

    async def watch_values(self) -> None:
        """Apply each published change of a value while this process should read."""
        backoff = Backoff()
        while True:
            if not self._selection.should_read():
                await asyncio.sleep(RECHECK_S * random.uniform(0.5, 1.5))
            elif await self.read_values():
                backoff.reset()
            else:
                await backoff.wait()

    async def watch_hosts(self) -> None:
        """Read the host list about every ``poll_s`` while this process should read."""
        while True:
            if self._selection.should_read():
                await self.read_hosts()
            await asyncio.sleep(self._platform.poll_s * random.uniform(0.8, 1.2))

    async def read_values(self) -> bool:
        """Read and apply values; return False on failure.

        Reads all values if none are known, otherwise waits up to ``poll_s`` for a
        change.
        """
        known = self._state.items.revision
        if known == 0:
            answer = await self._client.values(after=0)
        else:
            answer = await self._client.watch(
                after=known, timeout_s=self._platform.poll_s
            )
        match answer:
            case Ok(page):
                return await self._apply_all(page)
            case Err(error):
                self._record_unavailable(error)
                return False

    async def read_hosts(self) -> bool:
        """Read and apply the host list once; return False on failure."""
        match await self._client.hosts():
            case Ok(data):
                self._state.apply_hosts(data, source="platform")
                return True
            case Err(_):
                return False

    async def _apply_all(self, page: ValuesPage) -> bool:
        """Apply a page and all that follow it as one change.

        A truncated page is not a state that was ever published: a key whose newest
        version is on a later page is missing from it. So nothing is activated
        before the last page has been received.
        """
        items = [_item(value) for value in page.values]
        n_pages = 1
        while page.has_more:
            if not page.values or n_pages == MAX_PAGES:
                # The revision of a page stands for all pages up to the last one.
                self._record_unavailable(_endless(n_pages))
                return False
            n_pages += 1
            match await self._client.values(after=page.values[-1].revision):
                case Ok(page):
                    items += (_item(value) for value in page.values)
                case Err(error):
                    self._record_unavailable(error)
                    return False
        known = self._state.items.revision
        self._state.apply(items, revision=page.revision, source="platform")
        if page.revision < known:
            self._record_stale(page.revision, known)
            return True
        self._record_recovered()
        self._state.record_read(0.0)
        return True

    def _record_stale(self, offered: int, known: int) -> None:
        """Record that the service offers an older revision than the active one.

        The service does not count as read then, so that other processes try as
        well. No process sees changes published at revisions that were used before.
        """
        self._record_unavailable(
            PeerError(
                step="answer",
                peer="platform",
                detail=f"offers revision {offered}, but {known} is in force; "
                "bring the service up to date before publishing",
                is_sent=True,
            )
        )

    def _record_unavailable(self, error: PeerError) -> None:
        if self._is_unavailable:
            return
        self._is_unavailable = True
        self._journal.record(
            Decision(
                event=Event.CONFIG_SOURCE_LOST,
                config_revision=self._state.items.revision,
                peer=error.peer,
                detail=f"{error.step}: {error.detail}",
            )
        )

    def _record_recovered(self) -> None:
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._journal.record(
            Decision(
                event=Event.CONFIG_SOURCE_BACK,
                config_revision=self._state.items.revision,
            )
        )


def _endless(n_pages: int) -> PeerError:
    return PeerError(
        step="answer",
        peer="platform",
        detail=f"announces more values after {n_pages} pages, but sends none",
        is_sent=True,
    )


def _item(value: PublishedValue) -> PublishedItem:
    version = Version(revision=value.revision, value=value.value)
    return PublishedItem(key=value.key, version=version)
