"""What is logged of calls to one stage worker, and of what it reports."""

from collections import Counter
from dataclasses import dataclass

from ...protocol.reasons import Reason
from ...state.chain.target_answers import WorkerReport
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal


@dataclass(frozen=True, slots=True, kw_only=True)
class CallSummary:
    """How a call of pieces ended.

    Parameters
    ----------
    n_pieces, n_made : int
        Pieces that it carried, and results of it.
    n_waiting : int
        Pieces that waited behind it when it was sent.
    took_s : float
        How long it took.
    faults : Counter of str
        Pieces without a result, by why.
    reason : Reason
        Why nothing of it was made.
    """

    n_pieces: int
    took_s: float
    faults: Counter[str]
    n_made: int = 0
    n_waiting: int = 0
    reason: Reason = Reason.NONE


class CallLog:
    """Writes what concerns one worker to the journal.

    Parameters
    ----------
    worker : Worker
        The worker.
    journal : Journal
        Takes the decisions.
    """

    __slots__ = ("_journal", "_worker")

    def __init__(self, *, worker: Worker, journal: Journal) -> None:
        self._worker = worker
        self._journal = journal

    def call(self, note: CallSummary, *, kept_bytes: float, ratio: float) -> None:
        """Log a call, with what the worker keeps and how slow it is believed."""
        faults = " ".join(f"{fault}={n}" for fault, n in note.faults.items())
        self._journal.record(
            Decision(
                event=Event.FINISHED,
                stage=self._worker.service,
                peer=self._worker.worker_id,
                reason=note.reason,
                detail=faults,
                figures=(
                    Figure(name="kept_bytes", value=kept_bytes),
                    Figure(name="n_pieces", value=note.n_pieces),
                    Figure(name="n_made", value=note.n_made),
                    Figure(name="n_ahead", value=note.n_waiting),
                    Figure(name="service_s", value=note.took_s),
                    Figure(name="ratio", value=ratio),
                ),
            )
        )

    def report(self, report: WorkerReport | None) -> None:
        """Log what the worker says of itself; None if it did not answer."""
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
