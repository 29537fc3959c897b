"""Keeps the catalogue and the host list of one process up to date."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final, Protocol

from ..state.journal import Journal
from ..state.published import Published
from ..state.settings import PeerSettings, PlatformSettings
from ..transport.platform_http import platform_client
from .config_readers import ConfigReader
from .config_state import ConfigState

START_WAIT_S: Final = 5.0
"""Longest wait at the start for a first catalogue."""


class FedProcess(Protocol):
    """What the feed needs of a process."""

    journal: Journal
    published: Published


class ConfigFeed:
    """What keeps a process's catalogue and host list up to date."""

    __slots__ = ("state",)

    def __init__(self, *, state: ConfigState) -> None:
        self.state = state

    def is_known(self) -> bool:
        """Return True once a catalogue is in force; before, take no work."""
        return self.state.known.is_set()


@contextlib.asynccontextmanager
async def config_feed(
    *,
    process: FedProcess,
    platform: PlatformSettings,
    peers: PeerSettings,
    start_wait_s: float = START_WAIT_S,
) -> AsyncIterator[ConfigFeed]:
    """Keep `process` fed while the context is open.

    Entering waits until a catalogue is in force, at most `start_wait_s`; after
    that the role must not say ready before ``is_known()``.
    """
    state = ConfigState(published=process.published, journal=process.journal)
    async with (
        platform_client(
            config_url=platform.config_url, hosts_url=platform.hosts_url
        ) as client,
        asyncio.TaskGroup() as tasks,
    ):
        reader = ConfigReader(
            client=client, state=state, platform=platform, journal=process.journal
        )
        running = [
            tasks.create_task(reader.watch_values(), name="config values"),
            tasks.create_task(reader.watch_hosts(), name="host list"),
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(start_wait_s):
                await state.known.wait()
        try:
            yield ConfigFeed(state=state)
        finally:
            for task in running:
                task.cancel()
