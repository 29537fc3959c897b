"""Gateways that share the slots of a service, in virtual time and without a network.

``python -m tests.chain shares`` prints how accounts are served beside a burst, by the
number of gateways and by what happens to them.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from trefoilpaddle.state.chain.admission_line import (
    AdmissionLine,
    Starts,
    Ticket,
    Waits,
)
from trefoilpaddle.state.chain.slot_ledger import (
    FREE,
    ServiceLoad,
    SlotLedger,
    SlotShare,
    capacity_of,
)

ONE_WAY_S: Final = 0.002
REPORT_S: Final = 0.1
GRANT_S: Final = 1.0
FREE_RATIO: Final = 1.25
TARGET_S: Final = 1.0
BURST_S: Final = 10.0
CALM_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Accounts, workers and gateways of a play.

    Parameters
    ----------
    n_gateways, n_workers, n_slots, n_queued : int
        Gateways, workers, and slots and queue of each worker.
    n_listed : int
        Slots of each worker that its entry states.
    work_s : float
        Time that a request takes at a worker.
    n_accounts : int
        Accounts; each sends `share` of what the workers can do.
    burst : float
        What the last account sends during the burst, in parts of what they can do.
    is_at_one : bool
        True if the burst arrives at one gateway.
    pauses : tuple of float
        Begin and end of a pause of one gateway, in seconds after the burst began.
    loses_home_s : float
        Time after the burst began at which the home is lost; infinite for never.
    """

    n_gateways: int = 6
    n_workers: int = 6
    n_slots: int = 4
    n_queued: int = 24
    n_listed: int = 4
    work_s: float = 0.2
    n_accounts: int = 8
    share: float = 0.1
    burst: float = 3.0
    is_at_one: bool = False
    pauses: tuple[float, float] = (math.inf, math.inf)
    loses_home_s: float = math.inf

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all workers can do."""
        return self.n_workers * self.n_slots / self.work_s


@dataclass(slots=True, kw_only=True)
class Worker:
    """Requests that run or wait at a worker."""

    n_running: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Served:
    """Requests of one account during the burst."""

    n_sent: int = 0
    n_in_time: int = 0


class Play:
    """One play of a load."""

    def __init__(self, load: Load, *, seed: int = 1) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.lines = [AdmissionLine(now_s=0.0) for _ in range(load.n_gateways)]
        self._granted_s = [-math.inf] * load.n_gateways
        self._waiting: dict[int, tuple[int, float, bool]] = {}
        self.workers = [Worker() for _ in range(load.n_workers)]
        self.ledger = SlotLedger(may_grow=True)
        self.n_sheds = [0] * load.n_gateways
        self._n_told = [0] * load.n_gateways
        self.served = [Served() for _ in range(load.n_accounts)]
        self.n_done = 0

    def run(self) -> "Play":
        """Play the calm and the burst."""
        load = self.load
        per_s = load.share * load.capacity_per_s
        for account in range(load.n_accounts):
            self._arrivals(account, per_s, 0.0, CALM_S + BURST_S, is_burst=False)
        extra_per_s = load.burst * load.capacity_per_s
        self._arrivals(
            load.n_accounts - 1, extra_per_s, CALM_S, CALM_S + BURST_S, is_burst=True
        )
        for gateway in range(load.n_gateways):
            self.lines[gateway].capacity = self._capacity()
            self.lines[gateway].free_limit = max(
                2, math.ceil(FREE_RATIO * self._capacity() / (load.n_gateways + 1))
            )
            self._at(REPORT_S * self.rng.random(), partial(self._report, gateway))
        self._at(CALM_S + load.loses_home_s, self._lose_home)
        while self._events and self.now_s < CALM_S + BURST_S + TARGET_S:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self

    def worst_in_time(self) -> float:
        """Return the least share in time of an account that does not burst."""
        return min(each.n_in_time / each.n_sent for each in self.served[:-1])

    def others_in_time(self) -> float:
        """Return the share in time of all accounts that do not burst."""
        others = self.served[:-1]
        return sum(e.n_in_time for e in others) / sum(e.n_sent for e in others)

    def done_share(self) -> float:
        """Return the work done during the burst in parts of what workers can do."""
        return self.n_done / (BURST_S * self.load.capacity_per_s)

    def _at(self, time_s: float, act: Callable[[], None]) -> None:
        if math.isfinite(time_s):
            heapq.heappush(self._events, (time_s, next(self._numbers), act))

    def _capacity(self) -> float:
        load = self.load
        return capacity_of(load.n_workers * load.n_listed, load.n_workers)

    def _arrivals(
        self,
        account: int,
        per_s: float,
        begin_s: float,
        end_s: float,
        *,
        is_burst: bool,
    ) -> None:
        time_s = begin_s + self.rng.expovariate(per_s)
        if time_s >= end_s:
            return

        def arrive() -> None:
            self._arrivals(account, per_s, time_s, end_s, is_burst=is_burst)
            is_at_one = is_burst and self.load.is_at_one
            gateway = 0 if is_at_one else self.rng.randrange(self.load.n_gateways)
            if not self._is_paused(gateway):
                self._arrive(gateway, account)

        self._at(time_s, arrive)

    def _is_paused(self, gateway: int) -> bool:
        begin_s, end_s = self.load.pauses
        is_last = gateway == self.load.n_gateways - 1
        return is_last and begin_s <= self.now_s - CALM_S < end_s

    def _arrive(self, gateway: int, account: int) -> None:
        is_counted = self.now_s >= CALM_S
        if is_counted:
            self.served[account].n_sent += 1
        ticket = Ticket(
            account=account, weight=1.0, priority=0, due_s=self.now_s + TARGET_S
        )
        match self.lines[gateway].arrive(ticket, self.now_s):
            case Starts():
                self._send(gateway, ticket)
            case Waits():
                pass
        self._start_waiting(gateway)

    def _start_waiting(self, gateway: int) -> None:
        line = self.lines[gateway]
        list(line.refuse_late(self.now_s))
        for ticket in line.start_waiting(self.now_s):
            self._send(gateway, ticket)

    def _send(self, gateway: int, ticket: Ticket) -> None:
        drawn = self.rng.sample(self.workers, min(2, len(self.workers)))
        worker = min(drawn, key=lambda w: w.n_running + len(w.queue))

        def run() -> None:
            worker.n_running += 1
            self._at(self.now_s + self.load.work_s, done)

        def done() -> None:
            worker.n_running -= 1
            if worker.queue:
                worker.queue.pop(0)()
            self.n_done += CALM_S <= self.now_s < CALM_S + BURST_S
            self._at(self.now_s + ONE_WAY_S, lambda: answered(has_run=True))

        def answered(*, has_run: bool) -> None:
            line = self.lines[gateway]
            line.end(ticket, self.now_s, has_run=has_run)
            is_in_time = has_run and self.now_s <= ticket.due_s
            if is_in_time and ticket.due_s - TARGET_S >= CALM_S:
                self.served[ticket.account].n_in_time += 1
            self._start_waiting(gateway)

        def reach() -> None:
            if worker.n_running < self.load.n_slots:
                run()
            elif len(worker.queue) < self.load.n_queued:
                worker.queue.append(run)
            else:
                self.n_sheds[gateway] += 1
                answered(has_run=False)

        self._at(self.now_s + ONE_WAY_S, reach)

    def _report(self, gateway: int) -> None:
        self._at(self.now_s + REPORT_S, lambda: self._report(gateway))
        line = self.lines[gateway]
        if self._is_paused(gateway):
            return
        load = ServiceLoad(
            accounts=line.loads(self.now_s),
            n_slots=self.load.n_workers * self.load.n_listed,
            n_workers=self.load.n_workers,
            base_s=line.base_s,
            n_answered=line.n_answered - self._n_told[gateway],
            n_sheds=self.n_sheds[gateway],
        )
        self.n_sheds[gateway] = 0
        self._n_told[gateway] = line.n_answered

        def grant() -> None:
            self.ledger.record(str(gateway), load, self.now_s)
            share = self.ledger.grant(str(gateway), self.now_s)
            self._at(self.now_s + ONE_WAY_S, lambda: self._use(gateway, share))

        self._at(self.now_s + ONE_WAY_S, grant)
        if self.now_s - self._granted_s[gateway] > GRANT_S and line.share.is_contended:
            self._use(gateway, FREE)

    def _use(self, gateway: int, share: SlotShare | None) -> None:
        if share is not None:
            self._granted_s[gateway] = self.now_s
            self.lines[gateway].use(share, self.now_s)
        self._start_waiting(gateway)

    def _lose_home(self) -> None:
        self.ledger = SlotLedger(may_grow=True)


def print_plays(*, seeds: int = 2) -> None:
    """Print how accounts are served beside a burst, by load."""
    print("load                         others in time, worst, done")
    for name, load in LOADS.items():
        plays = [Play(load, seed=seed).run() for seed in range(seeds)]
        print(
            f"{name:28} {min(p.others_in_time() for p in plays):.3f}"
            f" {min(p.worst_in_time() for p in plays):.3f}"
            f" {min(p.done_share() for p in plays):.3f}"
        )


LOADS: Final = {
    "six gateways": Load(),
    "two gateways": Load(n_gateways=2),
    "twenty gateways": Load(n_gateways=20),
    "burst at one of six": Load(is_at_one=True),
    "burst at one of twenty": Load(n_gateways=20, is_at_one=True),
    "sixteen accounts": Load(n_accounts=16, share=0.05),
    "short work": Load(work_s=0.04),
    "short work, twenty gateways": Load(work_s=0.04, n_gateways=20),
    "queue of 8": Load(n_queued=8),
    "one slot stated": Load(n_listed=1),
    "a gateway paused": Load(pauses=(3.0, 5.0)),
    "the home lost": Load(loses_home_s=4.0),
}
