"""Random runs of gateways through restores, disconnects, slow reads and restarts."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from trefoilpaddle.state.chain.workers import Worker

from ..chain.fakes import worker
from .store_network import Backup, Gateway, Network

PROPAGATION_S: Final = 3.0
"""Time from a write, or a later restore of the store, until all gateways know of it."""

STABLE_S: Final = 3.0
"""Time after a restore without removals: the worker may still have to write again."""

HEARTBEAT_S: Final = 1.0
BACKUP_INTERVAL_S: Final = 0.5
N_BACKUPS: Final = 16
MEMBER_TIMEOUT_S: Final = 2.0
"""Time after its stop at which the other gateways remove a gateway."""

EXPIRY_SHARE: Final = 0.3
"""Share of the restores after which the entry of a live worker expires."""

EXPIRY_DELAY_S: Final = 3.0
"""Time after a restore at which the entries of exited workers expire."""

NEVER_S: Final = 1e12
CHECK_S: Final = 0.05


@dataclass(slots=True, kw_only=True)
class ExpectedChange:
    """A change written by the operator or a worker that all gateways must know.

    Parameters
    ----------
    description : str
        Describes the change in reports.
    written_s : float
        Time of the write, or of the store's last restore if that is later.
    is_known : callable
        Returns True if a gateway knows the change.
    worker_id : str
        The worker, if the change is its removal, which is not written again.
    unaware : set of str
        Gateways that cannot know it: a restore reverted the change before they did.
    """

    description: str
    written_s: float
    is_known: Callable[[Gateway], bool]
    worker_id: str = ""
    unaware: set[str] = field(default_factory=set)


class RecoveryRun:
    """One random run.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    n_gateways : int
        Number of gateways, all in one group.
    length_s : float
        Time in seconds during which events happen.

    Attributes
    ----------
    problems : list of str
        Changes that were not known in time, one line each.
    n_restores : int
        Number of times the store was restored from a backup.
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
        """Run the simulation; return the changes that were not known in time."""
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
        """Write the entries of all live workers periodically, as heartbeats do."""
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
        """Check that due changes are known and that no gateway regresses."""
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
        """Check that no older table is activated and no departed worker is used."""
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
            # The operator and live workers write their changes again.
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
        """Let a worker announce that it leaves, and exit some seconds later."""
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
        """Let a worker exit without an announcement."""
        ready = [each for each in self._live.values() if not each.is_leaving]
        if len(ready) >= 3:
            await self._remove(self._rng.choice(ready).worker_id)

    async def _remove(self, worker_id: str) -> None:
        while not self._is_stable():  # noqa: ASYNC110 - waits for virtual time
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
