"""Limits what this gateway sends to workers that bear few requests."""

import math
import time
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.retry_times import spread_retry_s
from ...state.chain.routes import RouteTable
from ...state.chain.send_quota import (
    ColdStart,
    SendLimit,
    SentWindow,
    cold_limit,
    quota,
    stated_limit,
)
from ...state.chain.stated_limits import StatedLimits
from ...state.chain.workers import Worker, WorkerTable

NO_WORKERS: Final[frozenset[str]] = frozenset()

QUOTA_VALIDITY_S: Final = 1.0
"""Seconds for which a quota is kept; hashing all gateways costs milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownQuota:
    """A quota that was computed a short time ago.

    Parameters
    ----------
    limit : SendLimit
        The limit that was divided.
    n_requests : int
        The quota.
    until_s : float
        Monotonic time until which it is used.
    """

    limit: SendLimit
    n_requests: int
    until_s: float


class SendLimits:
    """Divides what workers bear among the gateways, without messages for it.

    A worker that has just started crashes if all gateways together send it more than it
    bears, and a worker in need names how many requests it takes from all of them. Each
    gateway has a quota for each such worker, which follows from the gateways that it
    knows. Calls of pieces have no quota of this kind, as one scheduler makes them all.

    Parameters
    ----------
    workers : WorkerTable
        The listed workers.
    stated : StatedLimits
        The limits that workers have named.
    own_id : str
        Id of this gateway.
    gateway_ids : callable
        Returns the ids of all gateways, also of those believed dead: one that is only
        disconnected still sends.
    is_settled : callable
        Returns True once the other gateways are known. Nothing is sent to limited
        workers before.
    """

    __slots__ = (
        "_cold_starts",
        "_gateway_ids",
        "_is_settled",
        "_own_id",
        "_quotas",
        "_sent",
        "_stated",
        "_workers",
    )

    def __init__(
        self,
        *,
        workers: WorkerTable,
        stated: StatedLimits,
        own_id: str,
        gateway_ids: Callable[[], Collection[str]],
        is_settled: Callable[[], bool],
    ) -> None:
        self._workers = workers
        self._stated = stated
        self._own_id = own_id
        self._gateway_ids = gateway_ids
        self._is_settled = is_settled
        self._cold_starts: Mapping[str, ColdStart] = {}
        self._sent: dict[str, SentWindow] = {}
        self._quotas: dict[str, KnownQuota] = {}

    def activate(self, table: RouteTable) -> None:
        """Use the limits of cold workers that a route table publishes."""
        self._cold_starts = {
            name: service.cold_start
            for name, service in table.services.items()
            if service.cold_start is not None
        }

    def exhausted(self, service: str) -> frozenset[str]:
        """Return the workers of a service to which nothing may be sent now."""
        if service not in self._cold_starts and not len(self._stated):
            return NO_WORKERS
        now_s = time.monotonic()
        return frozenset(
            worker.worker_id
            for worker in self._workers.listed(service)
            if self._wait_s(worker, now_s) > 0.0
        )

    def take(self, worker: Worker) -> bool:
        """Count a request that is sent now; return False if it must not be sent.

        Requests to workers without a limit are counted as well, as a worker may turn
        out to have been cold, or may name a limit in its answer.
        """
        now_s = time.monotonic()
        if self._wait_s(worker, now_s) > 0.0:
            return False
        self._window(worker).record(now_s)
        return True

    def call_wait_s(self, worker: Worker) -> float:
        """Return the seconds until a scheduler may call a worker with pieces."""
        now_s = time.monotonic()
        rate_per_s = self._stated.rate_per_s(worker, now_s)
        if rate_per_s is None:
            return 0.0
        limit = stated_limit(rate_per_s)
        return self._window(worker).free_in_s(limit.n_requests, limit.window_s, now_s)

    def calls_per_s(self, worker: Worker) -> float:
        """Return the calls of pieces per second that a worker takes."""
        rate_per_s = self._stated.rate_per_s(worker, time.monotonic())
        if rate_per_s is None:
            return math.inf
        limit = stated_limit(rate_per_s)
        return limit.n_requests / limit.window_s

    def record_call(self, worker: Worker) -> None:
        """Count a call of pieces that is sent now."""
        self._window(worker).record(time.monotonic())

    def refusal(self, service: str) -> tuple[Reason, float] | None:
        """Return why a service may get nothing now, and Retry-After in seconds.

        None if that is not due to limits. Another gateway may have a part of its quota
        left earlier. Callers that a limit refuses are told different times, as the
        worker takes them one after another.
        """
        now_s = time.monotonic()
        usable = self._workers.usable(service)
        waits_s = {worker: self._wait_s(worker, now_s) for worker in usable}
        limited = [worker for worker in usable if waits_s[worker]]
        if not limited:
            return None
        wait_s = min(waits_s[worker] for worker in limited)
        if all(self._stated.rate_per_s(worker, now_s) is None for worker in limited):
            return Reason.COLD_TARGETS, wait_s
        return Reason.LIMITED_TARGETS, spread_retry_s(wait_s)

    def _wait_s(self, worker: Worker, now_s: float) -> float:
        """Return the seconds until this gateway may send a request; 0 if it may now."""
        return max(
            (
                self._free_in_s(worker, limit, now_s)
                for limit in self._limits_of(worker, now_s)
            ),
            default=0.0,
        )

    def _limits_of(self, worker: Worker, now_s: float) -> Iterator[SendLimit]:
        start = self._cold_starts.get(worker.service)
        if start is not None and self._workers.is_cold(worker, start.duration_s, now_s):
            yield cold_limit(start)
        rate_per_s = self._stated.rate_per_s(worker, now_s)
        if rate_per_s is not None:
            yield stated_limit(rate_per_s)

    def _free_in_s(self, worker: Worker, limit: SendLimit, now_s: float) -> float:
        """Return the seconds until a limit allows a request from this gateway.

        If it allows none, that is when some gateway may send the next one.
        """
        n_allowed = self._quota(worker, limit, now_s) if self._is_settled() else 0
        if not n_allowed:
            return limit.window_s / limit.n_requests
        return self._window(worker).free_in_s(n_allowed, limit.window_s, now_s)

    def _quota(self, worker: Worker, limit: SendLimit, now_s: float) -> int:
        """Return the quota for a worker; it is recomputed from time to time."""
        known = self._quotas.get(worker.worker_id)
        if known is not None and known.limit == limit and now_s < known.until_s:
            return known.n_requests
        n_requests = quota(
            limit,
            worker.worker_id,
            own_id=self._own_id,
            gateway_ids=self._gateway_ids(),
        )
        self._quotas[worker.worker_id] = KnownQuota(
            limit=limit, n_requests=n_requests, until_s=now_s + QUOTA_VALIDITY_S
        )
        return n_requests

    def _window(self, worker: Worker) -> SentWindow:
        window = self._sent.get(worker.worker_id)
        if window is None:
            self._forget_removed()
            window = self._sent[worker.worker_id] = SentWindow()
        return window

    def _forget_removed(self) -> None:
        for worker_id in [i for i in self._sent if self._workers.get(i) is None]:
            del self._sent[worker_id]
            self._quotas.pop(worker_id, None)
