"""Which worker runs a request: by what it has open, and by prompts it has read."""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from ...state.chain.prompt_record import PromptRecord
from ...state.chain.requests import Prompt
from ...state.chain.routes import EngineService, Service
from ...state.chain.workers import Worker, WorkerTable
from ...state.rendezvous import highest

READ_TOKENS_PER_S: Final = 50_000.0
"""Prompt tokens that an engine reads in a second; published are 42,800 to 69,800.

Only the ratio to the other costs matters, and they are far apart.
"""

UNSEEN: Final = 2.0
"""Weight of the tokens that this gateway has waiting at an engine.

Others have some there as well, which it does not see.
"""

CROSS_DOMAIN_COST_S_PER_BYTE: Final = 6.5e-9
"""Seconds of reading that a byte of inputs from another failure domain weighs.

Operators pay for 1.5 MB that cross as much as for 500 tokens read again.
"""

CROSS_DOMAIN_COST_REQUESTS: Final = 1.0
"""Open requests at a plain worker that weigh as much as leaving the domain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """What a request asks of a worker.

    Parameters
    ----------
    prompt : Prompt or None
        Of a request for a model worker.
    input_bytes : float
        Expected size of the results that it takes.
    input_domain : str
        Failure domain where they lie; empty without any.
    """

    prompt: Prompt | None = None
    input_bytes: float = 0.0
    input_domain: str = ""


class OpenCounts:
    """What this gateway has open at one start of a worker.

    Attributes
    ----------
    n_open : int
        Requests.
    n_unread : int
        Tokens of their prompts that wait to be read.
    is_over : bool
        True once the worker is gone; what was open there counts no more.
    """

    __slots__ = ("is_over", "n_open", "n_unread")

    def __init__(self) -> None:
        self.n_open = 0
        self.n_unread = 0
        self.is_over = False


class WorkerChoice:
    """Chooses workers for requests, from what this gateway did itself.

    Parameters
    ----------
    failure_domain : str
        Where this gateway stands.
    workers : WorkerTable
        Who may get work.
    """

    __slots__ = ("_counts", "_failure_domain", "_record", "_workers")

    def __init__(self, *, failure_domain: str, workers: WorkerTable) -> None:
        self._failure_domain = failure_domain
        self._workers = workers
        self._counts: dict[str, OpenCounts] = {}
        self._record = PromptRecord()
        workers.leave_listeners.append(self._on_leave)

    def choose(
        self, service: Service, need: Need, *, without: frozenset[str]
    ) -> Worker | None:
        """Return the worker that should have the request next, or None.

        Parameters
        ----------
        service : Service
            What the request runs on.
        need : Need
            What it asks.
        without : frozenset of str
            Workers that were tried already.
        """
        workers = self._workers.usable(service.name, excluded=without)
        if not workers:
            return None
        if isinstance(service, EngineService) and need.prompt is not None:
            costs = self._engine_costs_s(workers, need.prompt, need)
            return min(workers, key=lambda worker: costs[worker.worker_id])
        return min(workers, key=self._plain_cost)

    @contextmanager
    def open(self, worker: Worker, need: Need) -> Iterator["OpenRequest"]:
        """Count a request as open at a worker while the context lasts."""
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
        """Return how many requests this gateway has open at a worker."""
        counts = self._counts.get(worker_id)
        return 0 if counts is None else counts.n_open

    def unread_tokens(self, worker_id: str, prompt: Prompt) -> int:
        """Return the tokens of a prompt that an engine has still to read."""
        return prompt.n_tokens - self._record.held_tokens(worker_id, prompt)

    def record_read(self, worker_id: str, prompt: Prompt) -> None:
        """Remember that an engine has read a prompt."""
        self._record.record(worker_id, prompt)

    def _engine_costs_s(
        self, workers: Sequence[Worker], prompt: Prompt, need: Need
    ) -> Mapping[str, float]:
        """Return what each engine costs, as seconds before the first event.

        All gateways hash a session to the same engine, so that its prompt is
        read once in the fleet although they do not tell one another. The hash
        counts as if the engine had read what is shared.
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
            waiting = unread + UNSEEN * n_waiting
            costs[worker_id] = waiting / READ_TOKENS_PER_S
            if worker.failure_domain != (need.input_domain or self._failure_domain):
                costs[worker_id] += CROSS_DOMAIN_COST_S_PER_BYTE * need.input_bytes
        return costs

    def _plain_cost(self, worker: Worker) -> float:
        is_far = worker.failure_domain != self._failure_domain
        return self.n_open(worker.worker_id) + (
            CROSS_DOMAIN_COST_REQUESTS if is_far else 0.0
        )

    def _on_leave(self, worker: Worker) -> None:
        if self._workers.get(worker.worker_id) is None:
            self._record.forget(worker.worker_id)
            counts = self._counts.pop(worker.worker_id, None)
            if counts is not None:
                counts.is_over = True


class OpenRequest:
    """A request that is open at a worker; its prompt waits until it is read.

    Parameters
    ----------
    choice : WorkerChoice
        Counts it.
    worker_id : str
        The worker.
    counts : OpenCounts
        Of its present start.
    prompt : Prompt or None
        What it has to read.
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
        """Count its prompt as read: the first event has come.

        What an earlier start has read, one that began since has not.
        """
        if self._prompt is not None and not self._counts.is_over:
            self._choice.record_read(self._worker_id, self._prompt)
        self.end()

    def end(self) -> None:
        """Count its prompt as waiting no more; further calls do nothing."""
        self._counts.n_unread -= self._n_unread
        self._n_unread = 0
