"""Which worker runs a request: by what it has open, and by prompts it has read."""

import time
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from ...state.chain.requests import Prompt
from ...state.chain.routes import EngineService, PlainService, Service
from ...state.chain.workers import Worker, WorkerTable
from ...state.rendezvous import highest

MAX_PREFIXES: Final = 20_000
"""Prefixes remembered; about 4 MB, and an hour of distinct sessions at 5 a second."""

PREFIX_KEEP_S: Final = 60.0
"""Age after which a prefix is taken as evicted; engines turn over faster under load."""

FAR_TOKENS: Final = 500.0
"""Prompt tokens worth reading again to stay in one's own failure domain."""

TOKENS_OPEN: Final = 0.5
"""Weight of a token that is open at an engine against one that must be read.

Open prompts delay a new one only while they are still being read; half of them
are past that on the average.
"""

OUTPUT_WEIGHT: Final = 10.0
"""A generated token takes an engine as long as this many read ones."""

FAR_PLACES: Final = 1.0
"""Open requests at a plain worker that weigh as much as leaving the domain."""


class OpenLoad:
    """What this gateway has open at one worker."""

    __slots__ = ("n_open", "tokens_open")

    def __init__(self) -> None:
        self.n_open = 0
        self.tokens_open = 0.0


class WorkerChoice:
    """Chooses workers for requests, from what this gateway did itself.

    Parameters
    ----------
    failure_domain : str
        Where this gateway stands.
    workers : WorkerTable
        Who may get work.
    """

    __slots__ = ("_failure_domain", "_holders", "_loads", "_workers")

    def __init__(self, *, failure_domain: str, workers: WorkerTable) -> None:
        self._failure_domain = failure_domain
        self._workers = workers
        self._loads: dict[str, OpenLoad] = {}
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def choose(
        self, service: Service, prompt: Prompt | None, *, without: frozenset[str]
    ) -> Worker | None:
        """Return the worker that should have the request next, or None.

        Parameters
        ----------
        service : Service
            What the request runs on.
        prompt : Prompt or None
            Of a request for a model worker.
        without : frozenset of str
            Workers that were tried already.
        """
        workers = self._workers.usable(service.name, without=without)
        if not workers:
            return None
        if isinstance(service, EngineService) and prompt is not None:
            return self._choose_engine(workers, prompt)
        return min(workers, key=self._plain_cost)

    @contextmanager
    def open(self, worker: Worker, prompt: Prompt | None) -> Iterator[None]:
        """Count a request as open at a worker while the context lasts."""
        load = self._loads.setdefault(worker.worker_id, OpenLoad())
        tokens = _weight(prompt)
        load.n_open += 1
        load.tokens_open += tokens
        try:
            yield
        finally:
            load.n_open -= 1
            load.tokens_open -= tokens
            if not load.n_open:
                self._loads.pop(worker.worker_id, None)

    def note_read(self, worker: Worker, prompt: Prompt | None) -> None:
        """Remember that a worker has read a prompt."""
        if prompt is None:
            return
        now_s = time.monotonic()
        for prefix, _ in _prefixes(prompt):
            self._holders.setdefault(prefix, {})[worker.worker_id] = now_s
            self._holders.move_to_end(prefix)
        while len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def n_open(self, worker_id: str) -> int:
        """Return how many requests this gateway has open at a worker."""
        load = self._loads.get(worker_id)
        return 0 if load is None else load.n_open

    def _choose_engine(self, workers: list[Worker], prompt: Prompt) -> Worker:
        """Return the engine with least to read and to do before it begins.

        All gateways hash a session to the same engine, so that its prompt is
        read once in the fleet although they do not tell one another; the hash
        breaks ties of the cost and stands in where nothing is recorded.
        """
        session = prompt.parts[-2].part_id if len(prompt.parts) > 1 else ""
        home = highest(session, [w.worker_id for w in workers], n=1)[0]
        shared = sum(part.n_tokens for part in prompt.parts[:-1])
        now_s = time.monotonic()

        def cost(worker: Worker) -> float:
            held = self._held_tokens(worker.worker_id, prompt, now_s)
            if worker.worker_id == home:
                held = max(held, shared)
            load = self._loads.get(worker.worker_id)
            tokens = 0.0 if load is None else load.tokens_open
            far = worker.failure_domain != self._failure_domain
            return TOKENS_OPEN * tokens - held + (FAR_TOKENS if far else 0.0)

        return min(workers, key=cost)

    def _held_tokens(self, worker_id: str, prompt: Prompt, now_s: float) -> int:
        held = 0
        for prefix, n_tokens in _prefixes(prompt):
            at_s = self._holders.get(prefix, {}).get(worker_id)
            if at_s is None or now_s - at_s > PREFIX_KEEP_S:
                break
            held = n_tokens
        return held

    def _plain_cost(self, worker: Worker) -> float:
        is_far = worker.failure_domain != self._failure_domain
        return self.n_open(worker.worker_id) + (FAR_PLACES if is_far else 0.0)


def service_of(name: str, services: dict[str, Service]) -> Service:
    """Return what is published of a service; a plain one if nothing is."""
    return services.get(name) or PlainService(name=name)


def _weight(prompt: Prompt | None) -> float:
    if prompt is None:
        return 0.0
    return prompt.n_tokens + OUTPUT_WEIGHT * prompt.n_output_tokens


def _prefixes(prompt: Prompt) -> Iterator[tuple[str, int]]:
    """Yield each leading run of shared parts as a name and its tokens."""
    name = ""
    n_tokens = 0
    for part in prompt.parts[:-1]:
        name = f"{name}/{part.part_id}"
        n_tokens += part.n_tokens
        yield name, n_tokens
