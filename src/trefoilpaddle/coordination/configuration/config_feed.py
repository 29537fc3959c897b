"""Keeps the catalogue, the host list and the members of a process up to date."""

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
"""Longest wait for a first catalogue when the process starts."""


class ConfigFeed:
    """Components that keep one process up to date; created by `config_feed`.

    Attributes
    ----------
    state : ConfigState
        Known versions, changes held back and age of the last read.
    membership : Membership
        The members of the fleet.
    directory : LiveDirectory
        Lookups of sidecars that accept work and of process addresses.
    pause_detector : PauseDetector
        Detects that this process has been paused.
    config_peers : ConfigPeers
        Exchanges configuration with peers.
    reader : ConfigReader
        Reads the platform while this process is selected for it.
    client : PlatformClient
        Client of the platform; counts the reads.
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
        """Return True while a catalogue is active and peers have been queried.

        While False the process must not accept work: at its start it knows
        nothing yet, and after a pause it must query peers before it continues.
        """
        return self.state.known.is_set() and not self.pause_detector.is_pause_pending()

    def is_ready(self) -> bool:
        """Return True while new work may be sent to this process.

        This requires `is_known`, and that the links to the other role have once
        been open or that the wait for them has ended.
        """
        return self.is_known() and self._link_readiness.is_ready()

    async def start(self) -> None:
        """Query peers, then the platform."""
        self.membership.update_children()
        await self._startup_sync.run()

    async def resync_after_pauses(self) -> None:
        """Query peers again after each pause, until cancelled."""
        while True:
            await self._has_resumed.wait()
            self._has_resumed.clear()
            await self._startup_sync.run()

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run for the lifetime of the process."""
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
        """Discard state that may be stale after a pause.

        Sockets hold heartbeats from before and during the pause, which would
        be taken for recent ones; only a new connection shows which peers are up.
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
            link.reset()
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
    """Keep `process`, which must be running, up to date while the context is open.

    Entering waits for up to `start_wait_s` for the start queries and for up to
    `start_wait_s` again until a catalogue is known. The role must not report that
    it is ready before ``is_known()`` returns True.
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
