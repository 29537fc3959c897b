"""What this gateway knows of the load, the speed and the failures of workers.

Answers uneven speeds, workers that shed load or fail, and requests of other gateways.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from .worker_statements import StatedLoad
from .worker_uses import WorkerStart
from .workers import Worker

HALF_LIFE_S: Final = 2.0
"""Half-life of a learnt time; one that is not renewed nears that of all workers.

Otherwise a worker that was slow once would get no request that shows it to be faster.
"""

USES_HALF_LIFE_RATIO: Final = 0.5
MIN_USES_HALF_LIFE_S: Final = 0.05
"""Half-life of the reported requests of other gateways, in parts of a request's time.

All gateways send to the worker that the last report shows to be idle, so a report says
little about workers once a request's time has passed.
"""

STATED_S: Final = 0.5
"""Seconds for which a load that a worker states counts."""

TIE_RATIO: Final = 1.2
"""Ratio up to which expected ends count as equal.

Learnt times of equal workers differ by a few hundredths, and every request would go to
the worker with the least.
"""

MAX_TIME_S: Final = 3600.0
"""Longest time that is learnt."""

READ_TOKENS_PER_S: Final = 50_000.0
"""Prompt tokens that an engine reads per second without measurements.

Published are 42,800 to 69,800. Only the ratio to other costs matters, and these differ
by large factors.
"""

MIN_READ_TOKENS: Final = 500
"""Least unread tokens of a prompt whose reading is measured.

The first event of a shorter prompt depends on the length of an engine's step instead.
"""

MAX_READ_RATIO: Final = 4.0
"""Largest ratio of a measured reading time to the one without measurements.

The time to the first event contains waiting, which is counted apart.
"""

DEFAULT_HELD_S: Final = 1.0
"""Seconds for which a request holds a slot of an engine without measurements."""

BATCH_COST: Final = 0.05
"""Part by which a full batch of an engine prolongs a request.

Each step takes longer the more requests it has. The cost grows with the square of the
batch: it outweighs a shared prompt part of some tens of tokens once a batch is nearly
full, and does not make an engine with many free slots read a prompt again.
"""

SHED_S: Final = 0.1
MAX_SHED_S: Final = 1.6
"""First and longest time for which a worker is left out that sheds load."""

FAILED_S: Final = 1.0
MAX_FAILED_S: Final = 8.0
"""First and longest time for which a failing worker is left out."""

N_FAILED: Final = 3
"""Failures in a row from which a worker may count as failing."""

N_OUTCOMES: Final = 10
"""Last answers of a worker whose failures are counted."""

MIN_FAILED_SHARE: Final = 0.5
MIN_FAILED_RATIO: Final = 3.0
"""Least share of failures, and its least ratio to that of the other workers.

Some services fail a part of all requests, which is no reason to leave a worker out.
"""

HEARD_SPREAD: Final = 0.5
"""Part by which a time that another gateway states is prolonged, at random.

The gateways then try the worker one after another, and the first tells the others.
"""

MAX_WORKERS: Final = 4096
"""Workers of which something is kept; the one that was learnt first is dropped."""

MAX_SERVICES: Final = 256
"""Services of which something is kept; more than any configuration has."""


@unique
class LeftOutReason(Enum):
    """Why a worker gets no requests for a while."""

    SHEDS = "turns requests away"
    FAILS = "fails requests"
    HEARD = "left out by another gateway"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeftOut:
    """A worker has just been left out.

    Parameters
    ----------
    worker : Worker
        The worker.
    reason : LeftOutReason
        Why it is left out.
    for_s : float
        Seconds for which it is left out.
    """

    worker: Worker
    reason: LeftOutReason
    for_s: float


class LearntTime:
    """Mean of measured times in seconds, in which older ones count less.

    Attributes
    ----------
    mean_s : float or None
        The mean; None without a measurement.
    learnt_s : float
        Time of the last measurement.
    """

    __slots__ = ("_n", "learnt_s", "mean_s")

    def __init__(self) -> None:
        self._n = 0
        self.mean_s: float | None = None
        self.learnt_s = 0.0

    def learn(self, took_s: float, now_s: float) -> None:
        """Record a measured time."""
        took_s = min(MAX_TIME_S, max(0.0, took_s))
        self._n += 1
        if self.mean_s is None:
            self.mean_s = took_s
        else:
            elapsed_s = max(0.0, now_s - self.learnt_s)
            weight = max(1.0 / self._n, 1.0 - 0.5 ** (elapsed_s / HALF_LIFE_S))
            self.mean_s += weight * (took_s - self.mean_s)
        self.learnt_s = now_s

    def at(self, now_s: float, default_s: float) -> float:
        """Return the mean; without new measurements it nears `default_s`."""
        if self.mean_s is None:
            return default_s
        share: float = 0.5 ** (max(0.0, now_s - self.learnt_s) / HALF_LIFE_S)
        return default_s + share * (self.mean_s - default_s)


class KnownTimes:
    """Learnt times of a worker or of all workers of a service.

    Attributes
    ----------
    work : LearntTime
        Time that a request takes while it does not wait.
    held : LearntTime
        Time for which a request holds a slot of an engine.
    latency : LearntTime
        Time to the first event of a stream beyond the usual reading time of its prompt.
    slowness : LearntTime
        Time to the first event as a ratio to what the service usually takes.
    """

    __slots__ = ("held", "latency", "slowness", "work")

    def __init__(self) -> None:
        self.work = LearntTime()
        self.held = LearntTime()
        self.latency = LearntTime()
        self.slowness = LearntTime()


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownUses:
    """Requests of other gateways at workers, and when they were reported."""

    n_others: Mapping[WorkerStart, int]
    at_s: float


@dataclass(slots=True, kw_only=True)
class WorkerLoad:
    """What is known of one start of a worker.

    Parameters
    ----------
    times : KnownTimes
        Its learnt times.
    stated : StatedLoad or None
        The load that it has stated last, and at what time.
    n_others_stated : int
        Requests of other gateways in that load.
    outcomes : deque of bool
        For each of its last answers whether it is a failure.
    n_failed, n_sheds : int
        Failures, and sheds at different times, since it last did a request.
    for_s, until_s : float
        For how long and until when it is left out.
    reason : LeftOutReason or None
        Why it was left out last; None once it has done a request since.
    n_on_trial : int
        Requests of this gateway there, as far as they began since it was left out.
    """

    times: KnownTimes = field(default_factory=KnownTimes)
    stated: StatedLoad | None = None
    stated_s: float = 0.0
    n_others_stated: int = 0
    outcomes: deque[bool] = field(default_factory=lambda: deque(maxlen=N_OUTCOMES))
    n_failed: int = 0
    n_sheds: int = 0
    for_s: float = 0.0
    until_s: float = 0.0
    reason: LeftOutReason | None = None
    n_on_trial: int = 0

    def is_left_out(self, now_s: float) -> bool:
        """Return True while it gets no requests, or is to answer a single one first."""
        is_on_trial = self.n_on_trial > 0 and self.for_s >= FAILED_S
        return self.reason is not None and (now_s < self.until_s or is_on_trial)

    def badness(self) -> tuple[float, float]:
        """Return a key that is the greater the less a worker should be used."""
        n_failed = self.outcomes.count(True)
        return n_failed / max(1, len(self.outcomes)), self.for_s


class WorkerLoads:
    """What is known of the workers of all services.

    Times are on one monotonic clock, in seconds.

    Parameters
    ----------
    rng : random.Random
        Draws among workers that are expected to be equally fast.
    """

    __slots__ = ("_by_start", "_rng", "_services", "_uses")

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._by_start: OrderedDict[WorkerStart, WorkerLoad] = OrderedDict()
        self._services: OrderedDict[str, KnownTimes] = OrderedDict()
        self._uses: OrderedDict[str, KnownUses] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_start)

    def forget(self, worker: Worker) -> None:
        """Forget a start of a worker that was removed."""
        self._by_start.pop(_start(worker), None)

    def learn_uses(
        self,
        service: str,
        uses: Mapping[WorkerStart, int],
        own: Mapping[WorkerStart, int],
        now_s: float,
    ) -> None:
        """Learn the requests of all gateways by worker, of which `own` are here."""
        n_others = {s: max(0, n_all - own.get(s, 0)) for s, n_all in uses.items()}
        self._uses[service] = KnownUses(n_others=n_others, at_s=now_s)
        while len(self._uses) > MAX_SERVICES:
            self._uses.popitem(last=False)

    def learn_load(
        self, worker: Worker, load: StatedLoad, n_own: int, now_s: float
    ) -> None:
        """Learn the load that a worker states, of which `n_own` requests are here."""
        known = self._load(worker)
        known.stated = load
        known.stated_s = now_s
        known.n_others_stated = max(0, load.n_running + load.n_waiting - n_own)

    def n_requests(self, worker: Worker, n_own: int, now_s: float) -> float:
        """Return how many requests of all gateways are believed to be at a worker."""
        uses = self._uses.get(worker.service)
        known = self._by_start.get(_start(worker))
        stated = None if known is None else self._stated(known, now_s)
        if stated and known and (uses is None or uses.at_s <= known.stated_s):
            return n_own + known.n_others_stated
        if uses is None:
            return n_own
        age_s = max(0.0, now_s - uses.at_s)
        request_s = self._request_s(worker.service)
        half_life_s = max(MIN_USES_HALF_LIFE_S, USES_HALF_LIFE_RATIO * request_s)
        share: float = 0.5 ** (age_s / half_life_s)
        return n_own + uses.n_others.get(_start(worker), 0) * share

    def n_slots(self, worker: Worker, listed: int, now_s: float) -> int:
        """Return the slots that a worker states, else those listed, else 1."""
        known = self._by_start.get(_start(worker))
        stated = None if known is None else self._stated(known, now_s)
        return max(1, listed if stated is None else stated.n_slots or listed)

    def work_s(self, worker: Worker, now_s: float) -> float:
        """Return the time that a request takes at a plain worker without waiting.

        1 for each worker while nothing is known of any.
        """
        service = self._services.get(worker.service)
        default_s = (service and service.work.mean_s) or 1.0
        known = self._by_start.get(_start(worker))
        if known is None:
            return default_s
        return known.times.work.at(now_s, default_s) * self._slowness(known, now_s)

    def plain_end_s(self, worker: Worker, n_own: int, now_s: float) -> float:
        """Return when a plain worker is expected to answer, in seconds from now."""
        n_there = self.n_requests(worker, n_own, now_s) + 1
        n_slots = self.n_slots(worker, worker.n_slots, now_s)
        return max(1.0, n_there / n_slots) * self.work_s(worker, now_s)

    def engine_wait_s(
        self, worker: Worker, n_own: int, listed: int, now_s: float
    ) -> float:
        """Return what the requests at an engine cost a further one, in seconds."""
        n_there = self.n_requests(worker, n_own, now_s) + 1
        n_slots = self.n_slots(worker, listed, now_s)
        n_beyond = max(0.0, n_there - n_slots)
        held_s = self.held_s(worker, now_s)
        fullness = min(n_there, n_slots) / n_slots
        return (n_beyond / n_slots + BATCH_COST * fullness**2) * held_s

    def held_s(self, worker: Worker, now_s: float) -> float:
        """Return the time for which a request holds a slot of an engine."""
        service = self._services.get(worker.service)
        default_s = (service and service.held.mean_s) or DEFAULT_HELD_S
        known = self._by_start.get(_start(worker))
        if known is None:
            return default_s
        return known.times.held.at(now_s, default_s) * self._slowness(known, now_s)

    def token_s(self, worker: Worker, now_s: float) -> float:
        """Return the time in which an engine reads one token of a prompt."""
        known = self._by_start.get(_start(worker))
        usual_s = 1.0 / READ_TOKENS_PER_S
        if known is None:
            return usual_s
        ratio = known.times.slowness.at(now_s, 1.0)
        return ratio * usual_s * self._slowness(known, now_s)

    def learn_work(
        self, worker: Worker, took_s: float, n_there: float, now_s: float
    ) -> None:
        """Learn the time of an answer, with the requests there as it was sent."""
        known = self._load(worker)
        n_slots = self.n_slots(worker, worker.n_slots, now_s)
        work_s = took_s / max(1.0, n_there / n_slots) / self._slowness(known, now_s)
        known.times.work.learn(work_s, now_s)
        self._service(worker.service).work.learn(work_s, now_s)

    def learn_held(self, worker: Worker, took_s: float, now_s: float) -> None:
        """Learn for how long a request held a slot of an engine."""
        known = self._load(worker)
        held_s = took_s / self._slowness(known, now_s)
        known.times.held.learn(held_s, now_s)
        self._service(worker.service).held.learn(held_s, now_s)

    def learn_reading(
        self, worker: Worker, took_s: float, n_tokens: int, now_s: float
    ) -> None:
        """Learn the time from sending a prompt to the first event.

        Most of it does not depend on the prompt. A worker is compared with what the
        service takes for a prompt of that length, as an engine that has been used
        would seem slower than one that has not, and prompts would be read again there.
        """
        if n_tokens < MIN_READ_TOKENS:
            return
        known = self._load(worker)
        took_s /= self._slowness(known, now_s)
        reading_s = n_tokens / READ_TOKENS_PER_S
        latency = self._service(worker.service).latency
        latency.learn(max(0.0, took_s - reading_s), now_s)
        usual_s = reading_s + (latency.mean_s or 0.0)
        known.times.slowness.learn(_bounded(took_s / usual_s, 1.0), now_s)

    def begin(self, worker: Worker) -> bool:
        """Return True if a request that begins is to show whether a worker is usable.

        Whoever gets True calls `end_trial` once the request has ended.
        """
        known = self._by_start.get(_start(worker))
        if known is None or known.reason is None:
            return False
        known.n_on_trial += 1
        return True

    def end_trial(self, worker: Worker) -> None:
        """Record the end of a request that began at a worker that was left out."""
        known = self._by_start.get(_start(worker))
        if known is not None:
            known.n_on_trial = max(0, known.n_on_trial - 1)

    def record_answer(self, worker: Worker, now_s: float) -> None:
        """Record that a worker has done a request.

        Answers that arrive while it is left out are to requests that were sent before.
        """
        known = self._load(worker)
        known.outcomes.append(False)
        known.n_failed = 0
        if now_s < known.until_s:
            return
        known.n_sheds = known.n_on_trial = 0
        known.for_s = known.until_s = 0.0
        known.reason = None

    def record_shed(self, worker: Worker, now_s: float) -> LeftOut | None:
        """Record that a worker has turned a request away; return if it is left out.

        Requests that were sent together are turned away together, which counts once.
        """
        known = self._load(worker)
        if now_s < known.until_s:
            return None
        known.n_sheds += 1
        for_s = min(MAX_SHED_S, max(SHED_S, 2.0 * known.for_s))
        return _leave_out(worker, known, LeftOutReason.SHEDS, for_s, now_s)

    def record_failure(
        self, worker: Worker, others: Collection[Worker], now_s: float
    ) -> LeftOut | None:
        """Record that a worker has failed a request; return if it is left out.

        Parameters
        ----------
        worker : Worker
            The worker.
        others : collection of Worker
            The other workers of its service.
        now_s : float
            Time of the answer.
        """
        known = self._load(worker)
        known.outcomes.append(True)
        known.n_failed += 1
        if now_s < known.until_s:
            return None
        was_left_out = known.reason is not None and known.for_s >= FAILED_S
        if not was_left_out and not self._is_failing(known, others):
            return None
        for_s = min(MAX_FAILED_S, max(FAILED_S, 2.0 * known.for_s))
        return _leave_out(worker, known, LeftOutReason.FAILS, for_s, now_s)

    def hear_left_out(
        self, worker: Worker, for_s: float, now_s: float
    ) -> LeftOut | None:
        """Leave a worker out that another gateway leaves out; None if that is known."""
        known = self._load(worker)
        for_s = min(MAX_FAILED_S, max(0.0, for_s))
        if known.until_s - now_s >= for_s / 2:
            return None
        left_out = _leave_out(worker, known, LeftOutReason.HEARD, for_s, now_s)
        known.until_s += HEARD_SPREAD * for_s * self._rng.random()
        return left_out

    def usable(self, workers: Sequence[Worker], now_s: float) -> Sequence[Worker]:
        """Return the workers that are not left out, else those that are least bad."""
        loads = [(w, self._by_start.get(_start(w))) for w in workers]
        usable = [w for w, k in loads if k is None or not k.is_left_out(now_s)]
        if usable:
            return usable
        badness = {w.worker_id: k.badness() for w, k in loads if k is not None}
        least = min(badness.values())
        return [w for w in workers if badness[w.worker_id] == least]

    def known_work_s(self, worker: Worker, now_s: float) -> float | None:
        """Return the learnt time of an answer; None if none was learnt."""
        known = self._by_start.get(_start(worker))
        if known is None or known.times.work.mean_s is None:
            return None
        return self.work_s(worker, now_s)

    def known_held_s(self, worker: Worker, now_s: float) -> float | None:
        """Return the learnt time of a stream; None if none was learnt."""
        known = self._by_start.get(_start(worker))
        if known is None or known.times.held.mean_s is None:
            return None
        return self.held_s(worker, now_s)

    def n_left_out(self, now_s: float) -> int:
        """Return the number of workers that are left out."""
        return sum(known.is_left_out(now_s) for known in self._by_start.values())

    def left_out_reason(self, worker: Worker, now_s: float) -> LeftOutReason | None:
        """Return why a worker is left out; None if it is not."""
        known = self._by_start.get(_start(worker))
        is_left_out = known is not None and known.is_left_out(now_s)
        return known.reason if known is not None and is_left_out else None

    def sample(self, workers: Sequence[Worker], n: int) -> Sequence[Worker]:
        """Return all workers, or `n` of them at random if there are more."""
        return workers if len(workers) <= n else self._rng.sample(workers, n)

    def draw(
        self, costs_s: Sequence[tuple[Worker, float]], *, tie_ratio: float = 1.0
    ) -> Worker:
        """Return one of the workers with the least cost, at random among equal ones."""
        least_s = min(cost_s for _, cost_s in costs_s) * tie_ratio
        return self._rng.choice([w for w, cost_s in costs_s if cost_s <= least_s])

    def _request_s(self, service: str) -> float:
        """Return the usual time of a request at the workers of a service."""
        known = self._services.get(service)
        if known is None:
            return DEFAULT_HELD_S
        return known.held.mean_s or known.work.mean_s or DEFAULT_HELD_S

    def _is_failing(self, known: WorkerLoad, others: Collection[Worker]) -> bool:
        """Return True if a worker fails, and by far more than the others."""
        share = known.outcomes.count(True) / len(known.outcomes)
        if known.n_failed < N_FAILED or share < MIN_FAILED_SHARE:
            return False
        loads = [self._by_start.get(_start(other)) for other in others]
        outcomes = [k.outcomes for k in loads if k is not None]
        n_answers = sum(map(len, outcomes))
        n_failed = sum(each.count(True) for each in outcomes)
        return n_answers > 0 and share >= MIN_FAILED_RATIO * n_failed / n_answers

    def _stated(self, known: WorkerLoad, now_s: float) -> StatedLoad | None:
        """Return the load that a worker has stated, unless it is too old."""
        return known.stated if now_s - known.stated_s <= STATED_S else None

    def _slowness(self, known: WorkerLoad, now_s: float) -> float:
        stated = self._stated(known, now_s)
        return 1.0 if stated is None else stated.slowness

    def _load(self, worker: Worker) -> WorkerLoad:
        start = _start(worker)
        known = self._by_start.get(start)
        if known is None:
            known = self._by_start[start] = WorkerLoad()
            while len(self._by_start) > MAX_WORKERS:
                self._by_start.popitem(last=False)
        return known

    def _service(self, name: str) -> KnownTimes:
        known = self._services.get(name)
        if known is None:
            known = self._services[name] = KnownTimes()
            while len(self._services) > MAX_SERVICES:
                self._services.popitem(last=False)
        return known


def _leave_out(
    worker: Worker, known: WorkerLoad, reason: LeftOutReason, for_s: float, now_s: float
) -> LeftOut:
    known.reason = reason
    known.for_s = for_s
    known.until_s = now_s + for_s
    known.n_on_trial = 0
    return LeftOut(worker=worker, reason=reason, for_s=for_s)


def _bounded(token_s: float, usual_s: float) -> float:
    return min(MAX_READ_RATIO * usual_s, max(usual_s / MAX_READ_RATIO, token_s))


def _start(worker: Worker) -> WorkerStart:
    return worker.worker_id, worker.born_ms
