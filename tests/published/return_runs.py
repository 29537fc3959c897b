"""Gateways through returns of the store, cuts, slow answers, stops and starts."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from trefoilpaddle.state.chain.workers import Worker

from ..chain.fakes import worker
from .store_network import Copy, Gateway, Network

KNOWN_S: Final = 3.0
"""Time from a write, or from the store's return after it, until all know of it."""

STABLE_S: Final = 3.0
"""A removal that soon after a return may be of a worker that has yet to write."""

BEAT_S: Final = 1.0
COPIES_S: Final = 0.5
N_COPIES: Final = 16
FORGOTTEN_S: Final = 2.0
"""Time after its end by which a gateway counts as gone at the others."""

LAPSE_SHARE: Final = 0.3
"""Part of the returns after which an entry has run out whose worker lives."""

EXPIRY_S: Final = 3.0
"""Time after a return in which entries run out whose workers are gone."""

NEVER_S: Final = 1e12
LOOK_S: Final = 0.05


@dataclass(slots=True, kw_only=True)
class Written:
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

    what: str
    written_s: float
    is_known: Callable[[Gateway], bool]
    worker_id: str = ""
    unaware: set[str] = field(default_factory=set)


class ReturnRun:
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
        self.n_returns = 0
        self._version = 1
        self._next_worker = 100
        self._copies: list[Copy] = []
        self._living: dict[str, Worker] = dict(self.network.store.workers)
        self._pending: list[Written] = []
        self._left: set[str] = set()
        self._returned_s = 0.0
        self._is_away = False
        self._started_s: dict[str, float] = {}
        self._used: dict[Gateway, set[str]] = {}
        self._unused: dict[Gateway, set[str]] = {}
        self._versions: dict[Gateway, int] = {}

    async def run(self) -> list[str]:
        """Return what was not known in time."""
        await self.network.start()
        background = [
            asyncio.create_task(work())
            for work in (self._beat, self._copy, self._watch)
        ]
        ends_s = self._now_s() + self._length_s
        acts = (
            (self._return, 2),
            (self._publish, 4),
            (self._come, 4),
            (self._leave, 4),
            (self._vanish, 2),
            (self._cut_off, 3),
            (self._slow, 3),
            (self._restart, 2),
        )
        running: list[asyncio.Task[None]] = []
        while self._now_s() < ends_s:
            (act,) = self._rng.choices([a for a, _ in acts], [n for _, n in acts])
            running.append(asyncio.create_task(act()))
            await asyncio.sleep(self._rng.expovariate(1.5))
        await asyncio.gather(*running)
        await asyncio.sleep(2 * KNOWN_S)
        for task in background:
            task.cancel()
        return self.problems

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _beat(self) -> None:
        """Let all workers write their entries, as they do all the time."""
        while True:
            for listed in list(self._living.values()):
                await asyncio.sleep(BEAT_S / max(1, len(self._living)))
                if not self._is_away and listed.worker_id in self._living:
                    self.network.store.write(self._living[listed.worker_id])

    async def _copy(self) -> None:
        while True:
            if not self._is_away:
                self._copies.append(self.network.store.copy())
                del self._copies[:-N_COPIES]
            await asyncio.sleep(COPIES_S)

    async def _watch(self) -> None:
        """Look who knows what is due, and that nobody goes back."""
        while True:
            await asyncio.sleep(LOOK_S)
            now_s = self._now_s()
            for gateway in self.network.gateways:
                if not gateway.is_dark:
                    self._look_back(gateway)
            due = [each for each in self._pending if now_s - each.written_s > KNOWN_S]
            self._pending = [each for each in self._pending if each not in due]
            for written in due:
                self._look_who_knows(written, now_s)

    def _look_who_knows(self, written: Written, now_s: float) -> None:
        for gateway in self.network.gateways:
            since_s = self._started_s.get(gateway.name, 0.0)
            is_new = gateway.is_dark or now_s - since_s < KNOWN_S
            is_aware = not is_new and gateway.name not in written.unaware
            if is_aware and not written.is_known(gateway):
                self.problems.append(
                    f"{now_s:.2f}: {gateway.name} does not know {written.what},"
                    f" written {now_s - written.written_s:.2f} s ago"
                )

    def _look_back(self, gateway: Gateway) -> None:
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
        unused |= (used & self._left) - usable
        used |= usable

    def _expect(
        self,
        what: str,
        is_known: Callable[[Gateway], bool],
        *,
        worker_id: str = "",
    ) -> None:
        self._pending.append(
            Written(
                what=what,
                written_s=self._now_s(),
                is_known=is_known,
                worker_id=worker_id,
            )
        )

    async def _return(self) -> None:
        if self._is_away or not self._copies:
            return
        self._is_away = True
        for gateway in self.network.gateways:
            gateway.n_cuts += 1
        for written in self._pending:
            # What the operator and living workers wrote is written again.
            written.written_s = NEVER_S
        await asyncio.sleep(self._rng.uniform(0.05, 2.0))
        for gateway in self.network.gateways:
            gateway.n_cuts -= 1
        store = self.network.store
        store.return_from(self._rng.choice(self._copies))
        self._copies = [store.copy()]
        self._is_away = False
        self.n_returns += 1
        self._returned_s = self._now_s()
        for written in self._pending:
            written.written_s = self._returned_s
            if written.worker_id:
                written.unaware |= {
                    gateway.name
                    for gateway in self.network.gateways
                    if written.worker_id not in self._unused.get(gateway, ())
                }
        store.publish(self._version)
        for listed in self._living.values():
            store.write(listed)
        if self._rng.random() < LAPSE_SHARE and self._living:
            store.remove(self._rng.choice(list(self._living)))
        await asyncio.sleep(EXPIRY_S)
        since_s = self._now_s() - self._returned_s
        if not self._is_away and since_s > EXPIRY_S - LOOK_S:
            for worker_id in set(store.workers) - set(self._living):
                store.remove(worker_id)

    async def _publish(self) -> None:
        if self._is_away:
            return
        self._version += 1
        version = self._version
        self.network.store.publish(version)
        self._expect(f"version {version}", lambda gateway: gateway.version >= version)

    async def _come(self) -> None:
        if self._is_away:
            return
        self._next_worker += 1
        new = worker(f"w{self._next_worker}")
        self._living[new.worker_id] = new
        self.network.store.write(new)

        def is_known(gateway: Gateway) -> bool:
            is_here = new.worker_id in self._living
            return not is_here or gateway.workers.get(new.worker_id) is not None

        self._expect(f"that {new.worker_id} came", is_known)

    async def _leave(self) -> None:
        """Let a worker say that it leaves, and go soon after."""
        ready = [each for each in self._living.values() if not each.is_leaving]
        if self._is_away or len(ready) < 3:
            return
        leaving = replace(self._rng.choice(ready), is_leaving=True)
        self._living[leaving.worker_id] = leaving
        self.network.store.write(leaving)
        self._left.add(leaving.worker_id)
        self._expect(f"that {leaving.worker_id} leaves", _not_used(leaving.worker_id))
        await asyncio.sleep(self._rng.uniform(2.0, 5.0))
        await self._remove(leaving.worker_id)

    async def _vanish(self) -> None:
        """Let a worker go without a word before."""
        ready = [each for each in self._living.values() if not each.is_leaving]
        if len(ready) >= 3:
            await self._remove(self._rng.choice(ready).worker_id)

    async def _remove(self, worker_id: str) -> None:
        while not self._is_stable():  # noqa: ASYNC110 - it is time that passes
            await asyncio.sleep(LOOK_S)
        if self._living.pop(worker_id, None) is None:
            return
        if worker_id in self.network.store.workers:
            self.network.store.remove(worker_id)
        self._left.add(worker_id)
        self._expect(
            f"that {worker_id} is gone", _not_used(worker_id), worker_id=worker_id
        )

    def _is_stable(self) -> bool:
        return not self._is_away and self._now_s() - self._returned_s >= STABLE_S

    async def _cut_off(self) -> None:
        gateway = self._rng.choice(self.network.gateways)
        gateway.n_cuts += 1
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        gateway.n_cuts -= 1

    async def _slow(self) -> None:
        gateway = self._rng.choice(self.network.gateways)
        gateway.read_s = self._rng.uniform(0.05, 0.6)
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        gateway.read_s = self.network.read_s

    async def _restart(self) -> None:
        number = self._rng.randrange(len(self.network.gateways))
        if self.network.gateways[number].is_dark:
            return
        down_s = self._rng.uniform(0.2, 3.0)
        self.network.stop(number)
        is_forgotten = down_s > FORGOTTEN_S
        await asyncio.sleep(min(down_s, FORGOTTEN_S))
        if is_forgotten:
            self.network.forget(number)
            await asyncio.sleep(down_s - FORGOTTEN_S)
        self.network.start_again(number)
        for written in self._pending:
            if written.worker_id and written.written_s <= self._returned_s:
                written.unaware.add(self.network.gateways[number].name)
        self._started_s[self.network.gateways[number].name] = self._now_s()


def _not_used(worker_id: str) -> Callable[[Gateway], bool]:
    def is_known(gateway: Gateway) -> bool:
        known = gateway.workers.get(worker_id)
        return known is None or known.is_leaving

    return is_known
