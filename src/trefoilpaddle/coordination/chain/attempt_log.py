"""Journal records of the attempts of one request."""

import math
import time

from ...protocol.reasons import Reason
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal
from .job import Job
from .worker_exchange import WorkerExchange


class AttemptLog:
    """Records the attempts of one request in the journal.

    Parameters
    ----------
    journal : Journal
        Receives the decisions.
    job : Job
        The request.
    exchange : WorkerExchange
        Its exchanges with workers.
    """

    __slots__ = ("_exchange", "_job", "_journal")

    def __init__(self, *, journal: Journal, job: Job, exchange: WorkerExchange) -> None:
        self._journal = journal
        self._job = job
        self._exchange = exchange

    def record_attempt(
        self,
        event: Event,
        worker: Worker,
        *,
        n_running: int,
        list_age_s: float,
        reason: Reason = Reason.NONE,
    ) -> None:
        """Record that a worker is chosen, or that another one is after a failure.

        Parameters
        ----------
        event : Event
            ``ROUTED`` or ``RETRIED``.
        worker : Worker
            The worker that is chosen, or that has failed.
        n_running : int
            Requests of this gateway that the worker has.
        list_age_s : float
            Age of the list by which a stream begins; infinite for other requests.
        reason : Reason
            Why the worker has failed.
        """
        figures = [
            Figure(name="n_tried", value=self._exchange.n_sent),
            Figure(name="n_running", value=n_running),
            self._budget(),
        ]
        if math.isfinite(list_age_s):
            figures.append(Figure(name="list_age_s", value=list_age_s))
        self._record(event, worker, self._job.fingerprint, *figures, reason=reason)

    def record_resumption(self, worker: Worker, *, begun: str, source: str) -> None:
        """Record that a stream that `begun` has begun goes on at a worker.

        Parameters
        ----------
        worker : Worker
            The worker.
        begun : str
            Software version that began the stream.
        source : str
            Where that version is known from; empty if it was seen here.
        """
        detail = (
            f"began at {begun}, goes on at {worker.software_version};"
            f" version {source or 'seen here'}"
        )
        self._record(Event.STREAM_RESUMED, worker, detail)

    def record_move(self, worker: Worker, at: Worker) -> None:
        """Record that the run of a stream at `worker` goes on from its copy `at`."""
        self._record(
            Event.STREAM_MOVED,
            at,
            f"began at {worker.worker_id}",
            Figure(name="n_events", value=self._exchange.last_event or 0),
            Figure(name="n_tried", value=self._exchange.n_sent),
            self._budget(),
        )

    def _budget(self) -> Figure:
        return Figure(name="budget_s", value=self._job.deadline_s - time.monotonic())

    def _record(
        self,
        event: Event,
        worker: Worker,
        detail: str,
        *figures: Figure,
        reason: Reason = Reason.NONE,
    ) -> None:
        job = self._job
        self._journal.record(
            Decision(
                event=event,
                request_id=job.request.request_id,
                entry=job.route.name,
                owner=job.account.name,
                stage=job.service,
                peer=worker.worker_id,
                detail=detail,
                reason=reason,
                figures=figures,
            )
        )
