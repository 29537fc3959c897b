"""Fetches an answer that its sidecar holds.

Used after a lost connection or an answer that does not match its end frame.
"""

import asyncio
from typing import Final

from ...protocol.errors import Unknown
from ...protocol.gen.stage.ttypes import Fetch
from ...protocol.reasons import Reason
from ...state.journal import Event, Figure, Journal
from . import call_errors
from .answer_receiver import AnswerReceiver
from .open_attempts import OpenAttempt
from .request_decisions import attempt_decision

RECONNECT_TIMEOUT_S: Final = 0.5
"""Longest wait for a new connection if the work may be retried elsewhere."""


async def reconnect(attempt: OpenAttempt) -> Unknown | None:
    """Wait for a new connection to the attempt's sidecar; return why there is none.

    The sidecar holds a result until it is acknowledged, so a lost connection
    loses nothing. A new incarnation holds no results of the previous one.
    """
    link = attempt.view.link
    timeout_s = RECONNECT_TIMEOUT_S if attempt.work.stage.idempotent else None
    try:
        async with asyncio.timeout(timeout_s):
            while link.peer is None:
                await link.opened.wait()
                await asyncio.sleep(0)
    except TimeoutError:
        return call_errors.unknown(
            Reason.CONNECTION_LOST,
            step="reconnect",
            peer=attempt.view.process_id,
            what="cannot be reached",
        )
    if link.peer.incarnation != attempt.incarnation:
        return call_errors.unknown(
            Reason.WRONG_INCARNATION,
            step="reconnect",
            peer=attempt.view.process_id,
            what="was restarted",
        )
    return None


def fetch(attempt: OpenAttempt, answer: AnswerReceiver, journal: Journal) -> None:
    """Request the part of the answer that has not arrived yet."""
    answer.reset_window(attempt)
    attempt.view.link.send(
        Fetch(
            attempt_id=attempt.attempt_id,
            from_seq=answer.n_chunks,
            credit_bytes=answer.window_bytes,
            incarnation=attempt.incarnation,
        )
    )
    from_seq = Figure(name="from_seq", value=answer.n_chunks)
    journal.record(attempt_decision(Event.RESULT_FETCHED, attempt, from_seq))
