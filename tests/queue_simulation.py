"""Simulates one target's queue on a virtual clock: arrivals, slots, deadlines.

Events are processed in order of time, so a run gives the same result everywhere.
It runs only the queue and its policy, without a process, target or network.
"""

import heapq
import random
from dataclasses import dataclass, field

from trefoilpaddle.coordination.targets.queue_policy import (
    SlotSnapshot,
    decide_queueing,
)
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.slowness import Slowness
from trefoilpaddle.state.work_queue import FifoQueue, Work, WorkQueue

NS_PER_S = 1_000_000_000
ARRIVE, DROP, END = 0, 1, 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """Calls of one owner.

    Parameters
    ----------
    owner : str
        The owner.
    load : float
        Offered work as a share of the target's capacity.
    deadline_s : float
        Budget of each call.
    mean_s : float
        Mean service time; the distribution is heavy-tailed.
    brownout_order : int
        Brown-out order of its entry.
    from_s : float
        Time of the first calls.
    label : str
        Name under which the calls are counted; the owner if empty.
    scatter : float
        Sigma of the logarithm of predicted over true service time.
    """

    owner: str
    load: float
    deadline_s: float = 1.0
    mean_s: float = 0.1
    brownout_order: int = 0
    from_s: float = 0.0
    label: str = ""
    scatter: float = 0.15


@dataclass(slots=True, kw_only=True)
class Tally:
    """Counts and times of the calls of one label."""

    n_sent: int = 0
    n_met: int = 0
    n_refused: int = 0
    met_s: float = 0.0
    used_s: float = 0.0
    retry_after_s: list[float] = field(default_factory=list)

    @property
    def attainment(self) -> float:
        return self.n_met / max(1, self.n_sent)


class QueueSimulation:
    """Runs the calls of sources through one queue."""

    def __init__(
        self, queue: WorkQueue, *, refuses_early: bool, n_slots: int = 4, seed: int = 1
    ) -> None:
        self.queue = queue
        self.tallies: dict[str, Tally] = {}
        self._refuses_early = refuses_early
        self._n_slots = n_slots
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, int, Work]] = []
        self._n_events = 0
        self._running: dict[bytes, tuple[float, Work]] = {}
        self._service_s: dict[bytes, float] = {}
        self._due_s: dict[bytes, float] = {}
        self._tally_of: dict[bytes, Tally] = {}
        self._waiting: set[bytes] = set()
        self._slowness = Slowness()

    @property
    def wasted_share(self) -> float:
        used_s = sum(tally.used_s for tally in self.tallies.values())
        met_s = sum(tally.met_s for tally in self.tallies.values())
        return 1.0 - met_s / max(1e-9, used_s)

    @property
    def met_s(self) -> float:
        return sum(tally.met_s for tally in self.tallies.values())

    @property
    def n_met(self) -> int:
        return sum(tally.n_met for tally in self.tallies.values())

    def run(self, sources: list[Source], *, span_s: float) -> "QueueSimulation":
        for source in sources:
            self._arrivals(source, span_s)
        while self._events:
            now_s, _, kind, work = heapq.heappop(self._events)
            if kind == ARRIVE:
                self._on_arrival(work, now_s)
            elif kind == DROP:
                self._on_drop(work)
            else:
                self._on_end(work, now_s)
        return self

    def service_s(self, sources: list[Source], *, span_s: float) -> list[float]:
        """Return the service times of all calls that the sources would send."""
        for source in sources:
            self._arrivals(source, span_s)
        return list(self._service_s.values())

    def _arrivals(self, source: Source, span_s: float) -> None:
        tally = self.tallies.setdefault(source.label or source.owner, Tally())
        rate_per_s = source.load * self._n_slots / source.mean_s
        at_s = source.from_s
        while (at_s := at_s + self._random.expovariate(rate_per_s)) < span_s:
            service_s = source.mean_s * self._random.lognormvariate(-0.32, 0.8)
            predicted_s = service_s * self._random.lognormvariate(0.0, source.scatter)
            work = Work(
                attempt_id=self._n_events.to_bytes(16),
                owner=source.owner,
                entry=source.owner,
                weight=1.0,
                floor_share=0.0,
                brownout_order=source.brownout_order,
                predicted_s=predicted_s,
                latest_start_ns=0,
            )
            self._service_s[work.attempt_id] = service_s
            self._due_s[work.attempt_id] = at_s + source.deadline_s
            self._tally_of[work.attempt_id] = tally
            self._push(at_s, ARRIVE, work)

    def _push(self, at_s: float, kind: int, work: Work) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at_s, self._n_events, kind, work))

    def _on_arrival(self, work: Work, now_s: float) -> None:
        tally = self._tally_of[work.attempt_id]
        tally.n_sent += 1
        pressure = min(1.0, len(self.queue) / self._n_slots)
        allowed = self._slowness.allowed_at(now_s, pressure=pressure)
        need_s = work.predicted_s * allowed
        latest_s = self._due_s[work.attempt_id] - need_s
        work.latest_start_ns = int(latest_s * NS_PER_S)
        if len(self._running) >= self._n_slots or len(self.queue):
            decision = decide_queueing(
                work,
                queue=self.queue,
                slots=self._slots(now_s),
                now_ns=int(now_s * NS_PER_S),
                max_queue_s=30.0,
                refuses_early=self._refuses_early,
            )
            if decision.reason is not Reason.NONE:
                tally.n_refused += 1
                tally.retry_after_s.append(decision.retry_after_s)
                return
            for other in decision.displaced:
                self._refuse(other)
        self.queue.push(work)
        self._waiting.add(work.attempt_id)
        if self._refuses_early:
            self._push(work.latest_start_ns / NS_PER_S, DROP, work)
        self._start(now_s)

    def _refuse(self, work: Work) -> None:
        if self.queue.remove(work):
            self._waiting.discard(work.attempt_id)
            self._tally_of[work.attempt_id].n_refused += 1

    def _on_drop(self, work: Work) -> None:
        if work.attempt_id in self._waiting:
            self._refuse(work)

    def _on_end(self, work: Work, now_s: float) -> None:
        begin_s, _ = self._running.pop(work.attempt_id)
        used_s = now_s - begin_s
        self.queue.correct_charge(work, used_s=used_s)
        tally = self._tally_of[work.attempt_id]
        tally.used_s += used_s
        if used_s >= self._service_s[work.attempt_id]:
            self._slowness.record(
                service_s=used_s, predicted_s=work.predicted_s, now_s=now_s
            )
        if now_s <= self._due_s[work.attempt_id]:
            tally.n_met += 1
            tally.met_s += used_s
        self._start(now_s)

    def _start(self, now_s: float) -> None:
        while len(self._running) < self._n_slots:
            work = self.queue.pop(now_ns=int(now_s * NS_PER_S))
            if work is None:
                return
            self._waiting.discard(work.attempt_id)
            self._running[work.attempt_id] = (now_s, work)
            # The sidecar stops a call at its deadline.
            end_s = now_s + self._service_s[work.attempt_id]
            due_s = self._due_s[work.attempt_id]
            if end_s > due_s:
                end_s = max(now_s, due_s) + 1e-6
            self._push(end_s, END, work)

    def _slots(self, now_s: float) -> SlotSnapshot:
        remaining_s = [
            max(0.1 * work.predicted_s, work.predicted_s - (now_s - begin_s))
            for begin_s, work in self._running.values()
        ]
        slowness = self._slowness.at(now_s)
        return SlotSnapshot(
            n_slots=self._n_slots, remaining_s=remaining_s, slowness=slowness
        )


def max_calls_that_fit(
    sources: list[Source], *, seed: int, span_s: float, n_slots: int = 4
) -> int:
    """Return how many calls fit into the time of the slots, the shortest first.

    This is an upper bound for any order of service, as deadlines and arrivals
    are ignored.
    """
    simulation = QueueSimulation(
        FifoQueue(), refuses_early=False, n_slots=n_slots, seed=seed
    )
    remaining_s = n_slots * span_s
    n_fit = 0
    for service_s in sorted(simulation.service_s(sources, span_s=span_s)):
        remaining_s -= service_s
        if remaining_s < 0.0:
            break
        n_fit += 1
    return n_fit
