"""Replicates which software version began a stream, and looks it up.

A caller may resume a stream at any gateway, and the one that began it may be gone. Two
replicas store the origin of each stream that may be resumed. Whoever stores one sends
it to the gateways that become its replicas when members join, stop or are lost: a
rolling restart stops all that stored it. The version of an unknown stream is inferred
where only one can have begun it, and never guessed.
"""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
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
from ...state.chain.stream_versions import StreamVersion, StreamVersions, stream_key
from ...state.chain.version_splits import UNKNOWN_VERSION
from ...state.chain.workers import WorkerTable
from ...state.members import MemberRecord
from ...transport.connection import Address, Connection
from ..own_process import OwnProcess
from .origin_placement import OriginPlacement, Pools
from .view_lease import ViewLease

BATCH_WINDOW_S: Final = 0.005
"""Time for which streams that begin are collected before they are replicated."""

CONNECT_TIMEOUT_S: Final = 1.0
"""Time in seconds after which it is checked whether a replica is still one."""

LOG_INTERVAL_S: Final = 1.0
"""Shortest time between two lines about replicas that cannot be reached."""

FIND_TIMEOUT_S: Final = 0.3
"""Longest wait for a queried gateway; many times a message's latency."""

HISTORY_WAIT_S: Final = 0.8
"""Longest wait for the store's history, from which a version is inferred."""

HISTORY_TIMEOUT_S: Final = 1.0
"""Longest wait for a queried gateway that may have to read that history first."""

STOPPING_WAIT_S: Final = 0.1
"""Longest further wait for gateways that stop, once all live ones have answered.

One that has exited is not told from one that is still stopping. Streams that no gateway
knows waited for it for the whole timeout.
"""

MAX_PER_MESSAGE: Final = 500
"""Origins in one message, about 25 kB."""

UNSTATED_LIFE_S: Final = 60.0
"""Life in seconds of a stream from a peer whose build does not state it."""

MAX_LIFE_MS: Final = 86_400_000
"""Longest life of a stream that is taken over from a peer, in milliseconds."""

DETECTION_S: Final = 10.0
"""Longest time in seconds until a gateway knows which others are out of reach."""

CHECK_PERIOD_S: Final = 0.1
"""Period in seconds of the check for a change of the gateways that store streams."""

N_PER_TURN: Final = 20
"""Streams that are distributed anew in one turn of the event loop; some 6 ms."""


MAX_LOGGED_VERSIONS: Final = 4
"""Software versions that one log line names."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownOrigin:
    """The software version that began a stream.

    Parameters
    ----------
    software_version : str
        The version.
    source : str
        Where it is known from, for the log.
    detail : str
        How well it is known, for the log.
    """

    software_version: str
    source: str = field(default="", compare=False)
    detail: str = field(default="", compare=False)

    def describe(self) -> str:
        """Return where the version is known from, and how well."""
        return f"{self.source}, {self.detail}" if self.detail else self.source


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


class StreamOrigins:
    """Stores and finds the software versions that began streams.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and holds connections to them.
    placement : OriginPlacement
        Chooses the replicas and the gateways that are queried.
    workers : WorkerTable
        The listed workers.
    wait_known : callable
        Waits until another gateway is known, for a bounded time after the start.
    read_history : callable
        Extends `served` by the store's history; waits for it for as many seconds as it
        is called with.
    lease : ViewLease or None
        How far the list of workers can be relied on; None if it is always current.

    Attributes
    ----------
    served : ServedVersions
        Which versions have served lately.
    versions : StreamVersions
        The versions that began streams.
    """

    __slots__ = (
        "_cut_off_since_s",
        "_pending",
        "_placement",
        "_process",
        "_read_history",
        "_tasks",
        "_wait_known",
        "lease",
        "served",
        "versions",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        placement: OriginPlacement,
        workers: WorkerTable,
        wait_known: Callable[[], Awaitable[None]],
        read_history: Callable[[float], Awaitable[None]] | None = None,
        lease: ViewLease | None = None,
    ) -> None:
        self.lease = lease
        self._process = process
        self._placement = placement
        self._wait_known = wait_known
        self._cut_off_since_s: float | None = None
        self._read_history = read_history
        self.served = ServedVersions(workers=workers)
        self._pending: dict[Address, dict[bytes, StreamVersion]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.versions = StreamVersions()
        process.message_listeners.append(self._on_message)
        process.server.add_handler(FindOrigin, self.respond)

    async def run(self) -> None:
        """Keep replicas of all streams as the gateways change, until cancelled."""
        distributed = self._placement.pools()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self._keep_splits()
            pools = self._placement.pools()
            if pools is distributed:
                continue
            if pools.starts() != distributed.starts():
                await self._distribute(distributed, pools)
            distributed = pools

    def _keep_splits(self) -> None:
        """Keep the splits that gateways out of reach may still begin streams by.

        They may have gone on without the store, as at least half of those that they
        know; since then others may have joined here.
        """
        if self.lease is None or not self.lease.is_any_out_of_reach():
            self._cut_off_since_s = None
            return
        now_s = time.monotonic()
        if self._cut_off_since_s is None:
            self._cut_off_since_s = now_s - DETECTION_S
        self.served.keep(since_s=self._cut_off_since_s)

    def record(self, attempt_id: str, software_version: str, *, life_s: float) -> None:
        """Store which version began a stream, here and at the replicas.

        Parameters
        ----------
        attempt_id : str
            Id of the attempt that brought its first event.
        software_version : str
            The version.
        life_s : float
            Seconds for which the stream may be resumed.
        """
        key = stream_key(attempt_id)
        self.versions.put(key, software_version, life_s=life_s)
        begun = StreamVersion(
            software_version=software_version, until_s=time.monotonic() + life_s
        )
        for replica in self._placement.replicas(key, self._placement.pools()):
            self._send(replica, key, begun)

    async def find(
        self, attempt_id: str, service: str, *, life_s: float, may_infer: bool = True
    ) -> Origin:
        """Return which version began a stream.

        Parameters
        ----------
        attempt_id : str
            Id of the attempt that brought its first event; empty if it is not known.
        service : str
            Service of the stream.
        life_s : float
            Seconds before which the stream cannot have begun.
        may_infer : bool
            False if streams may have begun without regard to their attempts.
        """
        key = stream_key(attempt_id)
        known = self.versions.get(key)
        if known is not None:
            return KnownOrigin(software_version=known, source="stored here")
        await self._wait_known()
        request = FindOrigin(
            key=key, service_name=service, life_ms=int(life_s * MS_PER_S)
        )
        is_known = self.served.is_known_for(service, life_s)
        timeout_s = FIND_TIMEOUT_S if is_known else HISTORY_TIMEOUT_S
        targets = self._placement.lookup_targets(key)
        if not is_known:
            readers = self._placement.other_history_readers()
            targets += [reader for reader in readers if reader not in targets]
        others = self._begin_queries(targets, request, timeout_s)
        live = [*others, asyncio.create_task(self._answer(request))]
        stopping = self._begin_queries(
            self._placement.stopping_targets(key), request, FIND_TIMEOUT_S
        )
        pending = {*live, *stopping}
        try:
            while True:
                if pending.isdisjoint(live):
                    answers = [task.result() for task in live]
                    sole = _sole_version(answers) if may_infer else None
                    if sole is not None:
                        return KnownOrigin(
                            software_version=sole,
                            source="inferred",
                            detail=f"{len(others)} live gateways queried"
                            + self._describe_lease(),
                        )
                if not pending:
                    break
                have_live_answered = bool(others) and pending.isdisjoint(live)
                done, pending = await asyncio.wait(
                    pending,
                    return_when=asyncio.FIRST_COMPLETED,
                    timeout=STOPPING_WAIT_S if have_live_answered else None,
                )
                if not done:
                    break
                for found in (task.result() for task in done):
                    if found is not None and found.is_known:
                        return KnownOrigin(
                            software_version=found.software_version,
                            source="stored by another gateway",
                        )
        finally:
            for task in pending:
                task.cancel()
        n_silent = sum(task.result() is None for task in others)
        return UnknownOrigin(
            is_final=not n_silent,
            detail=(
                f"{len(others)} live gateways queried, {n_silent} silent;"
                f" {len(stopping)} that stop; attempt "
                + ("named" if attempt_id else "not named")
                + f"; {self._describe_served(service, life_s)}"
                + ("" if may_infer else "; the route has changed")
                + self._describe_lease()
            ),
        )

    def _describe_lease(self) -> str:
        return "" if self.lease is None else f"; {self.lease.describe()}"

    def _describe_served(self, service: str, life_s: float) -> str:
        """Return which versions are known here, and for how long, for the log."""
        known = self.served.versions(service, life_s)
        versions = ["unknown" if v == UNKNOWN_VERSION else v for v in sorted(known)]
        named = ", ".join(versions[:MAX_LOGGED_VERSIONS]) or "none"
        return (
            f"workers known for {min(self.served.known_s, life_s):.1f} of"
            f" {life_s:.1f} s; {len(versions)} versions served: {named}"
        )

    def _begin_queries(
        self, targets: Sequence[MemberRecord], request: FindOrigin, timeout_s: float
    ) -> list["asyncio.Task[OriginFound | None]"]:
        return [
            asyncio.create_task(self._query(address, request, timeout_s))
            for address in _addresses(targets)
        ]

    async def respond(self, request: FindOrigin, peer: Hello) -> OriginFound:
        """Return the version that began a stream, if it is known here."""
        known = self.versions.get(request.key)
        if known is not None:
            return OriginFound(is_known=True, software_version=known)
        return await self._answer(request)

    async def _answer(self, request: FindOrigin) -> OriginFound:
        """Return which version may have begun a stream that is not stored here.

        If all gateways were lost together, only the store knows which workers served
        before. A list that is not current shows which versions have served, but not
        that no other one has.
        """
        service, key = request.service_name, request.key
        life_s = max(0, request.life_ms) / MS_PER_S
        if (
            self._read_history is not None
            and self._placement.reads_history()
            and not self.served.is_known_for(service, life_s)
        ):
            await self._read_history(HISTORY_WAIT_S)
        inferred = self.served.inferred_version(service, key, life_s)
        may_infer = self.lease is None or self.lease.may_infer()
        return OriginFound(
            sole_version=inferred if may_infer else None,
            has_several=self.served.is_ambiguous(service, key, life_s),
        )

    async def _query(
        self, address: Address, request: FindOrigin, timeout_s: float
    ) -> OriginFound | None:
        link = self._process.peers.link(address)
        match await link.ask(request, timeout_s=timeout_s):
            case Ok(OriginFound() as found):
                return found
            case _:
                return None

    async def _distribute(self, before: Pools, after: Pools) -> None:
        """Send the streams stored here to those that have become their replicas."""
        n_sent = 0
        for number, (key, begun) in enumerate(self.versions.unexpired(), start=1):
            had = {
                (replica.process_id, replica.incarnation)
                for replica in self._placement.replicas(key, before)
            }
            for replica in self._placement.replicas(key, after):
                if (replica.process_id, replica.incarnation) not in had:
                    self._send(replica, key, begun)
                    n_sent += 1
            if number % N_PER_TURN == 0:
                await asyncio.sleep(0)
        if n_sent:
            logging.log_every_n_seconds(
                logging.INFO,
                "the gateways that store streams have changed: %d origins are sent on",
                LOG_INTERVAL_S,
                n_sent,
            )

    def _send(self, replica: MemberRecord, key: bytes, begun: StreamVersion) -> None:
        """Queue the origin of a stream for a replica."""
        for address in _addresses([replica]):
            pending = self._pending.get(address)
            if pending is not None:
                pending[key] = begun
                continue
            self._pending[address] = {key: begun}
            task = asyncio.create_task(self._replicate(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _replicate(self, address: Address) -> None:
        """Send a replica the streams that have been collected for it."""
        await asyncio.sleep(BATCH_WINDOW_S)
        link = self._process.peers.link(address)
        while link.connection is None and self._is_storing(address):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await link.opened.wait()
        origins = _to_wire(self._pending.pop(address))
        for first in range(0, len(origins), MAX_PER_MESSAGE):
            begun = StreamsBegun(origins=origins[first : first + MAX_PER_MESSAGE])
            if not link.send(begun):
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "%s did not receive the origins of %d streams",
                    LOG_INTERVAL_S,
                    address,
                    len(origins) - first,
                )
                return

    def _is_storing(self, address: Address) -> bool:
        """Return True if the gateway at an address stores streams."""
        return address in _addresses(self._placement.pools().by_id.values())

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, StreamsBegun):
            for origin in message.origins:
                life_ms = min(MAX_LIFE_MS, max(0, origin.life_ms))
                life_s = life_ms / MS_PER_S or UNSTATED_LIFE_S
                self.versions.put(origin.key, origin.software_version, life_s=life_s)


def _sole_version(answers: Sequence[OriginFound | None]) -> str | None:
    """Return the version of an unknown stream if only one can have begun it, or None.

    A live gateway that did not answer may know another version, of which the others
    have not heard. Those that stop know of no version that the live ones do not.
    """
    known = [each for each in answers if each is not None]
    if len(known) < len(answers) or any(each.has_several for each in known):
        return None
    versions = {each.sole_version for each in known} - {None}
    return versions.pop() if len(versions) == 1 else None


def _to_wire(begun: Mapping[bytes, StreamVersion]) -> list[StreamOrigin]:
    now_s = time.monotonic()
    return [
        StreamOrigin(
            key=key,
            software_version=each.software_version,
            life_ms=max(1, int((each.until_s - now_s) * MS_PER_S)),
        )
        for key, each in begun.items()
    ]


def _addresses(members: Iterable[MemberRecord]) -> list[Address]:
    parsed = [Address.parse(member.address) for member in members]
    return [address.ok_value for address in parsed if isinstance(address, Ok)]
