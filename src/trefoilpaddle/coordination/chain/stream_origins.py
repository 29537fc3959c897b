"""Replicates which software version began a stream, and looks it up.

A caller may resume a stream at any gateway, and the one that began it may be gone. Two
replicas store the origin of each stream that may be resumed, chosen by its key among a
few gateways of each failure domain. The version of an unknown stream is not guessed.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from absl import logging
from result import Ok

from ...protocol.const import MS_PER_S
from ...protocol.frames import Message
from ...protocol.gen.chain.ttypes import (
    FindOrigin,
    OriginFound,
    StreamOrigin,
    StreamsBegun,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.served_versions import ServedVersions
from ...state.chain.stream_versions import StreamVersions, stream_key
from ...state.chain.workers import WorkerTable
from ...state.members import MemberRecord
from ...state.rendezvous import highest
from ...transport.connection import Address, Connection
from ..members.duty_rank import duty_rank
from ..own_process import OwnProcess

BATCH_WINDOW_S: Final = 0.005
"""Time for which streams that begin are collected before they are replicated."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Longest wait for a link to a replica."""

LOG_INTERVAL_S: Final = 1.0
"""Shortest time between two lines about replicas that cannot be reached."""

FIND_TIMEOUT_S: Final = 0.3
"""Longest wait for a queried gateway; many times a message's latency."""

N_REPLICAS: Final = 2
"""Gateways that store the origin of a stream besides the one that began it."""

N_DOMAINS_QUERIED: Final = 3
N_QUERIED_PER_DOMAIN: Final = 2
"""Gateways that are queried: more than replicas, as members change meanwhile."""

MIN_POOL_PER_DOMAIN: Final = 2
MAX_POOL_PER_DOMAIN: Final = 4
GATEWAYS_PER_POOL_MEMBER: Final = 20
"""How many gateways of a failure domain share the streams of all.

Each gateway keeps a link to each of them, so there are few; more of them share the
streams of a large fleet.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownOrigin:
    """The software version that began a stream."""

    software_version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownOrigin:
    """No gateway that was queried knows the version.

    Parameters
    ----------
    is_final : bool
        True if all that were queried have answered.
    detail : str
        How many were queried, for the log.
    """

    is_final: bool
    detail: str = field(default="", compare=False)


Origin = KnownOrigin | UnknownOrigin


@dataclass(frozen=True, slots=True, kw_only=True)
class Pools:
    """The gateways that streams are distributed over, for one set of live members.

    Parameters
    ----------
    live : sequence of MemberRecord
        The live gateways.
    ids : sequence of sequence of str
        Ids of those that remember streams, by failure domain.
    by_id : mapping of str to MemberRecord
        The live gateways by id.
    """

    live: Sequence[MemberRecord]
    ids: Sequence[Sequence[str]] = ()
    by_id: Mapping[str, MemberRecord] = field(default_factory=dict)


class StreamOrigins:
    """Stores and finds the software versions that began streams.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and holds connections to them.
    live : callable
        Returns the live gateways, this one included.
    workers : WorkerTable
        The listed workers.
    is_first_start : bool
        True if no stream can have begun before this process.
    n_replicas : int
        Gateways that remember a stream besides this one.
    """

    __slots__ = (
        "_live",
        "_n_replicas",
        "_pending",
        "_pools",
        "_process",
        "_served",
        "_tasks",
        "versions",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        live: Callable[[], Sequence[MemberRecord]],
        workers: WorkerTable,
        is_first_start: bool = False,
        n_replicas: int = N_REPLICAS,
    ) -> None:
        self._process = process
        self._live = live
        self._n_replicas = n_replicas
        self._served = ServedVersions(workers=workers, is_first_start=is_first_start)
        self._pending: dict[Address, list[StreamOrigin]] = {}
        self._pools = Pools(live=())
        self._tasks: set[asyncio.Task[None]] = set()
        self.versions = StreamVersions()
        process.message_listeners.append(self._on_message)
        process.server.add_handler(FindOrigin, self.respond)

    def record(self, attempt_id: str, software_version: str) -> None:
        """Store which version began a stream, here and at the replicas."""
        key = stream_key(attempt_id)
        self.versions.put(key, software_version)
        origin = StreamOrigin(key=key, software_version=software_version)
        for address in self._replicas(key):
            pending = self._pending.get(address)
            if pending is not None:
                pending.append(origin)
                continue
            self._pending[address] = [origin]
            task = asyncio.create_task(self._replicate(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def find(self, attempt_id: str, service: str, *, life_s: float) -> Origin:
        """Return which version began a stream.

        Parameters
        ----------
        attempt_id : str
            Id of the attempt that brought its first event; empty if it is not known.
        service : str
            Service of the stream.
        life_s : float
            Seconds before which the stream cannot have begun.
        """
        key = stream_key(attempt_id)
        known = self.versions.get(key)
        if known is not None:
            return KnownOrigin(software_version=known)
        request = FindOrigin(
            key=key, service_name=service, life_ms=int(life_s * MS_PER_S)
        )
        queries = [
            asyncio.create_task(self._query(address, request))
            for address in self._lookup_targets(key)
        ]
        sole_versions = {self._served.sole_version(service, life_s)}
        n_silent = 0
        try:
            for answer in asyncio.as_completed(queries):
                found = await answer
                if found is None:
                    n_silent += 1
                elif found.is_known:
                    return KnownOrigin(software_version=found.software_version)
                else:
                    sole_versions.add(found.sole_version)
        finally:
            for task in queries:
                task.cancel()
        # A gateway that did not answer may know another version, of which this one
        # has not heard.
        versions = [version for version in sole_versions if version is not None]
        if not n_silent and len(versions) == 1:
            return KnownOrigin(software_version=versions[0])
        return UnknownOrigin(
            is_final=not n_silent,
            detail=(
                f"queried {len(queries)} of {len(self._live())} live gateways,"
                f" {n_silent} silent"
            ),
        )

    async def respond(self, request: FindOrigin, peer: Hello) -> OriginFound:
        """Return the version that began a stream, if it is known here."""
        life_s = max(0, request.life_ms) / MS_PER_S
        known = self.versions.get(request.key)
        return OriginFound(
            is_known=known is not None,
            software_version=known or "",
            sole_version=self._served.sole_version(request.service_name, life_s),
        )

    async def _query(self, address: Address, request: FindOrigin) -> OriginFound | None:
        link = self._process.peers.link(address)
        match await link.ask(request, timeout_s=FIND_TIMEOUT_S):
            case Ok(OriginFound() as found):
                return found
            case _:
                return None

    async def _replicate(self, address: Address) -> None:
        """Send a replica the streams that have been collected for it."""
        await asyncio.sleep(BATCH_WINDOW_S)
        link = self._process.peers.link(address)
        if link.connection is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await link.opened.wait()
        begun = StreamsBegun(origins=self._pending.pop(address))
        if not link.send(begun):
            logging.log_every_n_seconds(
                logging.WARNING,
                "%s did not receive the origins of %d streams",
                LOG_INTERVAL_S,
                address,
                len(begun.origins),
            )

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, StreamsBegun):
            for origin in message.origins:
                self.versions.put(origin.key, origin.software_version)

    def _replicas(self, key: bytes) -> list[Address]:
        """Return the replicas of a stream that begins here.

        They are in different failure domains if there are enough.
        """
        chosen: list[MemberRecord] = []
        for n_each in range(1, self._n_replicas + 1):
            chosen = self._highest_ranked(
                key, n_domains=self._n_replicas, n_each=n_each
            )
            if len(chosen) >= self._n_replicas:
                break
        return _addresses(chosen[: self._n_replicas])

    def _lookup_targets(self, key: bytes) -> list[Address]:
        """Return the gateways that may know a stream which began elsewhere."""
        return _addresses(
            self._highest_ranked(
                key, n_domains=N_DOMAINS_QUERIED, n_each=N_QUERIED_PER_DOMAIN
            )
        )

    def _highest_ranked(
        self, key: bytes, *, n_domains: int, n_each: int
    ) -> list[MemberRecord]:
        """Return the gateways that rank first for a key, except this one."""
        name = key.hex()
        ranked: dict[str, list[str]] = {}
        for pool in self._current_pools():
            ids = [each for each in pool if each != self._process.identity.process_id]
            first = highest(name, ids, n=n_each)
            if first:
                ranked[first[0]] = first
        heads = highest(name, ranked, n=n_domains)
        by_id = self._pools.by_id
        return [by_id[each] for head in heads for each in ranked[head]]

    def _current_pools(self) -> Sequence[Sequence[str]]:
        live = self._live()
        if live is not self._pools.live:
            self._pools = _pools(live)
        return self._pools.ids


def _pools(live: Sequence[MemberRecord]) -> Pools:
    """Return the gateways of each failure domain that rank first for duties."""
    by_domain: dict[str, list[MemberRecord]] = {}
    for member in sorted(live, key=duty_rank):
        by_domain.setdefault(member.failure_domain, []).append(member)
    ids = []
    for members in by_domain.values():
        n = len(members) // GATEWAYS_PER_POOL_MEMBER
        size = min(MAX_POOL_PER_DOMAIN, max(MIN_POOL_PER_DOMAIN, n))
        ids.append([member.process_id for member in members[:size]])
    by_id = {member.process_id: member for member in live}
    return Pools(live=live, ids=ids, by_id=by_id)


def _addresses(members: Sequence[MemberRecord]) -> list[Address]:
    parsed = [Address.parse(member.address) for member in members]
    return [address.ok_value for address in parsed if isinstance(address, Ok)]
