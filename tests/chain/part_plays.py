"""Plays of parts of prompts that crash workers, in virtual time, drawn from a seed.

``python -m tests.chain parts --seeds 20`` prints what they show, and what other ways to
decide about parts would.
"""

import asyncio
import itertools
import random
import statistics
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import pytest

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.crash_registry import (
    BLOCK_AFTER,
    Crash,
    CrashRegistry,
    CrashStatus,
)
from trefoilpaddle.state.chain.fingerprint import is_part, part_fingerprint
from trefoilpaddle.state.chain.worker_runs import RunOutcome
from trefoilpaddle.state.chain.workers import Worker

from .crash_fleet import CrashFleet, Gateway, crash_fleet
from .crash_plays import Exit, Server
from .virtual_time import run_virtual

PLAY_S: Final = 20.0
BAD_FROM_S: Final = 3.0
RESTART_S: Final = 3.0
SILENCE_S: Final = 1.6
MAX_ATTEMPTS: Final = 2

KNOWN_S: Final = 3.0
"""Time after the fifth crash within which all gateways must know the part."""

SETTLED_S: Final = 6.0
"""Time after the fifth crash, or the last, from which sound requests are counted."""

FIRST: Final = tuple(part_fingerprint(f"first{n}") for n in range(3))
MIDDLE: Final = tuple(part_fingerprint(f"middle{n}") for n in range(8))
BAD: Final = tuple(part_fingerprint(f"bad{n}") for n in range(2))


class IsolatingRegistry(CrashRegistry):
    """Isolates a part after two crashes, as a request."""

    def status(
        self, fingerprint: str, *, within: frozenset[str] = frozenset()
    ) -> CrashStatus:
        """Return what may be done with a subject now."""
        status = super().status(fingerprint, within=within)
        if is_part(fingerprint) and status is CrashStatus.WATCHED:
            record = self._records[fingerprint]
            is_twice = record.n_successive() == BLOCK_AFTER - 1
            if is_twice and not self._has_other_cause(fingerprint, record, within):
                return CrashStatus.SUSPECT
        return status


class CountingRegistry(CrashRegistry):
    """Blocks a part by the share of its runs that crashed, and clears none."""

    def __init__(self) -> None:
        super().__init__()
        self._n_good: Counter[str] = Counter()

    def status(
        self, fingerprint: str, *, within: frozenset[str] = frozenset()
    ) -> CrashStatus:
        """Return what may be done with a subject now."""
        if not is_part(fingerprint):
            return super().status(fingerprint, within=within)
        n_crashes = len(self.crashes(fingerprint))
        if n_crashes >= BLOCK_AFTER and n_crashes > self._n_good[fingerprint]:
            return CrashStatus.BLOCKED
        # The guard counts the good end of a subject that is not clear by `clear`.
        return CrashStatus.WATCHED

    def clear(self, fingerprint: str) -> bool:
        """Count a good end of a part."""
        if not is_part(fingerprint):
            return super().clear(fingerprint)
        self._n_good[fingerprint] += 1
        return False


class RequestsOnlyRegistry(CrashRegistry):
    """Ignores parts, as before they were watched."""

    def record(self, fingerprint: str, crash: Crash) -> bool:
        """Record the crash of a request."""
        return not is_part(fingerprint) and super().record(fingerprint, crash)


WAYS: Final[Mapping[str, Callable[[], CrashRegistry]]] = OrderedDict(
    kept=CrashRegistry,
    isolated=IsolatingRegistry,
    counted=CountingRegistry,
    requests=RequestsOnlyRegistry,
)
"""Registries of the ways that are compared."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What a play consists of.

    Parameters
    ----------
    n_bad : int
        Number of bad parts; 0 lets workers crash by themselves.
    is_first : bool
        True if the bad part comes first in its prompts, False for the middle.
    bad_gap_s : float
        Mean seconds between two requests with a bad part, or between crashes.
    crash_delay_s : float
        Seconds from the start of such a request to the crash.
    sound_per_s : float
        Sound requests per second.
    run_s : float
        Mean seconds that a sound request takes.
    exit_kind : Exit
        How crashed workers answer.
    n_bad_gateways : int
        Gateways that get requests with a bad part; 0 for all.
    may_repeat : bool
        True if a gateway sends a request again after a crash.
    first_parts : sequence of str
        First parts of sound requests.
    """

    n_bad: int = 1
    is_first: bool = False
    bad_gap_s: float = 0.35
    crash_delay_s: float = 0.05
    sound_per_s: float = 30.0
    run_s: float = 0.4
    exit_kind: Exit = Exit.REFUSES
    n_bad_gateways: int = 0
    may_repeat: bool = True
    first_parts: Sequence[str] = FIRST


LOADS: Final[Mapping[str, Load]] = {
    "middle": Load(),
    "first": Load(is_first=True),
    "runs once": Load(may_repeat=False),
    "overlapping": Load(crash_delay_s=1.5),
    "two parts": Load(n_bad=2, is_first=True),
    "one gateway": Load(n_bad_gateways=1),
    "thin": Load(sound_per_s=1.0, bad_gap_s=1.0),
    "thin and long": Load(sound_per_s=1.0, run_s=4.0),
    "one first part": Load(first_parts=FIRST[:1]),
    "long": Load(run_s=6.0),
    "long-first": Load(run_s=6.0, is_first=True),
    "long-popular": Load(run_s=6.0, first_parts=FIRST[:1]),
    "cuts": Load(exit_kind=Exit.CUTS),
    "silent": Load(exit_kind=Exit.SILENT, bad_gap_s=1.0),
    "alone": Load(n_bad=0, bad_gap_s=0.8),
    "alone and thin": Load(n_bad=0, bad_gap_s=0.8, sound_per_s=1.0, run_s=2.0),
    "alone and often": Load(n_bad=0, first_parts=FIRST[:1]),
    "alone and long": Load(n_bad=0, bad_gap_s=0.7, run_s=10.0),
}
"""The loads that are played, by name."""


@dataclass(slots=True, kw_only=True)
class Seen:
    """What a play has shown.

    Attributes
    ----------
    sound : list of tuple of float and str
        Time at which each sound request was sent, and how it ended.
    crashed_s : list of float
        Times of the crashes.
    begun_s : list of float
        Times at which requests with a bad part reached workers.
    n_blocked : int
        Sound requests that were refused for a part or a request that crashes workers.
    """

    sound: list[tuple[float, str]] = field(default_factory=list)
    crashed_s: list[float] = field(default_factory=list)
    begun_s: list[float] = field(default_factory=list)
    n_blocked: int = 0

    def n_late(self) -> int:
        """Return how many such requests reached workers once all had to know."""
        if len(self.crashed_s) < 5:
            return 0
        return sum(each > self.crashed_s[4] + KNOWN_S for each in self.begun_s)

    def served_share(self) -> float:
        """Return the share of sound requests answered after the part was known."""
        from_s = (self.crashed_s[:5] or [0.0])[-1] + SETTLED_S
        late = [end for sent_s, end in self.sound if sent_s > from_s]
        return late.count("answered") / max(1, len(late))

    def served_share_of_all(self) -> float:
        """Return the share of all sound requests that were answered."""
        return sum(end == "answered" for _, end in self.sound) / len(self.sound)


class PartPlay:
    """Gateways, workers and callers; parts of prompts may crash workers.

    Parameters
    ----------
    fleet : CrashFleet
        The gateways.
    rng : random.Random
        Draws all delays and choices.
    load : Load
        What is played.
    """

    def __init__(self, *, fleet: CrashFleet, rng: random.Random, load: Load) -> None:
        self._fleet = fleet
        self._rng = rng
        self._load = load
        self._servers = {
            worker.worker_id: Server()
            for worker in fleet.every[0].workers.usable("plain", excluded=())
        }
        self._numbers = itertools.count()
        self._bad_gateways = fleet.every[: load.n_bad_gateways or None]
        self.seen = Seen()

    async def run(self) -> Seen:
        """Play until the time is over."""
        tasks: set[asyncio.Task[Any]] = set()
        for arrivals in (self._send_sound(tasks), self._send_bad(tasks)):
            tasks.add(asyncio.create_task(arrivals))
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        self.seen.crashed_s.sort()
        return self.seen

    async def _send_sound(self, tasks: set[asyncio.Task[Any]]) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._load.sound_per_s))
            tasks.add(asyncio.create_task(self._send_one_sound()))

    async def _send_one_sound(self) -> None:
        sent_s = asyncio.get_running_loop().time()
        parts = (
            self._rng.choice(self._load.first_parts),
            self._rng.choice(MIDDLE),
        )
        end = await self._request(self._rng.choice(self._fleet.every), parts)
        self.seen.sound.append((sent_s, end))
        self.seen.n_blocked += end == Reason.CRASHES_WORKERS.name.lower()

    async def _send_bad(self, tasks: set[asyncio.Task[Any]]) -> None:
        load = self._load
        await asyncio.sleep(BAD_FROM_S)
        for number in itertools.count():
            if load.n_bad:
                parts = [self._rng.choice(load.first_parts), self._rng.choice(MIDDLE)]
                parts[0 if load.is_first else 1] = BAD[number % load.n_bad]
                gateway = self._rng.choice(self._bad_gateways)
                request = self._request(gateway, tuple(parts))
                tasks.add(asyncio.create_task(request))
            else:
                self._crash(self._rng.choice(list(self._servers)))
            await asyncio.sleep(load.bad_gap_s * self._rng.uniform(0.5, 1.5))

    async def _request(self, gateway: Gateway, parts: tuple[str, ...]) -> str:
        """Send a request to a gateway; return how it ended."""
        fingerprint = f"{next(self._numbers):032x}"
        tried: set[str] = set()
        n_sent = 0
        while n_sent < MAX_ATTEMPTS:
            refusal = gateway.guard.refusal(fingerprint, parts)
            if refusal is not None:
                return refusal.reason.name.lower()
            worker = self._choose(gateway, tried)
            if worker is None:
                return "no_target"
            if not await gateway.guard.may_run_at(worker, (fingerprint,), parts):
                tried.add(worker.worker_id)
                gateway.workers.mark_suspect(worker)
                continue
            if gateway.guard.refusal(fingerprint, parts) is not None:
                continue
            with gateway.guard.running(worker, fingerprint, parts) as run:
                run.end = await self._serve(worker, parts)
            if run.end is RunOutcome.ANSWERED:
                gateway.workers.clear_suspicion(worker)
                return "answered"
            tried.add(worker.worker_id)
            gateway.workers.mark_suspect(worker)
            if run.end not in (RunOutcome.REFUSED, RunOutcome.NOT_RUN):
                n_sent += 1
                if not self._load.may_repeat:
                    return "failed"
            await gateway.guard.wait_for_exit_check(worker)
        return "failed"

    def _choose(self, gateway: Gateway, tried: set[str]) -> Worker | None:
        isolating = gateway.guard.isolating_workers()
        for excluded in (tried | isolating, tried):
            usable = gateway.workers.usable("plain", excluded=excluded)
            if usable:
                return self._rng.choice(list(usable))
        return None

    async def _serve(self, worker: Worker, parts: tuple[str, ...]) -> RunOutcome:
        """Run a request at a worker as its gateway sees it."""
        await asyncio.sleep(self._rng.uniform(0.0002, 0.002))
        server = self._servers[worker.worker_id]
        if not server.is_up:
            match self._load.exit_kind:
                case Exit.REFUSES:
                    return RunOutcome.REFUSED
                case Exit.CUTS:
                    return RunOutcome.BROKEN
                case Exit.SILENT:
                    await asyncio.sleep(SILENCE_S)
                    return RunOutcome.SILENT
        if server.born_ms != worker.born_ms:
            return RunOutcome.NOT_RUN
        work_s = self._load.run_s * self._rng.uniform(0.3, 1.7)
        if not set(BAD).isdisjoint(parts):
            loop = asyncio.get_running_loop()
            self.seen.begun_s.append(loop.time())
            loop.call_later(self._load.crash_delay_s, self._crash_start, worker)
            work_s = PLAY_S
        try:
            async with asyncio.timeout(work_s):
                await server.exited.wait()
        except TimeoutError:
            return RunOutcome.ANSWERED
        if self._load.exit_kind is Exit.SILENT:
            await asyncio.sleep(SILENCE_S)
            return RunOutcome.SILENT
        return RunOutcome.BROKEN

    def _crash_start(self, worker: Worker) -> None:
        if self._servers[worker.worker_id].born_ms == worker.born_ms:
            self._crash(worker.worker_id)

    def _crash(self, worker_id: str) -> None:
        server = self._servers[worker_id]
        if not server.is_up:
            return
        server.is_up = False
        server.exited.set()
        loop = asyncio.get_running_loop()
        self.seen.crashed_s.append(loop.time())
        if self._load.exit_kind is Exit.SILENT:
            self._fleet.calls.unreachable.add(worker_id)
        else:
            self._fleet.calls.refusing.add(worker_id)
        loop.call_later(RESTART_S, self._restart, worker_id)

    def _restart(self, worker_id: str) -> None:
        server = self._servers[worker_id]
        server.born_ms += 1
        server.is_up = True
        server.exited = asyncio.Event()
        self._fleet.calls.refusing.discard(worker_id)
        self._fleet.calls.unreachable.discard(worker_id)
        loop = asyncio.get_running_loop()
        for gateway in self._fleet.every:
            delay_s = self._rng.uniform(0.02, 0.6)
            loop.call_later(delay_s, gateway.list_start, worker_id, server.born_ms)


async def play(seed: int, load: Load, registry: Callable[[], CrashRegistry]) -> Seen:
    """Play a seed; return what it has shown."""
    rng = random.Random(f"parts {seed}")
    async with crash_fleet(8, n_workers=14, registry=registry) as fleet:
        return await PartPlay(fleet=fleet, rng=rng, load=load).run()


def play_seed(
    seed: int, load: Load, registry: Callable[[], CrashRegistry] = CrashRegistry
) -> Seen:
    """Play a seed in virtual time."""
    with pytest.MonkeyPatch.context() as patch:
        random.seed(seed)
        return run_virtual(patch, play(seed, load, registry))


def print_parts(
    seeds: int = 20, ways: Sequence[str] = (), loads: Sequence[str] = ()
) -> None:
    """Print what the plays show, by load and way of deciding.

    Parameters
    ----------
    seeds : int
        Number of seeds of each load.
    ways, loads : sequence of str
        Names of what is played; empty for all.
    """
    print("load             way       crashes  late  worst  served  of all  blocked")
    for name, load in LOADS.items():
        if loads and name not in loads:
            continue
        for way, registry in WAYS.items():
            if ways and way not in ways:
                continue
            plays = [play_seed(seed, load, registry) for seed in range(seeds)]
            n_late = [each.n_late() for each in plays]
            print(
                f"{name:16} {way:9}"
                f" {statistics.mean(len(each.crashed_s) for each in plays):7.1f}"
                f" {statistics.mean(n_late):5.1f} {max(n_late):6}"
                f" {statistics.mean(each.served_share() for each in plays):7.3f}"
                f" {statistics.mean(e.served_share_of_all() for e in plays):7.3f}"
                f" {sum(each.n_blocked for each in plays):8}",
                flush=True,
            )
