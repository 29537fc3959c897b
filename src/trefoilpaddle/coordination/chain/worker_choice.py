"""Chooses the worker of a request by open requests and by prompts already read."""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from ...state.chain.prompt_record import PromptRecord
from ...state.chain.requests import Prompt
from ...state.chain.routes import EngineService, Service
from ...state.chain.worker_uses import WorkerStart
from ...state.chain.workers import Worker, WorkerTable
from ...state.rendezvous import highest

READ_TOKENS_PER_S: Final = 50_000.0
"""Prompt tokens that an engine reads per second; published are 42,800 to 69,800.

Only the ratio to the other costs matters, and these differ by large factors.
"""

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
    """

    prompt: Prompt | None = None
    input_bytes: float = 0.0
    input_domain: str = ""
    software_version: str | None = None


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
    """Chooses workers for requests, based on this gateway's own requests only.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this gateway.
    workers : WorkerTable
        The listed workers.
    """

    __slots__ = ("_counts", "_failure_domain", "_record", "_uses_by_all", "_workers")

    def __init__(self, *, failure_domain: str, workers: WorkerTable) -> None:
        self._failure_domain = failure_domain
        self._workers = workers
        self._counts: dict[str, OpenCounts] = {}
        self._record = PromptRecord()
        self._uses_by_all: dict[str, Mapping[WorkerStart, int]] = {}
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
        if isinstance(service, EngineService) and need.prompt is not None:
            costs = self._engine_costs_s(workers, need.prompt, need)
            return min(workers, key=lambda worker: costs[worker.worker_id])
        return min(workers, key=self._plain_cost)

    @contextmanager
    def open(self, worker: Worker, need: Need) -> Iterator["OpenRequest"]:
        """Count a request as open at a worker while the context is open."""
        worker_id = worker.worker_id
        counts = self._counts.setdefault(worker_id, OpenCounts())
        counts.n_open += 1
        request = OpenRequest(
            choice=self, worker_id=worker_id, counts=counts, prompt=need.prompt
        )
        try:
            yield request
        finally:
            request.end()
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
        self._uses_by_all[service] = uses

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
            costs[worker_id] = waiting / READ_TOKENS_PER_S
            if worker.failure_domain != (need.input_domain or self._failure_domain):
                costs[worker_id] += CROSS_DOMAIN_COST_S_PER_BYTE * need.input_bytes
        return costs

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


class OpenRequest:
    """A request that is open at a worker, with the unread tokens of its prompt.

    Parameters
    ----------
    choice : WorkerChoice
        Records the prompts that workers have read.
    worker_id : str
        The worker.
    counts : OpenCounts
        Open requests at the present worker process.
    prompt : Prompt or None
        The prompt that the worker has to read.
    """

    __slots__ = ("_choice", "_counts", "_n_unread", "_prompt", "_worker_id")

    def __init__(
        self,
        *,
        choice: WorkerChoice,
        worker_id: str,
        counts: OpenCounts,
        prompt: Prompt | None,
    ) -> None:
        self._choice = choice
        self._counts = counts
        self._worker_id = worker_id
        self._prompt = prompt
        self._n_unread = 0
        if prompt is not None:
            self._n_unread = choice.unread_tokens(worker_id, prompt)
            counts.n_unread += self._n_unread

    def mark_read(self) -> None:
        """Record the prompt as read, as the first event has arrived.

        It is not recorded if the worker was removed meanwhile: a new process of the
        worker has not read what the previous one has.
        """
        if self._prompt is not None and not self._counts.is_removed:
            self._choice.record_read(self._worker_id, self._prompt)
        self.end()

    def end(self) -> None:
        """Stop counting the prompt as unread; further calls do nothing."""
        self._counts.n_unread -= self._n_unread
        self._n_unread = 0
