"""Decides which streams get a copy of their run at a second worker, and where.

Sizes are counted in tokens, as the size of a token in memory is not published.
"""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from ..rendezvous import highest
from .requests import Prompt
from .routes import EngineService
from .workers import Worker

MIN_OUTPUT_TOKENS: Final = 64
"""Streams with a lower output limit get no copy.

A copy grows several times per second, so the copy of a shorter answer is of use for a
small part of its time only.
"""

COPY_RATIO: Final = 0.02
"""Tokens that may be copied for each prompt token that the service reads.

Operators pay as much for copying one token as for reading about 22, so that this adds
less than half to the price of reading.
"""

SLACK_TOKENS_PER_S: Final = 200.0
"""Tokens per second that all gateways together may copy in addition to the ratio.

Without it, a service with little traffic would have no copies.
"""

MAX_CREDIT_S: Final = 20.0
"""Largest credit, in seconds of the slack; it bounds what is copied in a burst."""

CROSS_DOMAIN_FACTOR: Final = 2.0
"""Price of sending to another failure domain, relative to the worker's own."""

RESERVE_STEP: Final = 0.25
"""Part of the largest credit that is kept from streams of the next lower value."""

MAX_RESERVED_PRIORITY: Final = 3
"""Priorities above this one count like it, so that they get what nobody else uses."""

MEMORY_SHARE: Final = 0.25
"""Part of an engine's capacity that copies of this gateway may hold there.

The rest is left for the requests that the engine runs itself.
"""

MEAN_WEIGHT: Final = 0.05
"""Weight of the latest stream in the mean output limit; about the last 20 count."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamCopy:
    """A copy of the run of one stream.

    Parameters
    ----------
    service : str
        Service of the stream.
    worker : Worker
        Worker that holds the copy.
    n_tokens : int
        Largest size of the copy in tokens.
    cost_tokens : float
        What was charged to the credit of the service.
    """

    service: str
    worker: Worker
    n_tokens: int
    cost_tokens: float


class CopyCredit:
    """Tokens that may be copied for one service.

    Parameters
    ----------
    max_tokens : float
        Largest credit, which is also the credit at the beginning.
    now_s : float
        Monotonic time.

    Attributes
    ----------
    tokens : float
        Present credit; below 0 while the last stream is paid off.
    mean_output : float
        Mean output limit of the recent streams in tokens; 0 before the first.
    """

    __slots__ = ("_grown_s", "mean_output", "tokens")

    def __init__(self, *, max_tokens: float, now_s: float) -> None:
        self._grown_s = now_s
        self.tokens = max_tokens
        self.mean_output = 0.0

    def grow(self, *, tokens_per_s: float, max_tokens: float, now_s: float) -> None:
        """Add what has accrued since the last call."""
        accrued = tokens_per_s * max(0.0, now_s - self._grown_s)
        self._grown_s = max(self._grown_s, now_s)
        self.tokens = min(max_tokens, self.tokens + accrued)

    def learn_output(self, n_tokens: int) -> None:
        """Count the output limit of one stream in the mean."""
        if not self.mean_output:
            self.mean_output = float(n_tokens)
        self.mean_output += MEAN_WEIGHT * (n_tokens - self.mean_output)


class StreamCopies:
    """The copies of all streams of one gateway.

    Parameters
    ----------
    n_gateways : callable
        Returns the number of gateways among which the slack is divided.
    n_open : callable
        Returns the number of open requests of this gateway at a worker, by its id.

    Attributes
    ----------
    n_begun : int
        Number of copies that were asked for so far.
    n_tokens_begun : int
        Largest size of all of these in tokens.
    """

    __slots__ = (
        "_credits",
        "_held_tokens",
        "_n_copies",
        "_n_gateways",
        "_n_open",
        "n_begun",
        "n_tokens_begun",
    )

    def __init__(
        self, *, n_gateways: Callable[[], int], n_open: Callable[[str], int]
    ) -> None:
        self._n_gateways = n_gateways
        self._n_open = n_open
        self._credits: dict[str, CopyCredit] = {}
        self._held_tokens: Counter[str] = Counter()
        self._n_copies: Counter[str] = Counter()
        self.n_begun = 0
        self.n_tokens_begun = 0

    def record_read(self, service: str, n_tokens: int) -> None:
        """Record that workers of a service read `n_tokens` of a prompt."""
        credit = self._credit(service)
        credit.tokens = min(self._max_tokens(), credit.tokens + COPY_RATIO * n_tokens)

    def begin(
        self,
        service: EngineService,
        prompt: Prompt,
        *,
        request_id: str,
        priority: int,
        worker: Worker,
        others: Callable[[], Sequence[Worker]],
    ) -> StreamCopy | None:
        """Return the copy that a stream gets, charged to the credit; None for none.

        Parameters
        ----------
        service : EngineService
            Service of the stream.
        prompt : Prompt
            Its prompt and output limit.
        request_id : str
            Id of the run; it spreads copies over equal workers.
        priority : int
            Priority of the request, 0 first.
        worker : Worker
            Worker that runs the stream.
        others : callable
            Returns the workers of the service that may receive a copy.
        """
        credit = self._credit(service.name)
        is_short = prompt.n_output_tokens < credit.mean_output
        credit.learn_output(prompt.n_output_tokens)
        if prompt.n_output_tokens < MIN_OUTPUT_TOKENS:
            return None
        n_steps = min(priority, MAX_RESERVED_PRIORITY) + is_short
        reserve = min(1.0, RESERVE_STEP * n_steps) * self._max_tokens()
        if credit.tokens <= 0.0 or credit.tokens < reserve:
            return None
        n_tokens = prompt.n_tokens + prompt.n_output_tokens
        at = self._choose(service, n_tokens, request_id, worker, others())
        if at is None:
            return None
        is_own_domain = at.failure_domain == worker.failure_domain
        copy = StreamCopy(
            service=service.name,
            worker=at,
            n_tokens=n_tokens,
            cost_tokens=n_tokens * (1.0 if is_own_domain else CROSS_DOMAIN_FACTOR),
        )
        credit.tokens -= copy.cost_tokens
        self._held_tokens[at.worker_id] += n_tokens
        self._n_copies[at.worker_id] += 1
        self.n_begun += 1
        self.n_tokens_begun += n_tokens
        return copy

    def end(self, copy: StreamCopy, *, has_run: bool) -> None:
        """Stop counting a copy; what it cost is given back if nothing has run."""
        worker_id = copy.worker.worker_id
        self._held_tokens[worker_id] -= copy.n_tokens
        self._n_copies[worker_id] -= 1
        if not self._n_copies[worker_id]:
            del self._held_tokens[worker_id], self._n_copies[worker_id]
        if not has_run:
            credit = self._credit(copy.service)
            credit.tokens = min(self._max_tokens(), credit.tokens + copy.cost_tokens)
            self.n_begun -= 1
            self.n_tokens_begun -= copy.n_tokens

    def _choose(
        self,
        service: EngineService,
        n_tokens: int,
        request_id: str,
        worker: Worker,
        others: Sequence[Worker],
    ) -> Worker | None:
        """Return the worker that gets a copy, or None if there is no suitable one."""
        room = MEMORY_SHARE * service.cache_tokens
        fitting = [
            other
            for other in others
            if other.worker_id != worker.worker_id
            and other.service == worker.service
            and other.software_version == worker.software_version
            and self._held_tokens[other.worker_id] + n_tokens <= room
        ]
        near = [
            each for each in fitting if each.failure_domain == worker.failure_domain
        ]
        by_id = {each.worker_id: each for each in near or fitting}
        if not by_id:
            return None
        load = {i: self._n_open(i) + self._n_copies[i] for i in by_id}
        least = min(load.values())
        ids = [worker_id for worker_id in by_id if load[worker_id] == least]
        return by_id[highest(request_id, ids, n=1)[0]]

    def _max_tokens(self) -> float:
        return MAX_CREDIT_S * self._tokens_per_s()

    def _tokens_per_s(self) -> float:
        return SLACK_TOKENS_PER_S / max(1, self._n_gateways())

    def _credit(self, service: str) -> CopyCredit:
        """Return the credit of a service, with what has accrued until now."""
        now_s = time.monotonic()
        max_tokens = self._max_tokens()
        credit = self._credits.get(service)
        if credit is None:
            credit = CopyCredit(max_tokens=max_tokens, now_s=now_s)
            self._credits[service] = credit
        credit.grow(
            tokens_per_s=self._tokens_per_s(), max_tokens=max_tokens, now_s=now_s
        )
        return credit
