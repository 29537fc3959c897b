"""Chooses the worker of a request by its expected end and by prompts already read."""

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from ...state.chain.prompt_record import PromptRecord
from ...state.chain.requests import Prompt
from ...state.chain.routes import EngineService, Service
from ...state.chain.worker_loads import (
    READ_TOKENS_PER_S,
    TIE_RATIO,
    LeftOut,
    LeftOutReason,
    WorkerLoads,
)
from ...state.chain.worker_statements import StatedLoad
from ...state.chain.worker_uses import WorkerStart
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal
from ...state.rendezvous import highest

QUEUED_TOKENS_WEIGHT: Final = 2.0
"""Weight of the tokens of this gateway that wait at an engine.

Tokens of other gateways wait there as well, which this one does not know of.
"""

CROSS_DOMAIN_COST_S_PER_BYTE: Final = 6.5e-9
"""Cost in seconds for each byte of inputs from another failure domain.

Operators pay as much for 1.5 MB that cross failure domains as for 500 tokens that
are read again.
"""

CROSS_DOMAIN_COST_REQUESTS: Final = 1.0
"""Cost of another failure domain, in open requests at a plain worker."""

MAX_COMPARED: Final = 32
"""Plain workers that are compared, drawn at random from a larger service.

Comparing 900 workers takes 3.5 ms, and some tens of them contain an idle one.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """What a request requires of a worker.

    Parameters
    ----------
    prompt : Prompt or None
        Prompt of a request for a model worker.
    input_bytes : float
        Expected size in bytes of the results that the request takes as inputs.
    input_domain : str
        Failure domain where the inputs are stored; empty without any.
    software_version : str or None
        Software version of the worker that began the stream; None if any may run it.
    is_suspect : bool
        True if the request may crash its worker, which should then run few others.
    """

    prompt: Prompt | None = None
    input_bytes: float = 0.0
    input_domain: str = ""
    software_version: str | None = None
    is_suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerBelief:
    """What a worker is believed to do.

    Parameters
    ----------
    n_requests : float
        Requests of all gateways there.
    n_own : int
        Those of this gateway.
    work_s, held_s : float or None
        Learnt times of an answer without waiting, and of a stream; None if unknown.
    left_out_as : LeftOutReason or None
        Why it is left out; None if it is not.
    """

    n_requests: float
    n_own: int
    work_s: float | None
    held_s: float | None
    left_out_as: LeftOutReason | None


class OpenCounts:
    """Open requests of this gateway at one worker process.

    Attributes
    ----------
    n_open : int
        Number of open requests.
    n_unread : int
        Tokens of their prompts that the worker has not read yet.
    is_removed : bool
        True once the worker was removed; its requests do not count any more.
    """

    __slots__ = ("is_removed", "n_open", "n_unread")

    def __init__(self) -> None:
        self.n_open = 0
        self.n_unread = 0
        self.is_removed = False


class WorkerChoice:
    """Chooses workers for requests.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this gateway.
    workers : WorkerTable
        The listed workers.
    loads : WorkerLoads or None
        What is known of the workers; None chooses by the open requests of this gateway
        only, and the first of the list among equal workers.
    journal : Journal or None
        Receives a decision when a worker is left out.

    Attributes
    ----------
    on_left_out : callable
        Called with each worker that this gateway leaves out by its own requests.
    """

    __slots__ = (
        "_counts",
        "_failure_domain",
        "_journal",
        "_loads",
        "_record",
        "_workers",
        "on_left_out",
    )

    def __init__(
        self,
        *,
        failure_domain: str,
        workers: WorkerTable,
        loads: WorkerLoads | None = None,
        journal: Journal | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._workers = workers
        self._loads = loads
        self._journal = journal
        self._counts: dict[str, OpenCounts] = {}
        self._record = PromptRecord()
        self.on_left_out: Callable[[LeftOut], None] = _ignore
        workers.leave_listeners.append(self._on_leave)

    def choose(
        self, service: Service, need: Need, *, without: frozenset[str]
    ) -> Worker | None:
        """Return the worker that should run a request, or None if there is none.

        Parameters
        ----------
        service : Service
            Service that runs the request.
        need : Need
            What the request requires of a worker.
        without : frozenset of str
            Excluded workers.
        """
        if need.software_version is not None:
            without |= self._workers.other_versions(service.name, need.software_version)
        workers = self._workers.usable(service.name, excluded=without)
        if not workers:
            return None
        if self._loads is not None:
            if not (need.is_suspect or isinstance(service, EngineService)):
                workers = self._loads.sample(workers, MAX_COMPARED)
            workers = self._loads.usable(workers, time.monotonic())
        if need.is_suspect:
            return min(workers, key=self._plain_cost)
        if isinstance(service, EngineService) and need.prompt is not None:
            costs = self._engine_costs_s(workers, need.prompt, need)
            if self._loads is not None:
                return self._least_engine(self._loads, service, workers, costs)
            return min(workers, key=lambda worker: costs[worker.worker_id])
        if self._loads is not None and isinstance(service, EngineService):
            return self._least_engine(self._loads, service, workers, {})
        if self._loads is not None:
            return self._least_plain(self._loads, workers)
        return min(workers, key=self._plain_cost)

    @contextmanager
    def open(self, worker: Worker, need: Need) -> Iterator["OpenRequest"]:
        """Count a request as open at a worker while the context is open."""
        worker_id = worker.worker_id
        counts = self._counts.setdefault(worker_id, OpenCounts())
        counts.n_open += 1
        request = OpenRequest(
            choice=self, worker=worker, counts=counts, prompt=need.prompt
        )
        is_trial = self._loads is not None and self._loads.begin(worker)
        try:
            yield request
        finally:
            request.end()
            if self._loads is not None and is_trial:
                self._loads.end_trial(worker)
            counts.n_open -= 1
            if not counts.n_open and self._counts.get(worker_id) is counts:
                del self._counts[worker_id]

    def n_open(self, worker_id: str) -> int:
        """Return the number of open requests of this gateway at a worker."""
        counts = self._counts.get(worker_id)
        return 0 if counts is None else counts.n_open

    def uses(self, service: str) -> dict[WorkerStart, int]:
        """Return the open requests of this gateway at the workers of a service."""
        return {
            (worker.worker_id, worker.born_ms): n_open
            for worker in self._workers.listed(service)
            if (n_open := self.n_open(worker.worker_id))
        }

    def learn_uses(self, service: str, uses: Mapping[WorkerStart, int]) -> None:
        """Learn the open requests of all gateways at the workers of a service."""
        if self._loads is not None:
            own = self.uses(service)
            self._loads.learn_uses(service, uses, own, time.monotonic())

    def learn_load(self, worker: Worker, load: StatedLoad) -> None:
        """Learn the load that a worker states."""
        if self._loads is not None:
            n_own = self.n_open(worker.worker_id)
            self._loads.learn_load(worker, load, n_own, time.monotonic())

    def record_answer(self, worker: Worker) -> None:
        """Record that a worker has done a request."""
        if self._loads is not None and self._is_listed(worker):
            self._loads.record_answer(worker, time.monotonic())

    def record_shed(self, worker: Worker) -> None:
        """Record that a worker has turned a request away."""
        if self._loads is not None and self._is_listed(worker):
            left_out = self._loads.record_shed(worker, time.monotonic())
            self._tell_left_out(left_out)

    def record_failure(self, worker: Worker) -> None:
        """Record that a worker has answered a request with its own failure."""
        if self._loads is not None and self._is_listed(worker):
            listed = self._workers.listed(worker.service)
            others = [w for w in listed if w.worker_id != worker.worker_id]
            left_out = self._loads.record_failure(worker, others, time.monotonic())
            self._tell_left_out(left_out)

    def hear_left_out(self, worker_id: str, born_ms: int, for_s: float) -> bool:
        """Leave a worker out as another gateway does; return True if that is news."""
        worker = self._workers.get(worker_id)
        if self._loads is None or worker is None or worker.born_ms != born_ms:
            return False
        left_out = self._loads.hear_left_out(worker, for_s, time.monotonic())
        if left_out is None:
            return False
        self._journal_left_out(left_out)
        return True

    @property
    def n_left_out(self) -> int:
        """Number of workers that are left out at this gateway."""
        return 0 if self._loads is None else self._loads.n_left_out(time.monotonic())

    def beliefs(self, service: str) -> dict[str, "WorkerBelief"]:
        """Return what is believed of each listed worker of a service, by its id."""
        loads = self._loads
        if loads is None:
            return {}
        now_s = time.monotonic()
        return {
            worker.worker_id: WorkerBelief(
                n_requests=loads.n_requests(
                    worker, self.n_open(worker.worker_id), now_s
                ),
                n_own=self.n_open(worker.worker_id),
                work_s=loads.known_work_s(worker, now_s),
                held_s=loads.known_held_s(worker, now_s),
                left_out_as=loads.left_out_reason(worker, now_s),
            )
            for worker in self._workers.listed(service)
        }

    def learn_work(self, worker: Worker, took_s: float, n_there: float) -> None:
        """Learn the time of a whole answer, with the requests there as it was sent."""
        if self._loads is not None and self._is_listed(worker):
            self._loads.learn_work(worker, took_s, n_there, time.monotonic())

    def learn_held(self, worker: Worker, took_s: float) -> None:
        """Learn how long a stream lasted."""
        if self._loads is not None and self._is_listed(worker):
            self._loads.learn_held(worker, took_s, time.monotonic())

    def learn_reading(self, worker: Worker, took_s: float, n_unread: int) -> None:
        """Learn the time from sending a prompt to the first event."""
        if self._loads is not None and self._is_listed(worker):
            self._loads.learn_reading(worker, took_s, n_unread, time.monotonic())

    def n_requests(self, worker: Worker) -> float:
        """Return the requests of all gateways at a worker, as far as is known."""
        n_own = self.n_open(worker.worker_id)
        if self._loads is None:
            return n_own
        return self._loads.n_requests(worker, n_own, time.monotonic())

    def unread_tokens(self, worker_id: str, prompt: Prompt) -> int:
        """Return the number of tokens of a prompt that an engine has yet to read."""
        return prompt.n_tokens - self._record.held_tokens(worker_id, prompt)

    def record_read(self, worker_id: str, prompt: Prompt) -> None:
        """Record that an engine has read a prompt."""
        self._record.record(worker_id, prompt)

    def _engine_costs_s(
        self, workers: Sequence[Worker], prompt: Prompt, need: Need
    ) -> Mapping[str, float]:
        """Return the cost of each engine, in seconds before the first event.

        All gateways hash a session to the same engine, so that its prompt is read by
        one engine only, although gateways do not exchange prompts. The engine that
        the hash selects counts as if it had read the shared part of the prompt.
        """
        session = prompt.parts[-2].part_id if len(prompt.parts) > 1 else ""
        preferred_id = highest(session, [w.worker_id for w in workers], n=1)[0]
        own = sum(part.n_tokens for part in prompt.parts[-1:])
        costs = {}
        for worker in workers:
            worker_id = worker.worker_id
            unread = self.unread_tokens(worker_id, prompt)
            if worker_id == preferred_id:
                unread = min(unread, own)
            counts = self._counts.get(worker_id)
            n_waiting = 0 if counts is None else counts.n_unread
            waiting = unread + QUEUED_TOKENS_WEIGHT * n_waiting
            costs[worker_id] = waiting * self._token_s(worker)
            if worker.failure_domain != (need.input_domain or self._failure_domain):
                costs[worker_id] += CROSS_DOMAIN_COST_S_PER_BYTE * need.input_bytes
        return costs

    def _token_s(self, worker: Worker) -> float:
        """Return the time in which an engine reads one token of a prompt."""
        if self._loads is None:
            return 1.0 / READ_TOKENS_PER_S
        return self._loads.token_s(worker, time.monotonic())

    def _least_engine(
        self,
        loads: WorkerLoads,
        service: EngineService,
        workers: Sequence[Worker],
        costs_s: Mapping[str, float],
    ) -> Worker:
        """Return the engine with the least costs, its requests included.

        `costs_s` is empty for a request without a prompt.
        """
        now_s = time.monotonic()
        return loads.draw(
            [
                (
                    worker,
                    costs_s.get(worker.worker_id, 0.0)
                    + loads.engine_wait_s(
                        worker, self.n_open(worker.worker_id), service.n_slots, now_s
                    ),
                )
                for worker in workers
            ]
        )

    def _least_plain(self, loads: WorkerLoads, workers: Sequence[Worker]) -> Worker:
        """Return the worker with the least expected end; it is drawn among equal ones.

        Another failure domain costs as much as an open request.
        """
        now_s = time.monotonic()
        costs_s = []
        for worker in workers:
            cost_s = loads.plain_end_s(worker, self.n_open(worker.worker_id), now_s)
            if worker.failure_domain != self._failure_domain:
                n_slots = loads.n_slots(worker, worker.n_slots, now_s)
                work_s = loads.work_s(worker, now_s)
                cost_s += CROSS_DOMAIN_COST_REQUESTS * work_s / n_slots
            costs_s.append((worker, cost_s))
        return loads.draw(costs_s, tie_ratio=TIE_RATIO)

    def _is_listed(self, worker: Worker) -> bool:
        """Return True unless a worker was removed or has been restarted."""
        return worker.is_same_start(self._workers.get(worker.worker_id))

    def _tell_left_out(self, left_out: LeftOut | None) -> None:
        if left_out is not None:
            self._journal_left_out(left_out)
            self.on_left_out(left_out)

    def _journal_left_out(self, left_out: LeftOut) -> None:
        if self._journal is None:
            return
        self._journal.record(
            Decision(
                event=Event.TARGET_LEFT_OUT,
                stage=left_out.worker.service,
                peer=left_out.worker.worker_id,
                detail=left_out.reason.value,
                figures=(Figure(name="for_s", value=left_out.for_s),),
            )
        )

    def _plain_cost(self, worker: Worker) -> float:
        is_other_domain = worker.failure_domain != self._failure_domain
        return self.n_open(worker.worker_id) + (
            CROSS_DOMAIN_COST_REQUESTS if is_other_domain else 0.0
        )

    def _on_leave(self, worker: Worker) -> None:
        if self._workers.get(worker.worker_id) is None:
            self._record.forget(worker.worker_id)
            counts = self._counts.pop(worker.worker_id, None)
            if counts is not None:
                counts.is_removed = True
            if self._loads is not None:
                self._loads.forget(worker)


class OpenRequest:
    """A request that is open at a worker, with the unread tokens of its prompt.

    Parameters
    ----------
    choice : WorkerChoice
        Records the prompts that workers have read.
    worker : Worker
        The worker.
    counts : OpenCounts
        Open requests at the present worker process.
    prompt : Prompt or None
        The prompt that the worker has to read.
    """

    __slots__ = (
        "_began_s",
        "_choice",
        "_counts",
        "_n_there",
        "_n_unread",
        "_prompt",
        "_worker",
    )

    def __init__(
        self,
        *,
        choice: WorkerChoice,
        worker: Worker,
        counts: OpenCounts,
        prompt: Prompt | None,
    ) -> None:
        self._choice = choice
        self._counts = counts
        self._worker = worker
        self._prompt = prompt
        self._began_s = time.monotonic()
        self._n_there = choice.n_requests(worker)
        self._n_unread = 0
        if prompt is not None:
            self._n_unread = choice.unread_tokens(worker.worker_id, prompt)
            counts.n_unread += self._n_unread

    def mark_read(self) -> None:
        """Record the prompt as read, as the first event has arrived.

        It is not recorded if the worker was removed meanwhile: a new process of the
        worker has not read what the previous one has.
        """
        if self._prompt is not None and not self._counts.is_removed:
            self._choice.record_read(self._worker.worker_id, self._prompt)
            took_s = time.monotonic() - self._began_s
            self._choice.learn_reading(self._worker, took_s, self._n_unread)
        self.end()

    def mark_done(self) -> None:
        """Learn how long the worker took, as its answer is complete."""
        took_s = time.monotonic() - self._began_s
        if self._prompt is not None:
            self._choice.learn_held(self._worker, took_s)
        else:
            self._choice.learn_work(self._worker, took_s, self._n_there)

    def end(self) -> None:
        """Stop counting the prompt as unread; further calls do nothing."""
        self._counts.n_unread -= self._n_unread
        self._n_unread = 0


def _ignore(left_out: LeftOut) -> None:
    pass
