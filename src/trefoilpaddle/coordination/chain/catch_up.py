"""Asks other gateways for what they alone know, after the start of this one.

The links on which they send it open some tenths of a second after a gateway has started
to serve.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from absl import logging
from result import Ok

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import (
    CatchUpPull,
    CatchUpState,
    ServedNews,
    ServedSplit,
    ServedVersion,
    VersionCount,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.served_versions import (
    MAX_KNOWN_S,
    ServedHistory,
    ServedVersions,
)
from ...state.chain.version_splits import VersionSplit
from ...state.members import MemberRecord
from ...transport.connection import Address
from ..own_process import OwnProcess
from .crash_relay import CrashRelay
from .limit_relay import LimitRelay

CATCH_UP_AT_MOST_S: Final = 1.0
"""Seconds after the start for which requests wait for what others know."""

QUERY_TIMEOUT_S: Final = 0.3
"""Longest wait in seconds for a queried gateway; many times a message's latency."""

ROUND_PERIOD_S: Final = 0.05
"""Seconds between two rounds of queries while no answer is complete."""

SYNCED_AFTER_S: Final = 5.0
"""Seconds after the start after which all links have brought what others know."""

N_QUERIED: Final = 3
"""Live gateways that are queried at a time, and as many that are stopping."""

MAX_WORKERS: Final = 20_000
"""Largest credible number of workers in one split; finding a version counts them."""

MAX_NAME_CHARS: Final = 256
"""Longest name of a service or a software version in a history."""

Members = Callable[[], Sequence[MemberRecord]]


class CatchUp:
    """Collects what other gateways know before requests are sent.

    Parameters
    ----------
    process : OwnProcess
        Holds connections to peers and answers their queries.
    crashes : CrashRelay
        Receives crashes, and provides those that are known here.
    limits : LimitRelay
        Receives limits of workers, and provides those that are known here.
    served : ServedVersions
        Receives which versions have served, and provides what is known here.
    live : callable
        Returns the live gateways, this one included.
    stopping : callable
        Returns those that have been ordered to stop and may still run.
    wait_known : callable
        Waits until another gateway is known, for a bounded time after the start.
    is_settled : callable
        Returns True once this gateway knows the others.
    is_alone : bool
        True if no other gateway can know anything.
    """

    __slots__ = (
        "_began_s",
        "_crashes",
        "_is_settled",
        "_is_told",
        "_limits",
        "_live",
        "_over",
        "_own_id",
        "_process",
        "_served",
        "_stopping",
        "_wait_known",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        crashes: CrashRelay,
        limits: LimitRelay,
        served: ServedVersions,
        live: Members,
        stopping: Members,
        wait_known: Callable[[], Awaitable[None]],
        is_settled: Callable[[], bool],
        is_alone: bool = False,
    ) -> None:
        self._process = process
        self._crashes = crashes
        self._limits = limits
        self._served = served
        self._live = live
        self._stopping = stopping
        self._wait_known = wait_known
        self._is_settled = is_settled
        self._own_id = process.identity.process_id
        self._began_s = time.monotonic()
        self._is_told = is_alone
        self._over = asyncio.Event()
        if is_alone:
            self._over.set()
        process.server.add_handler(CatchUpPull, self.respond)

    @property
    def is_over(self) -> bool:
        """True once requests need not wait any more."""
        return self._over.is_set()

    def _knows_all(self) -> bool:
        """Return True if this gateway knows what those did that stopped before it."""
        return self._is_told or time.monotonic() - self._began_s > SYNCED_AFTER_S

    async def wait(self) -> None:
        """Wait until it is over, which `run` ensures after a bounded time."""
        await self._over.wait()

    async def run(self) -> None:
        """Query other gateways until one has told all, for a bounded time."""
        try:
            remaining_s = self._began_s + CATCH_UP_AT_MOST_S - time.monotonic()
            async with asyncio.timeout(remaining_s):
                await self._catch_up()
        except TimeoutError:
            logging.warning("no other gateway has told what it knows")
        except Exception:
            logging.exception("asking other gateways failed")
        finally:
            self._over.set()

    async def _catch_up(self) -> None:
        if self._is_told:
            return
        await self._wait_known()
        while not await self._query_round():  # noqa: ASYNC110 - no event signals it
            await asyncio.sleep(ROUND_PERIOD_S)

    async def _query_round(self) -> bool:
        """Query some gateways; return True if no further round is needed.

        That is once one has told all, or once all have answered that they have just
        started as well.
        """
        is_settled = self._is_settled()
        queries = [
            asyncio.create_task(self._query(member.address))
            for member in self._queried()
        ]
        n_answers = 0
        try:
            for answer in asyncio.as_completed(queries):
                found = await answer
                if found is None:
                    continue
                n_answers += 1
                if found.crashes is not None:
                    self._crashes.receive(found.crashes)
                if found.limits is not None:
                    self._limits.receive(found.limits)
                if found.served is not None:
                    self._served.inherit(_served_from_wire(found.served))
                if found.is_complete:
                    self._is_told = True
                    return True
        finally:
            for task in queries:
                task.cancel()
        return is_settled and 0 < n_answers == len(queries)

    def _queried(self) -> list[MemberRecord]:
        """Return the live gateways that started first, and the last ordered to stop."""
        live = sorted(
            (each for each in self._live() if each.process_id != self._own_id),
            key=lambda each: each.incarnation,
        )
        return [*live[:N_QUERIED], *list(self._stopping())[-N_QUERIED:]]

    async def _query(self, address_text: str) -> CatchUpState | None:
        address = Address.parse(address_text)
        if not isinstance(address, Ok):
            return None
        link = self._process.peers.link(address.ok_value)
        match await link.ask(CatchUpPull(), timeout_s=QUERY_TIMEOUT_S):
            case Ok(CatchUpState() as found):
                return found
            case _:
                return None

    async def respond(self, request: CatchUpPull, peer: Hello) -> CatchUpState:
        """Return what is known here."""
        history = self._served.history()
        return CatchUpState(
            is_complete=self._knows_all(),
            crashes=self._crashes.all_known(),
            limits=self._limits.all_known(),
            served=None if history is None else _served_to_wire(history),
        )


def _served_to_wire(history: ServedHistory) -> ServedNews:
    ended_s: dict[tuple[str, str], float] = {}
    for service, past_splits in history.ended_s.items():
        for split, ago_s in past_splits:
            for version, _ in split.counts:
                known_s = ended_s.get((service, version), ago_s)
                ended_s[service, version] = min(known_s, ago_s)
    return ServedNews(
        known_ms=int(history.known_s * MS_PER_S),
        versions=[
            ServedVersion(
                service_name=service,
                software_version=version,
                ended_ms=int(ago_s * MS_PER_S),
            )
            for (service, version), ago_s in ended_s.items()
        ],
        splits=[
            ServedSplit(
                service_name=service,
                counts=[
                    VersionCount(software_version=version, n_workers=n_workers)
                    for version, n_workers in split.counts
                ],
                ended_ms=int(ago_s * MS_PER_S),
                n_unknown=split.n_unknown,
            )
            for service, past_splits in history.ended_s.items()
            for split, ago_s in past_splits
        ],
    )


def _served_from_wire(news: ServedNews) -> ServedHistory:
    """Return a peer's history; one of a build without splits tells nothing.

    Neither does one with a split that cannot be read: without that split, a version
    would be inferred although another one has served.
    """
    if not all(map(_is_credible, news.splits)):
        logging.warning("ignored a history of software versions from a peer")
        return ServedHistory(known_s=0.0)
    ended_s: dict[str, tuple[tuple[VersionSplit, float], ...]] = {}
    for each in news.splits:
        counts = {
            count.software_version: count.n_workers
            for count in each.counts
            if count.n_workers > 0
        }
        split = VersionSplit(
            counts=tuple(sorted(counts.items())), n_unknown=max(0, each.n_unknown)
        )
        ago_s = min(MAX_KNOWN_S, max(0, each.ended_ms) / MS_PER_S)
        ended_s[each.service_name] = (
            *ended_s.get(each.service_name, ()),
            (split, ago_s),
        )
    known_s = max(0, news.known_ms) / MS_PER_S if news.splits else 0.0
    return ServedHistory(known_s=min(MAX_KNOWN_S, known_s), ended_s=ended_s)


def _is_credible(split: ServedSplit) -> bool:
    """Return True if a split can be computed with, and be sent on."""
    numbers = [max(0, count.n_workers) for count in split.counts]
    texts = [split.service_name, *(count.software_version for count in split.counts)]
    return sum(numbers) + max(0, split.n_unknown) <= MAX_WORKERS and all(
        len(text) <= MAX_NAME_CHARS for text in texts
    )
