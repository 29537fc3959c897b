"""A model of one cell under load, with the real scheduler, in virtual time.

Workers run one call at a time and have the published memory for results. Callers
arrive in a Poisson process with bursts, read their results after the time of an engine,
and retry once when they are refused. One load has 26 stage workers, many slots per call
and much memory; the other has 12, few slots and little memory.
"""

import asyncio
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.cell_dispatch import CellDispatch
from trefoilpaddle.coordination.chain.chain_scheduler import ChainScheduler
from trefoilpaddle.state.chain.chain_work import ChainFailed, ChainOutcome, ChainWork
from trefoilpaddle.state.chain.piece_work import (
    PieceFault,
    PieceOutcome,
    PieceResult,
    PieceWork,
)
from trefoilpaddle.state.chain.target_answers import CallFault, WorkerReport
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from .cell_loads import Kind, Load
from .fakes import budgets, crash_guard, journal, send_limits, table, worker

CLUMP = 3
"""Mean number of callers that arrive at the same moment."""

N_QUEUED = 2
"""Calls that may wait at a worker behind the running one; more are refused."""

ENGINE_MARGIN = 1.5
"""Factor on the engine's mean time for the time to reserve, as in gateways."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Asked:
    """A request of an account that has ended.

    Parameters
    ----------
    at_s : float
        Time after the start at which it was first sent.
    """

    account: int
    kind: str
    at_s: float
    is_in_time: bool


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of all requests of a simulation.

    Parameters
    ----------
    arrived, in_time, late, refused, left, again : Counter of str
        Number of requests by kind. `left` counts callers that had left when their
        answer began, `again` callers that retried and were refused again.
    waited_s : dict of str to list of float
        By kind, time from the last attempt of a caller to its answer, if it had one.
    held_s : dict of str to float
        By kind, total time for which the callers counted in `again` waited in their
        second attempt.
    far_bytes : float
        Bytes of inputs that were read from another failure domain.
    n_calls, n_made, busy_s
        Calls, their pieces and their total time, by service.
    asked : list of Asked
        All requests that have ended, with their accounts.
    made_s : dict of str to list of float
        Times at which pieces were made after the start, by service.
    """

    arrived: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    left: Counter[str] = field(default_factory=Counter)
    waited_s: dict[str, list[float]] = field(default_factory=dict)
    again: Counter[str] = field(default_factory=Counter)
    held_s: dict[str, float] = field(default_factory=dict)
    far_bytes: float = 0.0
    n_calls: Counter[str] = field(default_factory=Counter)
    n_made: Counter[str] = field(default_factory=Counter)
    busy_s: dict[str, float] = field(default_factory=dict)
    asked: "list[Asked]" = field(default_factory=list)
    made_s: dict[str, list[float]] = field(default_factory=dict)

    def n_begun_after(self, kind: str, after_s: float) -> int:
        """Return how many answers of a kind began later than `after_s`."""
        return sum(waited_s > after_s for waited_s in self.waited_s.get(kind, []))

    def share_in_time(self, kind: str) -> float:
        """Return the share of the requests of a kind that were answered in time."""
        return self.in_time[kind] / max(1, self.arrived[kind])

    def mean_pieces(self, service: str) -> float:
        """Return the mean number of pieces of a call."""
        return self.n_made[service] / max(1, self.n_calls[service])


@dataclass(frozen=True, slots=True, kw_only=True)
class SentCall:
    """A call of pieces, from its sending to its end.

    Parameters
    ----------
    gateway : str
        Gateway that sent it.
    n_turned_away : int
        Pieces whose results found no memory.
    """

    gateway: str
    worker_id: str
    began_s: float
    ended_s: float
    n_turned_away: int


class ModelCalls:
    """Modelled workers, which run one call at a time and have memory for results.

    Attributes
    ----------
    sent : list of SentCall
        All calls, in the order in which they ended.
    """

    def __init__(self, load: Load, rng: random.Random, outcome: Outcome) -> None:
        self.sent: list[SentCall] = []
        self._services = {service.name: service for service in load.services}
        self._work = {
            (kind.name, number): work
            for kind in load.kinds
            for number, work in enumerate(kind.work)
        }
        self._rng = rng
        self._size_spread = load.size_spread
        self._sizes: dict[tuple[str, int], float] = {}
        self._outcome = outcome
        self._locks: dict[str, asyncio.Lock] = {}
        self._kept: dict[str, dict[str, float]] = {}
        self._until_s: dict[str, float] = {}
        self._domains: dict[str, str] = {}
        self._n_calls: Counter[str] = Counter()
        self._began_s = time.monotonic()

    async def run_pieces(
        self,
        at: Worker,
        works: Sequence[PieceWork],
        *,
        timeout_s: float,
        on_sent: Callable[[], None],
        gateway: str = "",
    ) -> Result[list[PieceOutcome], CallFault]:
        began_s = time.monotonic()
        on_sent()
        service = self._services[at.service]
        kept = self._kept.setdefault(at.worker_id, {})
        self._domains[at.worker_id] = at.failure_domain
        await asyncio.sleep(0.001)
        if self._n_calls[at.worker_id] > N_QUEUED:
            return Err(CallFault.FULL)
        self._n_calls[at.worker_id] += 1
        async with self._locks.setdefault(at.worker_id, asyncio.Lock()):
            self._count_far(at, works)
            self._drop_expired(kept)
            ends: list[PieceOutcome] = []
            took_s = service.call_s
            for work in works:
                name = f"{at.worker_id}/{work.request_id}.{work.stage}.{work.piece}"
                n_bytes = self._size(work)
                if sum(kept.values()) + n_bytes > service.memory_bytes:
                    ends.append(PieceFault.NO_MEMORY)
                    continue
                kept[name] = n_bytes
                self._until_s[name] = time.monotonic() + service.retention_s + took_s
                took_s += service.piece_s * self._work[work.route, work.stage]
                ends.append(PieceResult(handle=name, worker_id=at.worker_id))
            await asyncio.sleep(took_s * self._rng.uniform(1.0, 1.14))
        self._n_calls[at.worker_id] -= 1
        self._outcome.n_calls[at.service] += 1
        self._outcome.n_made[at.service] += len(works)
        n_results = sum(isinstance(end, PieceResult) for end in ends)
        made_s = self._outcome.made_s.setdefault(at.service, [])
        made_s += [time.monotonic() - self._began_s] * n_results
        busy_s = self._outcome.busy_s
        busy_s[at.service] = busy_s.get(at.service, 0.0) + took_s
        await asyncio.sleep(0.001)
        self.sent.append(
            SentCall(
                gateway=gateway,
                worker_id=at.worker_id,
                began_s=began_s,
                ended_s=time.monotonic(),
                n_turned_away=ends.count(PieceFault.NO_MEMORY),
            )
        )
        return Ok(ends)

    def _size(self, work: PieceWork) -> float:
        """Return the actual size of a result; it may differ from the published size."""
        if not self._size_spread:
            return work.result_bytes
        spread = self._size_spread
        of_stage = (work.request_id, work.stage)
        if of_stage not in self._sizes:
            self._sizes[of_stage] = self._rng.uniform(1.0 - spread, 1.0 + spread)
        return work.result_bytes * self._sizes[of_stage]

    def _drop_expired(self, kept: dict[str, float]) -> None:
        """Remove results that have expired."""
        now_s = time.monotonic()
        for name in [name for name in kept if self._until_s[name] <= now_s]:
            del kept[name]

    def _count_far(self, at: Worker, works: Sequence[PieceWork]) -> None:
        for handle in (handle for work in works for handle in work.inputs):
            worker_id = handle.partition("/")[0]
            if self._domains.get(worker_id, at.failure_domain) != at.failure_domain:
                self._outcome.far_bytes += self._kept[worker_id].get(handle, 0.0)

    async def report(self, at: Worker, *, timeout_s: float) -> WorkerReport:
        """Report the free memory in whole MB, as workers do."""
        await asyncio.sleep(0.002)
        kept = self._kept.get(at.worker_id, {})
        self._drop_expired(kept)
        free_mb = (self._services[at.service].memory_bytes - sum(kept.values())) // 1e6
        n_calls = self._n_calls[at.worker_id]
        return WorkerReport(
            n_queued=max(0, n_calls - 1),
            is_busy=n_calls > 0,
            least_free_bytes=free_mb * 1e6,
            most_free_bytes=(free_mb + 1.0) * 1e6,
        )

    async def is_listening(self, at: Worker) -> bool | None:
        return True

    async def free_results(self, at: Worker, handles: Sequence[str]) -> bool:
        await asyncio.sleep(0.002)
        for handle in handles:
            self._kept.get(at.worker_id, {}).pop(handle, None)
        return True


@dataclass(frozen=True, slots=True, kw_only=True)
class Chain:
    """The outcome of a chain, and a function that frees its results."""

    end: ChainOutcome
    free: Callable[[], object] = lambda: None


class Model:
    """One cell with its scheduler, and the callers.

    Parameters
    ----------
    n_schedulers : int
        With more than one, each request is scheduled by one of them at random; each
        scheduler sees only its own queues, and all call the same workers.
    """

    def __init__(self, load: Load, *, seed: int, n_schedulers: int = 1) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._began_s = time.monotonic()
        # The jitter of retry times is drawn from the global generator.
        random.seed(seed)
        self.outcome = Outcome()
        self.listed = [
            worker(f"{service.name}{number}", service.name, domain="abcd"[number % 4])
            for service in load.services
            for number in range(load.n_workers[service.name])
        ]
        workers = WorkerTable()
        for each in self.listed:
            workers.put(each)
        calls = ModelCalls(load, self._rng, self.outcome)
        self._schedulers = [
            _scheduler(load, calls, workers) for _ in range(n_schedulers)
        ]

    async def run(self) -> Outcome:
        """Let callers arrive for the length of the load; return the outcome."""
        async with asyncio.TaskGroup() as group:
            for kind in self._load.kinds:
                if not self._load.account_parts:
                    group.create_task(self._generate(kind, group))
                for account, part in enumerate(self._load.account_parts, start=1):
                    own = replace(kind, per_s=part * kind.per_s)
                    group.create_task(self._generate(own, group, account=account))
        return self.outcome

    async def run_chain(self, work: ChainWork) -> Chain:
        """Run one chain at one of the schedulers."""
        scheduler = self._rng.choice(self._schedulers)
        end = await scheduler.run(work)
        return Chain(end=end, free=lambda: scheduler.free(work.request_id))

    async def _generate(
        self, kind: Kind, group: asyncio.TaskGroup, *, account: int = 0
    ) -> None:
        began_s = time.monotonic()
        number = 0
        while (at_s := time.monotonic() - began_s) < self._load.length_s:
            factor = 1.0 + sum(
                burst.factor - 1.0
                for burst in self._load.bursts
                if burst.kind in ("", kind.name)
                and burst.account in (0, account)
                and burst.at_s <= at_s < burst.at_s + burst.duration_s
            )
            pause_until_s = self._next_burst_s(at_s, account)
            n_together = self._rng.randint(1, 2 * CLUMP - 1)
            pause_s = self._rng.expovariate(kind.per_s * factor / CLUMP)
            if at_s + pause_s > pause_until_s:
                # Drawn at the lower rate; a pause has no memory, so it is drawn again.
                await asyncio.sleep(pause_until_s - at_s)
                continue
            await asyncio.sleep(pause_s)
            for _ in range(n_together):
                number += 1
                name = f"{kind.name}{number}"
                if account:
                    name = f"{account}-{name}"
                group.create_task(self._call(kind, name, account))

    def _next_burst_s(self, at_s: float, account: int) -> float:
        """Return when the next burst of an account begins; infinite for none."""
        begins_s = (
            burst.at_s
            for burst in self._load.bursts
            if account and burst.account == account and burst.at_s > at_s
        )
        return min(begins_s, default=math.inf)

    async def _call(self, kind: Kind, request_id: str, account: int) -> None:
        began_s = time.monotonic()
        is_in_time = await self._ask(kind, request_id, account)
        self.outcome.asked.append(
            Asked(
                account=account,
                kind=kind.name,
                at_s=began_s - self._began_s,
                is_in_time=is_in_time,
            )
        )

    async def _ask(self, kind: Kind, request_id: str, account: int) -> bool:
        """Send a request, also a second time; return True if it was in time."""
        arrived_s = retried_s = time.monotonic()
        leaves_s = arrived_s + min(kind.event_timeout_s, kind.deadline_s)
        self.outcome.arrived[kind.name] += 1
        work = self._work(kind, request_id, account, arrived_s)
        chain = await self.run_chain(work)
        end = chain.end
        if isinstance(end, ChainFailed) and not end.is_begun:
            left_s = arrived_s + kind.deadline_s - time.monotonic()
            await asyncio.sleep(min(end.retry_after_s, left_s / 3))
            retried_s = time.monotonic()
            leaves_s = min(
                retried_s + kind.event_timeout_s, arrived_s + kind.deadline_s
            )
            again = self._work(kind, request_id, account, retried_s, first_s=arrived_s)
            chain = await self.run_chain(again)
            end = chain.end
            if isinstance(end, ChainFailed):
                self.outcome.again[kind.name] += 1
                held_s = time.monotonic() - retried_s
                held_s += self.outcome.held_s.get(kind.name, 0.0)
                self.outcome.held_s[kind.name] = held_s
        if isinstance(end, ChainFailed):
            self.outcome.refused[kind.name] += 1
            return False
        await asyncio.sleep(kind.engine_s * self._rng.uniform(0.4, 1.6))
        chain.free()
        waited_s = time.monotonic() - retried_s
        self.outcome.waited_s.setdefault(kind.name, []).append(waited_s)
        if time.monotonic() > leaves_s:
            self.outcome.left[kind.name] += 1
            return False
        is_in_time = time.monotonic() - arrived_s <= kind.objective_s
        (self.outcome.in_time if is_in_time else self.outcome.late)[kind.name] += 1
        return is_in_time

    def _work(
        self,
        kind: Kind,
        request_id: str,
        account: int,
        arrived_s: float,
        first_s: float | None = None,
    ) -> ChainWork:
        """Return a chain; `first_s` is the time of an earlier first attempt."""
        began_s = arrived_s if first_s is None else first_s
        n_pieces = tuple(
            self._n_pieces(mean) if mean != int(mean) else int(mean)
            for mean in kind.n_pieces
        )
        return ChainWork(
            request_id=request_id,
            route=kind.name,
            stages=kind.stages,
            n_pieces=n_pieces,
            piece_key=request_id,
            due_s=arrived_s + kind.objective_s - ENGINE_MARGIN * kind.engine_s,
            deadline_s=min(
                began_s + kind.deadline_s,
                arrived_s + kind.event_timeout_s - kind.engine_s,
            ),
            preferred_domain=self._rng.choice("abcd"),
            priority=kind.priority,
            account=account if self._load.has_shares else 0,
        )

    def _n_pieces(self, mean: float) -> int:
        """Return a random number of pieces of a stage; it is often 0."""
        return 0 if self._rng.random() < 0.4 else max(1, round(mean / 0.6))


def _scheduler(load: Load, calls: ModelCalls, workers: WorkerTable) -> ChainScheduler:
    notes = journal()
    dispatch = CellDispatch(
        failure_domains=frozenset("abcd"),
        calls=calls,  # type: ignore[arg-type]
        workers=workers,
        journal=notes,
        guard=crash_guard(calls, workers),  # type: ignore[arg-type]
        table=table(services=load.services),
        send_limits=send_limits(workers),
    )
    return ChainScheduler(dispatch=dispatch, budgets=budgets(), journal=notes)
