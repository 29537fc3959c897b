"""Gateways through returns of the store, cuts, slow answers, stops and starts."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from trefoilpaddle.state.chain.workers import Worker

from ..chain.fakes import worker
from .store_network import Backup, Gateway, Network

PROPAGATION_S: Final = 3.0
"""Time from a write, or from the store's return after it, until all know of it."""

STABLE_S: Final = 3.0
"""A removal that soon after a return may be of a worker that has yet to write."""

HEARTBEAT_S: Final = 1.0
BACKUP_INTERVAL_S: Final = 0.5
N_BACKUPS: Final = 16
MEMBER_TIMEOUT_S: Final = 2.0
"""Time after its end by which a gateway counts as gone at the others."""

EXPIRY_SHARE: Final = 0.3
"""Part of the returns after which an entry has run out whose worker lives."""

EXPIRY_DELAY_S: Final = 3.0
"""Time after a return in which entries run out whose workers are gone."""

NEVER_S: Final = 1e12
CHECK_S: Final = 0.05


@dataclass(slots=True, kw_only=True)
class ExpectedChange:
    """What the operator or a worker wrote, and must be known everywhere.

    Parameters
    ----------
    what : str
        For the report.
    written_s : float
        When, or when the store came back since, whichever is later.
    is_known : callable
        Returns True if a gateway knows it.
    worker_id : str
        If it is that this worker is gone; nobody writes that again.
    unaware : set of str
        Gateways that cannot know of it: a return has lost it before they did.
    """

    description: str
    written_s: float
    is_known: Callable[[Gateway], bool]
    worker_id: str = ""
    unaware: set[str] = field(default_factory=set)


class RecoveryRun:
    """One run of a seed.

    Parameters
    ----------
    seed : int
        Of all that happens.
    n_gateways : int
        In one group.
    length_s : float
        For which things happen.

    Attributes
    ----------
    problems : list of str
        What was not known in time, one line each.
    n_returns : int
        How often the store came back from a copy.
    """

    def __init__(self, seed: int, *, n_gateways: int, length_s: float) -> None:
        self._rng = random.Random(seed)
        self._length_s = length_s
        self.network = Network(n_gateways, n_workers=6)
        self.problems: list[str] = []
        self.n_restores = 0
        self._version = 1
        self._next_worker = 100
        self._backups: list[Backup] = []
        self._live: dict[str, Worker] = dict(self.network.store.workers)
        self._pending: list[ExpectedChange] = []
        self._departed: set[str] = set()
        self._restored_s = 0.0
        self._is_unavailable = False
        self._started_s: dict[str, float] = {}
        self._used: dict[Gateway, set[str]] = {}
        self._unused: dict[Gateway, set[str]] = {}
        self._versions: dict[Gateway, int] = {}

    async def run(self) -> list[str]:
        """Return what was not known in time."""
        await self.network.start()
        background = [
            asyncio.create_task(work())
            for work in (self._send_heartbeats, self._take_backups, self._watch)
        ]
        ends_s = self._now_s() + self._length_s
        actions = (
            (self._restore, 2),
            (self._publish, 4),
            (self._add_worker, 4),
            (self._leave, 4),
            (self._crash, 2),
            (self._disconnect, 3),
            (self._slow, 3),
            (self._restart, 2),
        )
        running: list[asyncio.Task[None]] = []
        while self._now_s() < ends_s:
            (action,) = self._rng.choices(
                [a for a, _ in actions], [n for _, n in actions]
            )
            running.append(asyncio.create_task(action()))
            await asyncio.sleep(self._rng.expovariate(1.5))
        await asyncio.gather(*running)
        await asyncio.sleep(2 * PROPAGATION_S)
        for task in background:
            task.cancel()
        return self.problems

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _send_heartbeats(self) -> None:
        """Let all workers write their entries, as they do all the time."""
        while True:
            for listed in list(self._live.values()):
                await asyncio.sleep(HEARTBEAT_S / max(1, len(self._live)))
                if not self._is_unavailable and listed.worker_id in self._live:
                    self.network.store.write(self._live[listed.worker_id])

    async def _take_backups(self) -> None:
        while True:
            if not self._is_unavailable:
                self._backups.append(self.network.store.back_up())
                del self._backups[:-N_BACKUPS]
            await asyncio.sleep(BACKUP_INTERVAL_S)

    async def _watch(self) -> None:
        """Look who knows what is due, and that nobody goes back."""
        while True:
            await asyncio.sleep(CHECK_S)
            now_s = self._now_s()
            for gateway in self.network.gateways:
                if not gateway.is_stopped:
                    self._check_no_regression(gateway)
            due = [
                each for each in self._pending if now_s - each.written_s > PROPAGATION_S
            ]
            self._pending = [each for each in self._pending if each not in due]
            for expected in due:
                self._check_known(expected, now_s)

    def _check_known(self, expected: ExpectedChange, now_s: float) -> None:
        for gateway in self.network.gateways:
            since_s = self._started_s.get(gateway.name, 0.0)
            is_new = gateway.is_stopped or now_s - since_s < PROPAGATION_S
            is_aware = not is_new and gateway.name not in expected.unaware
            if is_aware and not expected.is_known(gateway):
                self.problems.append(
                    f"{now_s:.2f}: {gateway.name} does not know {expected.description},"
                    f" written {now_s - expected.written_s:.2f} s ago"
                )

    def _check_no_regression(self, gateway: Gateway) -> None:
        """Look that no older table is in force, and nobody used who had left."""
        if gateway.version < self._versions.get(gateway, 0):
            self.problems.append(f"{gateway.name} went back to {gateway.version}")
        self._versions[gateway] = gateway.version
        used = self._used.setdefault(gateway, set())
        unused = self._unused.setdefault(gateway, set())
        usable = {each.worker_id for each in gateway.workers.usable("plain")}
        for worker_id in unused & usable:
            self.problems.append(
                f"{self._now_s():.2f}: {gateway.name} uses {worker_id} again"
            )
        unused |= (used & self._departed) - usable
        used |= usable

    def _expect(
        self,
        description: str,
        is_known: Callable[[Gateway], bool],
        *,
        worker_id: str = "",
    ) -> None:
        self._pending.append(
            ExpectedChange(
                description=description,
                written_s=self._now_s(),
                is_known=is_known,
                worker_id=worker_id,
            )
        )

    async def _restore(self) -> None:
        if self._is_unavailable or not self._backups:
            return
        self._is_unavailable = True
        for gateway in self.network.gateways:
            gateway.n_disconnects += 1
        for expected in self._pending:
            # What the operator and living workers wrote is written again.
            expected.written_s = NEVER_S
        await asyncio.sleep(self._rng.uniform(0.05, 2.0))
        for gateway in self.network.gateways:
            gateway.n_disconnects -= 1
        store = self.network.store
        store.restore_from(self._rng.choice(self._backups))
        self._backups = [store.back_up()]
        self._is_unavailable = False
        self.n_restores += 1
        self._restored_s = self._now_s()
        for expected in self._pending:
            expected.written_s = self._restored_s
            if expected.worker_id:
                expected.unaware |= {
                    gateway.name
                    for gateway in self.network.gateways
                    if expected.worker_id not in self._unused.get(gateway, ())
                }
        store.publish(self._version)
        for listed in self._live.values():
            store.write(listed)
        if self._rng.random() < EXPIRY_SHARE and self._live:
            store.remove(self._rng.choice(list(self._live)))
        await asyncio.sleep(EXPIRY_DELAY_S)
        since_s = self._now_s() - self._restored_s
        if not self._is_unavailable and since_s > EXPIRY_DELAY_S - CHECK_S:
            for worker_id in set(store.workers) - set(self._live):
                store.remove(worker_id)

    async def _publish(self) -> None:
        if self._is_unavailable:
            return
        self._version += 1
        version = self._version
        self.network.store.publish(version)
        self._expect(f"version {version}", lambda gateway: gateway.version >= version)

    async def _add_worker(self) -> None:
        if self._is_unavailable:
            return
        self._next_worker += 1
        new = worker(f"w{self._next_worker}")
        self._live[new.worker_id] = new
        self.network.store.write(new)

        def is_known(gateway: Gateway) -> bool:
            is_here = new.worker_id in self._live
            return not is_here or gateway.workers.get(new.worker_id) is not None

        self._expect(f"that {new.worker_id} came", is_known)

    async def _leave(self) -> None:
        """Let a worker say that it leaves, and go soon after."""
        ready = [each for each in self._live.values() if not each.is_leaving]
        if self._is_unavailable or len(ready) < 3:
            return
        leaving = replace(self._rng.choice(ready), is_leaving=True)
        self._live[leaving.worker_id] = leaving
        self.network.store.write(leaving)
        self._departed.add(leaving.worker_id)
        self._expect(f"that {leaving.worker_id} leaves", _not_used(leaving.worker_id))
        await asyncio.sleep(self._rng.uniform(2.0, 5.0))
        await self._remove(leaving.worker_id)

    async def _crash(self) -> None:
        """Let a worker go without a word before."""
        ready = [each for each in self._live.values() if not each.is_leaving]
        if len(ready) >= 3:
            await self._remove(self._rng.choice(ready).worker_id)

    async def _remove(self, worker_id: str) -> None:
        while not self._is_stable():  # noqa: ASYNC110 - it is time that passes
            await asyncio.sleep(CHECK_S)
        if self._live.pop(worker_id, None) is None:
            return
        if worker_id in self.network.store.workers:
            self.network.store.remove(worker_id)
        self._departed.add(worker_id)
        self._expect(
            f"that {worker_id} is gone", _not_used(worker_id), worker_id=worker_id
        )

    def _is_stable(self) -> bool:
        return not self._is_unavailable and self._now_s() - self._restored_s >= STABLE_S

    async def _disconnect(self) -> None:
        gateway = self._rng.choice(self.network.gateways)
        gateway.n_disconnects += 1
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        gateway.n_disconnects -= 1

    async def _slow(self) -> None:
        gateway = self._rng.choice(self.network.gateways)
        gateway.read_s = self._rng.uniform(0.05, 0.6)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        gateway.read_s = self.network.read_s

    async def _restart(self) -> None:
        number = self._rng.randrange(len(self.network.gateways))
        if self.network.gateways[number].is_stopped:
            return
        down_s = self._rng.uniform(0.2, 3.0)
        self.network.stop(number)
        is_removed = down_s > MEMBER_TIMEOUT_S
        await asyncio.sleep(min(down_s, MEMBER_TIMEOUT_S))
        if is_removed:
            self.network.remove_member(number)
            await asyncio.sleep(down_s - MEMBER_TIMEOUT_S)
        self.network.restart(number)
        for expected in self._pending:
            if expected.worker_id and expected.written_s <= self._restored_s:
                expected.unaware.add(self.network.gateways[number].name)
        self._started_s[self.network.gateways[number].name] = self._now_s()


def _not_used(worker_id: str) -> Callable[[Gateway], bool]:
    def is_known(gateway: Gateway) -> bool:
        known = gateway.workers.get(worker_id)
        return known is None or known.is_leaving

    return is_known
