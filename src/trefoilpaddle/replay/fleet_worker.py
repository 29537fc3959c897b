"""One operating system process that holds several peers of a measured fleet.

Reads commands as JSON lines from standard input and replies to each with one line:
``{"do": "start", …}``, ``{"do": "figures"}``, ``{"do": "wait", "revision": N}``.
"""

import asyncio
import contextlib
import resource
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any, Final

import orjson
import uvloop
from absl import logging

from ..coordination.configuration.config_feed import ConfigFeed, config_feed
from ..protocol.ids import new_incarnation
from ..roles.process import Identity, Process
from ..state.events import Event
from ..state.journal import Decision, Journal
from ..state.settings import LogFormat, PeerSettings, PlatformSettings
from ..transport.connection import Address
from ..transport.traffic import TRAFFIC

LINK_PERIOD_S: Final = 0.25
POLL_S: Final = 0.002
KIB: Final = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Command to start peers.

    Parameters
    ----------
    first : int
        Index of the first peer; the names of the peers contain their index.
    n_peers : int
        Number of peers to start.
    role : str
        ``"gateway"`` or ``"sidecar"``.
    n_domains, n_services : int
        Failure domains and services, over which the peers are spread evenly.
    config_url, hosts_url : str
        URLs of the platform.
    seeds : list of str
        Addresses of peers that are already running.
    """

    first: int
    n_peers: int
    role: str
    n_domains: int
    n_services: int
    config_url: str
    hosts_url: str
    seeds: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """One peer of the fleet."""

    process: Process
    feed: ConfigFeed


class Worker:
    """The peers of this process."""

    def __init__(self, *, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack
        self._peers: list[Peer] = []
        self._n_events: Counter[Event] = Counter()

    async def handle(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute one command and return its reply."""
        match command.pop("do"):
            case "start":
                return await self._start(Start(**command))
            case "figures":
                return self._figures()
            case "wait":
                return await self._wait(command["revision"])
            case other:
                return {"error": f"unknown command {other!r}"}

    async def _start(self, start: Start) -> dict[str, Any]:
        seeds = list(start.seeds)
        for index in range(start.first, start.first + start.n_peers):
            peer = await self._start_peer(start, index, seeds)
            self._peers.append(peer)
            seeds = [*seeds, str(peer.process.server.address)][:3]
        if start.role == "gateway":
            self._stack.push_async_callback(
                _cancel, asyncio.create_task(self._keep_links())
            )
        return {"hosts": [_host_entry(peer.process) for peer in self._peers]}

    async def _start_peer(self, start: Start, index: int, seeds: list[str]) -> Peer:
        service = f"s{index % start.n_services}" if start.role == "sidecar" else ""
        identity = Identity(
            process_id=f"h{index}-{start.role}",
            incarnation=new_incarnation(),
            role=start.role,
            failure_domain=f"d{index % start.n_domains}",
            region="r1",
            service=service,
            target=f"t{index}" if service else "",
        )
        journal = Journal(
            process_id=identity.process_id, n_records=100, format=LogFormat.KEY_VALUE
        )
        journal.subscribe(self._count_event)
        listen = Address(ip="127.0.0.1", port=0)
        process = Process(identity=identity, listen=listen, journal=journal)
        await self._stack.enter_async_context(process.server.listening())
        await self._stack.enter_async_context(process.peers.open())
        platform = PlatformSettings(
            config_url=start.config_url, hosts_url=start.hosts_url
        )
        feed = await self._stack.enter_async_context(
            config_feed(
                process=process,
                platform=platform,
                peers=PeerSettings(seeds=tuple(seeds)),
            )
        )
        return Peer(process=process, feed=feed)

    def _count_event(self, decision: Decision) -> None:
        self._n_events[decision.event] += 1

    async def _keep_links(self) -> None:
        """Keep links to the sidecars of each service, as a gateway does."""
        while True:
            for peer in self._peers:
                for service in peer.process.published.catalogue.services:
                    for host in peer.feed.directory.sidecars(service):
                        address = Address.parse(host.peer_address).unwrap()
                        peer.process.peers.link(address)
            await asyncio.sleep(LINK_PERIOD_S)

    def _figures(self) -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "monotonic_s": time.monotonic(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "memory_bytes": usage.ru_maxrss * KIB,
            "n_reads": sum(peer.feed.client.n_reads for peer in self._peers),
            "n_host_reads": sum(peer.feed.client.n_host_reads for peer in self._peers),
            "n_known": min(len(peer.feed.membership.live()) for peer in self._peers),
            "n_links": sum(len(peer.process.peers.links) for peer in self._peers),
            "n_woke_late": self._n_events[Event.WOKE_LATE],
            "n_suspected": self._n_events[Event.MEMBER_SUSPECTED],
            **asdict(TRAFFIC),
        }

    async def _wait(self, revision: int) -> dict[str, Any]:
        """Return when the revision became active at each peer, in monotonic seconds.

        All processes of a machine share the monotonic clock.
        """
        at_s: dict[str, float] = {}
        while len(at_s) < len(self._peers):
            for peer in self._peers:
                name = peer.process.identity.process_id
                if name in at_s:
                    continue
                if peer.process.published.catalogue.revision >= revision:
                    at_s[name] = time.monotonic()
            await asyncio.sleep(POLL_S)
        return {"at_s": list(at_s.values())}


def _host_entry(process: Process) -> dict[str, str]:
    identity = process.identity
    return {
        "name": identity.process_id.removesuffix(f"-{identity.role}"),
        "failure_domain": identity.failure_domain,
        "region": identity.region,
        "role": identity.role,
        "peer_address": str(process.server.address),
        "service": identity.service,
        "target": identity.target,
        "state": "live",
    }


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


async def _run() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=16 * KIB * KIB)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async with contextlib.AsyncExitStack() as stack:
        worker = Worker(stack=stack)
        while line := await reader.readline():
            reply = await worker.handle(orjson.loads(line))
            sys.stdout.write(orjson.dumps(reply).decode() + "\n")
            sys.stdout.flush()


def main() -> None:
    """Serve commands until standard input ends."""
    logging.set_verbosity(logging.ERROR)
    uvloop.run(_run())


if __name__ == "__main__":
    main()
