"""Keeps catalogue, host list and members of one process up to date."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Final

from ...state.journal import Decision, Event, Figure
from ...state.settings import PeerSettings, PlatformSettings
from ...transport.platform_http import PlatformClient, platform_client
from ..members.directory import LiveDirectory
from ..members.membership import Membership
from ..members.pause_detector import PauseDetector
from ..members.peer_monitor import PeerMonitor
from ..own_process import OwnProcess
from .config_peers import ConfigPeers
from .config_readers import ConfigReader
from .config_start import StartupSync
from .config_state import ConfigState
from .link_readiness import GatewayLinks, LinkReadiness, SidecarLinks
from .reader_selection import ReaderSelection

START_WAIT_S: Final = 10.0
"""Longest wait at the start for a first catalogue."""


class ConfigFeed:
    """What keeps one process up to date; made by `config_feed`.

    Attributes
    ----------
    state : ConfigState
        Revision, held back changes, age of the last read.
    membership : Membership
        Who is there.
    directory : LiveDirectory
        Who can be given work and where a process is found.
    pause_detector : PauseDetector
        Knows whether this process has just been paused.
    client : PlatformClient
        Counts the reads of the platform.
    """

    __slots__ = (
        "_has_resumed",
        "_link_readiness",
        "_monitor",
        "_process",
        "_startup_sync",
        "client",
        "config_peers",
        "directory",
        "membership",
        "pause_detector",
        "reader",
        "state",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        client: PlatformClient,
        platform: PlatformSettings,
        peers: PeerSettings,
    ) -> None:
        self._process = process
        self._has_resumed = asyncio.Event()
        self.client = client
        self.state = ConfigState(published=process.published, journal=process.journal)
        self.membership = Membership(process=process, seeds=peers.seeds)
        self.pause_detector = PauseDetector(on_pause=self._resume_after_pause)
        self.directory = LiveDirectory(
            process=process,
            membership=self.membership,
            pause_detector=self.pause_detector,
        )
        links = (
            SidecarLinks(process=process, membership=self.membership)
            if process.identity.service
            else GatewayLinks(process=process, directory=self.directory)
        )
        self._link_readiness = LinkReadiness(has_links=links.has_links)
        self.config_peers = ConfigPeers(
            process=process, state=self.state, membership=self.membership
        )
        selection = ReaderSelection(
            membership=self.membership,
            state=self.state,
            n_readers=platform.n_readers,
            journal=process.journal,
        )
        self.reader = ConfigReader(
            client=client,
            state=self.state,
            platform=platform,
            journal=process.journal,
            selection=selection,
        )
        self._monitor = PeerMonitor(
            process=process,
            membership=self.membership,
            is_wanted=self.directory.is_wanted,
        )
        self._startup_sync = StartupSync(
            process=process,
            membership=self.membership,
            state=self.state,
            config_peers=self.config_peers,
            reader=self.reader,
        )

    def is_known(self) -> bool:
        """Return True while a catalogue is in force and peers have been asked.

        While False take no work: at the start nothing is known yet, and a
        process that was paused must ask before it goes on.
        """
        return self.state.known.is_set() and not self.pause_detector.is_pause_pending()

    def is_ready(self) -> bool:
        """Return True while new work may be sent here.

        That is while `is_known`, and once the links to the other role have
        been there, or are waited for no longer.
        """
        return self.is_known() and self._link_readiness.is_ready()

    async def start(self) -> None:
        """Ask peers, then the platform."""
        self.membership.update_children()
        await self._startup_sync.run()

    async def resync_after_pauses(self) -> None:
        """Ask peers again after each pause, until cancelled."""
        while True:
            await self._has_resumed.wait()
            self._has_resumed.clear()
            await self._startup_sync.run()

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs for as long as the process does."""
        return [
            self.pause_detector.run(),
            self._monitor.run(),
            self.membership.flood_updates(),
            self.membership.compare_new_links(),
            self.membership.compare_periodically(),
            self.membership.announce_planned_stop(),
            self.config_peers.pull_periodically(),
            self.config_peers.fetch_newer(),
            self.reader.watch_values(),
            self.reader.watch_hosts(),
            self.resync_after_pauses(),
        ]

    def _resume_after_pause(self, gap_s: float) -> None:
        """Drop what may be stale after a pause.

        Sockets hold heartbeats from before and during the pause, which would
        pass for fresh ones; only a new connection says who is there now.
        """
        self._process.journal.record(
            Decision(
                event=Event.WOKE_LATE,
                config_revision=self.state.items.revision,
                peer=self._process.identity.process_id,
                figures=(Figure(name="gap_s", value=gap_s),),
            )
        )
        self._monitor.postpone_checks()
        for link in self._process.peers.links.values():
            link.drop()
        self.state.set_peers_queried(False)
        self._has_resumed.set()


@contextlib.asynccontextmanager
async def config_feed(
    *,
    process: OwnProcess,
    platform: PlatformSettings,
    peers: PeerSettings,
    start_wait_s: float = START_WAIT_S,
) -> AsyncIterator[ConfigFeed]:
    """Keep `process` fed while the context is open; it must be running.

    Entering waits until a catalogue is in force, at most `start_wait_s`; after
    that the role must not say ready before ``is_known()``.
    """
    async with (
        platform_client(
            config_url=platform.config_url, hosts_url=platform.hosts_url
        ) as client,
        asyncio.TaskGroup() as group,
    ):
        feed = ConfigFeed(
            process=process, client=client, platform=platform, peers=peers
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(start_wait_s):
                await feed.start()
        running = [group.create_task(task) for task in feed.tasks()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(start_wait_s):
                await feed.state.known.wait()
        try:
            yield feed
        finally:
            for task in running:
                task.cancel()
