"""Gateways that choose among plain workers, in virtual time and without a network.

``python -m tests.chain balance`` compares the least expected end over shared counts
with the better of two workers that are drawn at random, by a gateway's own counts.
Both leave out workers that shed or fail.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from trefoilpaddle.state.chain.worker_loads import TIE_RATIO, LeftOut, WorkerLoads
from trefoilpaddle.state.chain.workers import Worker

ONE_WAY_S: Final = 0.002
REPORT_S: Final = 0.1
N_WORKERS: Final = 6
CHANGE_S: Final = 0.6
N_QUEUED: Final = 24


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Workers, gateways and requests of a play.

    Parameters
    ----------
    n_gateways, n_slots : int
        Gateways, and slots of each worker.
    work_s : float
        Time that a request takes on a machine as usual.
    speeds : sequence of float
        Speed of each worker's machine; 1 as usual.
    changes : bool
        True if speeds pass on to the next worker each `CHANGE_S`.
    share : float
        Requests in parts of what the workers can do.
    sheds, fails : bool
        True if the first worker turns each request away, or fails it, at once.
    length_s : float
        Seconds during which requests arrive.
    """

    n_gateways: int = 6
    n_slots: int = 1
    work_s: float = 0.04
    speeds: Sequence[float] = (1.0,) * N_WORKERS
    changes: bool = False
    share: float = 0.1
    sheds: bool = False
    fails: bool = False
    length_s: float = 20.0

    @property
    def per_s(self) -> float:
        """Requests per second of all gateways."""
        return self.share * sum(self.speeds) * self.n_slots / self.work_s


class Play:
    """One play of a load; `is_shared` chooses by the least expected end."""

    def __init__(self, load: Load, *, is_shared: bool, seed: int = 1) -> None:
        self.load = load
        self._is_shared = is_shared
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._workers = [
            Worker(
                worker_id=str(n),
                service="s",
                address="",
                failure_domain="",
                n_slots=load.n_slots,
            )
            for n in range(N_WORKERS)
        ]
        self._own = [Counter[str]() for _ in range(load.n_gateways)]
        self._loads = [WorkerLoads(rng=self._rng) for _ in range(load.n_gateways)]
        self._running = [0] * N_WORKERS
        self._queues: list[list[Callable[[], None]]] = [[] for _ in range(N_WORKERS)]
        self.n_sent = Counter[str]()
        self.took_s: list[float] = []
        self.n_lost = 0

    def run(self) -> "Play":
        """Play the load."""
        self._at(0.0, self._arrive)
        for gateway in range(self.load.n_gateways):
            self._at(REPORT_S * self._rng.random(), partial(self._report, gateway))
        while self._events:
            self._now_s, _, act = heapq.heappop(self._events)
            act()
        self.took_s.sort()
        return self

    def busiest(self) -> float:
        """Return the part of all requests that went to the busiest worker."""
        return max(self.n_sent.values()) / self.n_sent.total()

    def served(self) -> float:
        """Return the part of all requests that were served."""
        return len(self.took_s) / (len(self.took_s) + self.n_lost)

    def quantile_s(self, part: float) -> float:
        """Return the time within which a part of what was served has its answer."""
        return self.took_s[int(part * (len(self.took_s) - 1))]

    def _at(self, time_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), act))

    def _arrive(self) -> None:
        if self._now_s >= self.load.length_s:
            return
        self._at(self._now_s + self._rng.expovariate(self.load.per_s), self._arrive)
        gateway = self._rng.randrange(self.load.n_gateways)
        own, loads, sent_s = self._own[gateway], self._loads[gateway], self._now_s
        worker = self._choose(own, loads)
        number = int(worker.worker_id)
        is_trial = loads.begin(worker)
        own[worker.worker_id] += 1
        self.n_sent[worker.worker_id] += 1
        n_there = loads.n_requests(worker, own[worker.worker_id], sent_s)

        def answered() -> None:
            own[worker.worker_id] -= 1
            self.took_s.append(self._now_s - sent_s)
            loads.learn_work(worker, self._now_s - sent_s, n_there, self._now_s)
            loads.record_answer(worker, self._now_s)
            if is_trial:
                loads.end_trial(worker)

        def lost(*, is_shed: bool) -> None:
            own[worker.worker_id] -= 1
            self.n_lost += 1
            others = [w for w in self._workers if w is not worker]
            left_out = (
                loads.record_shed(worker, self._now_s)
                if is_shed
                else loads.record_failure(worker, others, self._now_s)
            )
            if is_trial:
                loads.end_trial(worker)
            if left_out is not None:
                self._at(self._now_s + ONE_WAY_S, partial(self._tell, loads, left_out))

        def done() -> None:
            self._running[number] -= 1
            if self._queues[number]:
                self._queues[number].pop(0)()
            self._at(self._now_s + ONE_WAY_S, answered)

        def run() -> None:
            self._running[number] += 1
            self._at(self._now_s + self.load.work_s / self._speed(number), done)

        def reach() -> None:
            is_bad = number == 0 and (self.load.sheds or self.load.fails)
            is_full = len(self._queues[number]) >= N_QUEUED
            if is_bad or is_full:
                is_shed = self.load.sheds or not is_bad
                self._at(self._now_s + ONE_WAY_S, partial(lost, is_shed=is_shed))
            elif self._running[number] < self.load.n_slots:
                run()
            else:
                self._queues[number].append(run)

        self._at(self._now_s + ONE_WAY_S, reach)

    def _choose(self, own: Counter[str], loads: WorkerLoads) -> Worker:
        usable = loads.usable(self._workers, self._now_s)
        if not self._is_shared:
            drawn = self._rng.sample(usable, min(2, len(usable)))
            return min(drawn, key=lambda w: own[w.worker_id])
        costs_s = [
            (w, loads.plain_end_s(w, own[w.worker_id], self._now_s)) for w in usable
        ]
        return loads.draw(costs_s, tie_ratio=TIE_RATIO)

    def _speed(self, number: int) -> float:
        turn = int(self._now_s / CHANGE_S) if self.load.changes else 0
        return self.load.speeds[(number + turn) % N_WORKERS]

    def _report(self, gateway: int) -> None:
        if self._now_s < self.load.length_s:
            self._at(self._now_s + REPORT_S, partial(self._report, gateway))
        all_uses = sum(self._own, start=Counter[str]())
        uses = {(worker_id, 0): n for worker_id, n in all_uses.items()}
        own = {(worker_id, 0): n for worker_id, n in self._own[gateway].items()}
        self._loads[gateway].learn_uses("s", uses, own, self._now_s)

    def _tell(self, teller: WorkerLoads, left_out: LeftOut) -> None:
        for loads in self._loads:
            if loads is not teller:
                loads.hear_left_out(left_out.worker, left_out.for_s, self._now_s)


UNEVEN: Final = (0.7, 0.7, 1.7, 0.7, 0.7, 1.7)

LOADS: Final = {
    **{
        f"light, {n} gateways": Load(n_gateways=n, length_s=200.0)
        for n in (2, 6, 12, 20)
    },
    "uneven speeds": Load(speeds=UNEVEN, share=0.8),
    "uneven speeds, 20 gateways": Load(speeds=UNEVEN, share=0.8, n_gateways=20),
    "uneven speeds, 4 slots": Load(speeds=UNEVEN, share=0.8, n_slots=4),
    "one ten times slower": Load(speeds=(0.1, 1, 1, 1, 1, 1), share=0.5),
    "speeds change": Load(speeds=UNEVEN, share=0.8, changes=True),
    "speeds change, 4 slots": Load(speeds=UNEVEN, share=0.8, changes=True, n_slots=4),
    "one sheds": Load(sheds=True, share=0.6),
    "one sheds, 20 gateways": Load(sheds=True, share=0.6, n_gateways=20),
    "one fails": Load(fails=True, share=0.6),
    "one fails, 20 gateways": Load(fails=True, share=0.6, n_gateways=20),
}


def print_plays(seeds: int = 3) -> None:
    """Print the worst of some seeds of each load, for both ways of choosing."""
    print(f"{'load':28} {'way':14} busiest served  median     99 %")
    for name, load in LOADS.items():
        for way, is_shared in (("expected end", True), ("two at random", False)):
            plays = [
                Play(load, is_shared=is_shared, seed=seed).run()
                for seed in range(seeds)
            ]
            print(
                f"{name:28} {way:14}"
                f" {max(p.busiest() for p in plays):6.3f}"
                f" {min(p.served() for p in plays):6.3f}"
                f" {max(p.quantile_s(0.5) for p in plays):7.3f}"
                f" {max(p.quantile_s(0.99) for p in plays):8.3f}",
                flush=True,
            )
