"""Journal records of calls to one stage worker and of its reports."""

from collections import Counter
from dataclasses import dataclass

from ...protocol.reasons import Reason
from ...state.chain.target_answers import WorkerReport
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal


@dataclass(frozen=True, slots=True, kw_only=True)
class CallSummary:
    """The outcome of a call of pieces.

    Parameters
    ----------
    n_pieces, n_made : int
        Pieces in the call, and pieces with a result.
    n_waiting : int
        Pieces that were left in the queue when the call was sent.
    took_s : float
        Duration of the call in seconds.
    faults : Counter of str
        Number of pieces without a result, by fault.
    reason : Reason
        Why the whole call failed.
    """

    n_pieces: int
    took_s: float
    faults: Counter[str]
    n_made: int = 0
    n_waiting: int = 0
    reason: Reason = Reason.NONE


class CallLog:
    """Records calls to one worker in the journal.

    Parameters
    ----------
    worker : Worker
        The worker.
    journal : Journal
        Receives the decisions.
    """

    __slots__ = ("_journal", "_worker")

    def __init__(self, *, worker: Worker, journal: Journal) -> None:
        self._worker = worker
        self._journal = journal

    def record_call(
        self, summary: CallSummary, *, kept_bytes: float, ratio: float
    ) -> None:
        """Record a call.

        Parameters
        ----------
        summary : CallSummary
            The outcome of the call.
        kept_bytes : float
            Bytes of results that the worker is estimated to hold.
        ratio : float
            Estimated ratio of the worker's call times to the published ones.
        """
        faults = " ".join(f"{fault}={n}" for fault, n in summary.faults.items())
        self._journal.record(
            Decision(
                event=Event.FINISHED,
                stage=self._worker.service,
                peer=self._worker.worker_id,
                reason=summary.reason,
                detail=faults,
                figures=(
                    Figure(name="kept_bytes", value=kept_bytes),
                    Figure(name="n_pieces", value=summary.n_pieces),
                    Figure(name="n_made", value=summary.n_made),
                    Figure(name="n_ahead", value=summary.n_waiting),
                    Figure(name="service_s", value=summary.took_s),
                    Figure(name="ratio", value=ratio),
                ),
            )
        )

    def record_report(self, report: WorkerReport | None) -> None:
        """Record a worker's status report; None if it did not answer."""
        figures: tuple[Figure, ...] = ()
        if report is not None:
            figures = (
                Figure(name="least_free_bytes", value=report.least_free_bytes),
                Figure(name="n_ahead", value=report.n_queued),
                Figure(name="n_running", value=int(report.is_busy)),
            )
        self._journal.record(
            Decision(
                event=Event.TARGET_ASKED,
                stage=self._worker.service,
                peer=self._worker.worker_id,
                reason=Reason.NONE if report else Reason.TARGET_TIMEOUT,
                figures=figures,
            )
        )
