"""Checks that a start message must pass before its attempt is admitted."""

from typing import Final

from result import Err, Ok, Result

from ...protocol.checksum import checksum
from ...protocol.const import ATTEMPT_ID_BYTES
from ...protocol.errors import NotRun, StageError, Unknown
from ...protocol.gen.stage.ttypes import Start
from ...protocol.reasons import Reason
from ...state.used_ids import UsedState
from ...transport.connection import Connection
from ..requests.attempts import Attempt, AttemptTable

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
"""Largest body of one call."""


def admit(
    start: Start,
    *,
    connection: Connection,
    incarnation: int,
    table: AttemptTable,
    now_ns: int,
    peer: str,
) -> Result[Attempt, StageError]:
    """Return the attempt that `start` requests, or why it is refused.

    All times are on this process's own monotonic clock: the gateway returns a
    timestamp that it received from this process and adds the durations that it
    measured, so the clocks of two hosts are never compared.

    Parameters
    ----------
    start : Start
        The start message.
    connection : Connection
        Connection on which the message arrived.
    incarnation : int
        This process's incarnation.
    table : AttemptTable
        Holds the ids of attempts that must never start.
    now_ns : int
        Current time on this process's monotonic clock, in nanoseconds.
    peer : str
        Id of this process, reported in errors.
    """
    refuse = _Refusal(peer=peer)
    if len(start.attempt_id) != ATTEMPT_ID_BYTES:
        return refuse(Reason.BAD_REQUEST, "the attempt id has a wrong length")
    # A message for an earlier incarnation carries a timestamp of another clock,
    # and that incarnation may already have run the attempt.
    if start.incarnation != incarnation or not 0 < start.stamp_ns <= now_ns:
        return refuse(Reason.WRONG_INCARNATION, "the stamp is not of this start")
    if start.elapsed_ns < 0:
        return refuse(Reason.BAD_REQUEST, "the elapsed span is negative")
    sent_ns = start.stamp_ns + start.elapsed_ns
    match table.spent.get(start.attempt_id):
        case UsedState.NEVER_STARTED:
            return refuse(Reason.BARRED, "the attempt was barred or refused before")
        case UsedState.RAN:
            return _result_gone(
                "the attempt has run; its answer is no longer held", peer
            )
    if table.spent.is_before_horizon(sent_ns):
        return _result_gone("the message is older than what is remembered", peer)
    if start.body_bytes > MAX_BODY_BYTES:
        return refuse(Reason.TOO_LARGE, f"a body may have {MAX_BODY_BYTES} bytes")
    deadline_ns = sent_ns + start.budget_ns
    if now_ns >= deadline_ns:
        return refuse(Reason.DEADLINE_PASSED, "it arrived after its start-by time")
    stage_budget_ns = start.stage_budget_ns or start.budget_ns
    return Ok(
        Attempt(
            start=start,
            connection=connection,
            received_ns=now_ns,
            deadline_ns=deadline_ns,
            finish_by_ns=sent_ns + min(stage_budget_ns, start.budget_ns),
            grow=table.held.grow,
        )
    )


def is_body_intact(attempt: Attempt) -> bool:
    """Return True if the body has the announced length and checksum."""
    start = attempt.start
    if len(attempt.body) != start.body_bytes:
        return False
    return checksum(attempt.body) == start.body_checksum


def _result_gone(detail: str, peer: str) -> Err[StageError]:
    error = Unknown(reason=Reason.RESULT_GONE, step="admit", peer=peer, detail=detail)
    return Err(error)


class _Refusal:
    """Builds the errors of one admission, with the id of this process."""

    __slots__ = ("_peer",)

    def __init__(self, *, peer: str) -> None:
        self._peer = peer

    def __call__(self, reason: Reason, detail: str) -> Err[StageError]:
        error = NotRun(reason=reason, step="admit", peer=self._peer, detail=detail)
        return Err(error)
