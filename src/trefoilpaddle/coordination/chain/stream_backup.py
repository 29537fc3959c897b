"""The copy of one request's stream at a second worker, and when it is used."""

import time

from ...state.chain.routes import EngineService
from ...state.chain.stream_copies import StreamCopies, StreamCopy
from ...state.chain.workers import Worker, WorkerTable
from .job import Job
from .planned_stop import PlannedStop


class StreamBackup:
    """The copy of the stream of one request; none where streams may be resumed.

    Parameters
    ----------
    job : Job
        The request.
    workers : WorkerTable
        The listed workers.
    copies : StreamCopies or None
        Decides which streams get copies; None if none does.
    stop : PlannedStop
        After its order, no copies begin.

    Attributes
    ----------
    copy : StreamCopy or None
        The present copy.
    """

    __slots__ = ("_copies", "_first", "_job", "_stop", "_workers", "copy")

    def __init__(
        self,
        *,
        job: Job,
        workers: WorkerTable,
        copies: StreamCopies,
        stop: PlannedStop,
    ) -> None:
        self._job = job
        self._workers = workers
        self._copies = copies
        self._stop = stop
        self._first: Worker | None = None
        self.copy: StreamCopy | None = None

    def begin(
        self,
        worker: Worker,
        *,
        n_unread: int,
        is_suspect: bool,
        without: frozenset[str],
    ) -> Worker | None:
        """Return the worker that gets a copy of a run at `worker`, or None.

        Parameters
        ----------
        worker : Worker
            Worker that the request is sent to.
        n_unread : int
            Tokens of the prompt that this worker has yet to read.
        is_suspect : bool
            True if workers have crashed under the request.
        without : frozenset of str
            Workers that get no copy.
        """
        job = self._job
        service = job.worker_service()
        prompt = job.request.prompt
        if not isinstance(service, EngineService) or prompt is None:
            return None
        self._copies.record_read(service.name, n_unread)
        if (
            not job.route.is_stream
            or job.route.is_resumable
            or job.request.after_event is not None
            or is_suspect
            or self._stop.is_ordered
        ):
            return None
        self._first = worker
        self.copy = self._copies.begin(
            service,
            prompt,
            request_id=job.request.request_id,
            priority=job.priority,
            worker=worker,
            others=lambda: [
                other
                for other in self._workers.usable(
                    service.name, excluded=without | {worker.worker_id}
                )
                if not self._workers.is_suspect(other.worker_id)
            ],
        )
        return None if self.copy is None else self.copy.worker

    def target(self) -> Worker | None:
        """Return the worker where the run may go on now; None if there is none.

        The copy is lost if its worker has restarted. What two software versions write
        does not fit together.
        """
        if self.copy is None or self._first is None:
            return None
        at = self.copy.worker
        listed = self._workers.get(at.worker_id)
        if (
            listed is None
            or not listed.is_same_start(at)
            or listed.software_version != self._first.software_version
            or not self._workers.may_receive(listed)
            or time.monotonic() >= self._job.deadline_s
        ):
            return None
        return listed

    def end(self, *, has_run: bool) -> None:
        """Stop counting the copy; further calls do nothing."""
        if self.copy is not None:
            self._copies.end(self.copy, has_run=has_run)
            self.copy = None
