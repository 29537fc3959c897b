"""Records what workers state about themselves in their answers."""

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from ...state.chain.stated_limits import StatedLimit, StatedLimits
from ...state.chain.worker_statements import StatedLoad, WorkerStatement
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Decision, Event, Figure, Journal

REPEAT_NEWS_S: Final = 5.0
"""Seconds after which other gateways are told again of a limit that still holds.

A third of the time after which they would doubt it.
"""


MAX_UNLISTED: Final = 1024
"""Workers that are not listed whose limits are kept, in case they are listed later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnlistedLimit:
    """What a peer told of a worker that is not listed here yet.

    Parameters
    ----------
    born_ms : int
        Unix time of its start in milliseconds.
    rate_per_s : float
        Requests per second that it takes from all gateways; 0 for any number.
    heard_s : float
        Monotonic time of the answer that stated it.
    """

    born_ms: int
    rate_per_s: float
    heard_s: float


class WorkerNeeds:
    """What the listed workers have stated about themselves.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers. What an earlier start of a worker has stated is void.
    journal : Journal
        Receives one decision for each change.

    Attributes
    ----------
    limits : StatedLimits
        The limits that workers have named.
    on_news : callable
        Called with limits of which other gateways should know.
    on_load : callable
        Called with each listed worker that states its load, and the load.
    """

    __slots__ = ("_journal", "_unlisted", "_workers", "limits", "on_load", "on_news")

    def __init__(self, *, workers: WorkerTable, journal: Journal) -> None:
        self._workers = workers
        self._journal = journal
        self.limits = StatedLimits()
        self.on_news: Callable[[StatedLimit], None] = _ignore
        self.on_load: Callable[[Worker, StatedLoad], None] = _ignore_load
        self._unlisted: OrderedDict[str, UnlistedLimit] = OrderedDict()
        workers.new_listeners.append(self._on_new)

    def learn(self, worker: Worker, statement: WorkerStatement) -> None:
        """Record what an answer of a worker states.

        What an earlier start states is ignored, and of a worker that is not listed only
        that it leaves counts: its entry may come back.
        """
        if statement.is_leaving and self._workers.mark_leaving(worker):
            self._record(Event.TARGET_LEAVES, worker, "stated in an answer", {})
        if not worker.is_same_start(self._workers.get(worker.worker_id)):
            return
        if statement.rest_s and self._workers.rest(worker, statement.rest_s):
            figures = {"rest_s": statement.rest_s}
            self._record(Event.TARGET_RESTS, worker, "asked for in an answer", figures)
        if statement.load is not None:
            self.on_load(worker, statement.load)
        now_s = time.monotonic()
        if statement.limit_per_s is not None:
            self._name_limit(worker, statement.limit_per_s, now_s, "named in an answer")
        elif statement.answers_request:
            self._end_limit(worker, now_s, "not named any more")

    def learn_from_peer(
        self, worker_id: str, born_ms: int, *, rate_per_s: float, heard_s: float
    ) -> None:
        """Record what an answer to another gateway states about a worker's limit.

        Parameters
        ----------
        worker_id : str
            Id of the worker.
        born_ms : int
            Unix time of its start in milliseconds.
        rate_per_s : float
            Requests per second that it takes from all gateways; 0 for any number.
        heard_s : float
            Monotonic time of the answer.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            self._keep_unlisted(worker_id, born_ms, rate_per_s, heard_s)
            return
        if worker.born_ms != born_ms:
            return
        if rate_per_s > 0.0:
            self._name_limit(worker, rate_per_s, heard_s, "named to another gateway")
        else:
            self._end_limit(worker, heard_s, "not named to another gateway any more")

    def _keep_unlisted(
        self, worker_id: str, born_ms: int, rate_per_s: float, heard_s: float
    ) -> None:
        """Keep a limit for when its worker is listed: peers may know it earlier."""
        known = self._unlisted.get(worker_id)
        if known is not None and known.heard_s >= heard_s:
            return
        self._unlisted[worker_id] = UnlistedLimit(
            born_ms=born_ms, rate_per_s=rate_per_s, heard_s=heard_s
        )
        self._unlisted.move_to_end(worker_id)
        while len(self._unlisted) > MAX_UNLISTED:
            self._unlisted.popitem(last=False)

    def _on_new(self, worker: Worker) -> None:
        known = self._unlisted.pop(worker.worker_id, None)
        if known is not None:
            self.learn_from_peer(
                worker.worker_id,
                known.born_ms,
                rate_per_s=known.rate_per_s,
                heard_s=known.heard_s,
            )

    def _name_limit(
        self, worker: Worker, rate_per_s: float, heard_s: float, detail: str
    ) -> None:
        is_change = self.limits.name(worker, rate_per_s, heard_s)
        if is_change:
            figures = {"rate_per_s": rate_per_s}
            self._record(Event.TARGET_LIMIT, worker, detail, figures)
        limit = self.limits.get(worker)
        if limit is not None and (
            is_change or limit.last_s - limit.told_s >= REPEAT_NEWS_S
        ):
            self._tell(limit)

    def _end_limit(self, worker: Worker, heard_s: float, detail: str) -> None:
        ended = self.limits.end(worker, heard_s)
        if ended is not None:
            figures = {"age_s": heard_s - ended.heard_s}
            self._record(Event.TARGET_LIMIT, worker, detail, figures)
            self._tell(ended)

    def _tell(self, limit: StatedLimit) -> None:
        self.limits.mark_told(limit)
        self.on_news(limit)

    def _record(
        self, event: Event, worker: Worker, detail: str, figures: Mapping[str, float]
    ) -> None:
        self._journal.record(
            Decision(
                event=event,
                stage=worker.service,
                peer=worker.worker_id,
                detail=detail,
                figures=tuple(
                    Figure(name=name, value=value) for name, value in figures.items()
                ),
            )
        )


def _ignore(limit: StatedLimit) -> None:
    pass


def _ignore_load(worker: Worker, load: StatedLoad) -> None:
    pass
