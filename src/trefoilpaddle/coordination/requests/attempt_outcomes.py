"""Ends attempts at a sidecar: final message, held answer and journal record."""

import time
from collections.abc import Callable

from ...protocol.const import NS_PER_S
from ...protocol.errors import Failed, NotRun, Unknown, to_failure
from ...protocol.gen.stage.ttypes import End, Load
from ...protocol.reasons import Reason
from ...state.journal import Event
from ..targets.stage_journal import StageJournal
from ..targets.target_calls import CallOutcome
from .attempts import Attempt, AttemptTable


class AttemptOutcomes:
    """Gives each attempt exactly one outcome.

    Parameters
    ----------
    table : AttemptTable
        All attempts of this sidecar.
    journal : StageJournal
        Records the decisions.
    read_load : callable
        Returns the load report that is sent with each outcome.
    """

    __slots__ = ("_journal", "_read_load", "_table")

    def __init__(
        self,
        *,
        table: AttemptTable,
        journal: StageJournal,
        read_load: Callable[[], Load],
    ) -> None:
        self._table = table
        self._journal = journal
        self._read_load = read_load

    def answered(self, attempt: Attempt, end: CallOutcome, *, service_s: float) -> None:
        """End an attempt whose answer is complete; it is held until acknowledged."""
        answer = attempt.stream.answer
        outcome = End(
            attempt_id=attempt.attempt_id,
            n_chunks=len(answer.chunks),
            n_bytes=answer.n_bytes,
            checksum=answer.checksum(),
            queued_s=attempt.queued_s(),
            service_s=service_s,
            cost_s=end.cost_s or service_s,
            n_prompt_tokens=end.n_prompt_tokens,
            n_tokens=end.n_tokens,
            n_cached_tokens=end.n_cached_tokens,
            load=self._read_load(),
        )
        self._table.end_ran(attempt, outcome, now_ns=time.monotonic_ns())
        self._journal.record(
            Event.FINISHED,
            attempt,
            service_s=service_s,
            predicted_s=attempt.start.predicted_s,
            cost_s=outcome.cost_s,
            n_bytes=answer.n_bytes,
        )

    def failed(self, attempt: Attempt, error: Failed | Unknown) -> None:
        """End an attempt that ran, or may have run, without an answer."""
        failure = to_failure(
            error, attempt_id=attempt.attempt_id, load=self._read_load()
        )
        self._table.end_ran(attempt, failure, now_ns=time.monotonic_ns())
        if error.reason is not Reason.CANCELLED:
            self._journal.record_error(Event.FINISHED, attempt, error)
            return
        self._journal.record_error(Event.CANCELLED, attempt, error)
        self._table.release(attempt.attempt_id)

    def not_run(self, attempt: Attempt, error: NotRun) -> None:
        """End an attempt that was not started and never will be."""
        failure = to_failure(
            error, attempt_id=attempt.attempt_id, load=self._read_load()
        )
        self._table.end_not_run(attempt, failure, now_ns=time.monotonic_ns())
        self._journal.record_error(_event_of(error.reason), attempt, error)


def elapsed_s(attempt: Attempt) -> float:
    """Return the seconds since the call to the target was started."""
    return (time.monotonic_ns() - attempt.started_ns) / NS_PER_S


def _event_of(reason: Reason) -> Event:
    match reason:
        case Reason.CANCELLED | Reason.BARRED:
            return Event.CANCELLED
        case Reason.DEADLINE_PASSED | Reason.CONNECTION_LOST | Reason.LEAVING:
            return Event.DROPPED
        case Reason.BROWNOUT | Reason.SHARE_EXCEEDED:
            return Event.DROPPED
        case _:
            return Event.REFUSED
