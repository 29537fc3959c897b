"""Handles messages from gateways about attempts at this sidecar's target."""

import time
from typing import Final

from absl import logging
from result import Err, Ok

from ...protocol.errors import NotRun, StageError, Unknown, to_failure
from ...protocol.frames import Message
from ...protocol.gen.stage.ttypes import (
    Ack,
    Bar,
    BarAnswer,
    BarState,
    BodyChunk,
    Cancel,
    Credit,
    Fetch,
    Go,
    Hello,
    Start,
)
from ...protocol.reasons import Reason
from ...state.journal import Event
from ...state.published import Published
from ...state.work_queue import Work
from ...transport.connection import Connection
from ..limits.admission import admit, is_body_intact
from ..requests.attempts import Attempt, AttemptTable, Phase
from .dispatcher import Dispatcher
from .stage_journal import StageJournal
from .target_calls import DOWN_RETRY_S

MAX_WAITING_BODY_BYTES: Final = 64 * 1024 * 1024
"""Largest total size of the bodies of attempts that have not ended."""


class StageServer:
    """The sidecar's side of the data plane.

    Parameters
    ----------
    name : str
        The target's name, for errors.
    incarnation : int
        Incarnation of this process.
    table : AttemptTable
        All attempts of this sidecar.
    dispatcher : Dispatcher
        Queues and starts the attempts.
    published : Published
        Catalogue with the weights and floor shares of entries.
    journal : StageJournal
        Records the decisions.
    """

    __slots__ = (
        "_dispatcher",
        "_incarnation",
        "_journal",
        "_name",
        "_published",
        "_table",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        table: AttemptTable,
        dispatcher: Dispatcher,
        published: Published,
        journal: StageJournal,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._table = table
        self._dispatcher = dispatcher
        self._published = published
        self._journal = journal

    def on_message(self, connection: Connection, message: Message) -> None:
        """Handle one message that expects no reply."""
        match message:
            case Start():
                self._on_start(connection, message)
            case BodyChunk():
                self._on_body(message)
            case Credit():
                self._on_credit(message)
            case Ack():
                self._table.release(message.attempt_id)
            case Fetch():
                self._on_fetch(connection, message)
            case Cancel():
                self._on_cancel(message)
            case Go():
                self._on_go(message)
            case Bar():
                connection.write(self._bar(message))

    def on_close(self, connection: Connection) -> None:
        """Withdraw incomplete attempts of a lost connection; hold the other answers."""
        for attempt in self._table.of_connection(connection):
            if attempt.phase is Phase.RECEIVING:
                self._dispatcher.withdraw(attempt, Reason.CONNECTION_LOST)
            attempt.stream.detach()

    async def answer_bar(self, message: Bar, _peer: Hello) -> BarAnswer:
        """Bar an attempt if it has not started, and report its state."""
        return self._bar(message)

    def _on_start(self, connection: Connection, start: Start) -> None:
        known = self._table.get(start.attempt_id)
        if known is not None:
            self._attach_resent(known, connection, start)
            return
        now_ns = time.monotonic_ns()
        admitted = admit(
            start,
            connection=connection,
            incarnation=self._incarnation,
            table=self._table,
            now_ns=now_ns,
            peer=self._name,
        )
        match admitted:
            case Err(error):
                self._refuse(connection, start, error)
            case Ok(attempt):
                self._accept(connection, attempt)

    def _attach_resent(
        self, known: Attempt, connection: Connection, start: Start
    ) -> None:
        """Send the answer of an attempt whose start message was sent again."""
        if known.stream.connection is connection:
            return
        known.stream.attach(connection, from_seq=0, credit_bytes=start.credit_bytes)

    def _accept(self, connection: Connection, attempt: Attempt) -> None:
        refusal = self._refusal_of_new(attempt)
        if refusal is not None:
            self._refuse(connection, attempt.start, refusal)
            return
        self._table.add(attempt)
        if attempt.has_body():
            self._on_complete_body(attempt)
        else:
            self._dispatcher.expire_at_deadline(attempt)

    def _refusal_of_new(self, attempt: Attempt) -> NotRun | None:
        reason = self._dispatcher.intake.refusal()
        if reason is not Reason.NONE:
            wait_s = DOWN_RETRY_S if reason is not Reason.LEAVING else 0.0
            return self._not_run(
                reason, "no new work is taken here now", retry_after_s=wait_s
            )
        size_bytes = attempt.start.body_bytes
        if self._table.body_bytes + size_bytes > MAX_WAITING_BODY_BYTES:
            return self._not_run(
                Reason.QUEUE_FULL,
                "too many bytes of bodies wait here",
                retry_after_s=self._dispatcher.predicted_wait_s(),
            )
        return None

    def _on_body(self, message: BodyChunk) -> None:
        attempt = self._table.get(message.attempt_id)
        if attempt is None or attempt.phase is not Phase.RECEIVING:
            return
        if message.seq != len(attempt.body_chunks):
            self._dispatcher.withdraw(attempt, Reason.CORRUPT)
            return
        attempt.add_body_chunk(message.data)
        if attempt.has_body():
            self._on_complete_body(attempt)

    def _on_complete_body(self, attempt: Attempt) -> None:
        if not is_body_intact(attempt):
            self._dispatcher.withdraw(attempt, Reason.CORRUPT)
            return
        self._dispatcher.submit(attempt, self._work(attempt))

    def _work(self, attempt: Attempt) -> Work:
        start = attempt.start
        entry = self._published.catalogue.entries.get(start.entry)
        predicted_s = max(0.0, start.predicted_s)
        return Work(
            attempt_id=start.attempt_id,
            owner=start.owner,
            entry=start.entry,
            weight=entry.weight if entry else start.weight or 1.0,
            floor_share=entry.floor_share if entry else 0.0,
            brownout_order=start.brownout_order,
            predicted_s=predicted_s,
            latest_start_ns=self._dispatcher.latest_start_ns(attempt),
        )

    def _on_credit(self, message: Credit) -> None:
        attempt = self._table.get(message.attempt_id)
        if attempt is not None:
            attempt.stream.add_credit(message.n_bytes)

    def _on_fetch(self, connection: Connection, message: Fetch) -> None:
        attempt = self._table.get(message.attempt_id)
        if attempt is not None:
            attempt.stream.attach(
                connection,
                from_seq=message.from_seq,
                credit_bytes=message.credit_bytes,
            )
            return
        connection.write(
            to_failure(
                self._missing_attempt_error(message),
                attempt_id=message.attempt_id,
                load=self._dispatcher.load(),
            )
        )

    def _missing_attempt_error(self, message: Fetch) -> StageError:
        """Return the error for an attempt that is neither open nor held.

        If its start message never arrived, the attempt is barred, as by `Bar`.
        """
        if self._is_other_incarnation(message.incarnation):
            return Unknown(
                reason=Reason.WRONG_INCARNATION,
                step="fetch",
                peer=self._name,
                detail="the sidecar was restarted and knows nothing of the attempt",
            )
        state = self._table.bar_unknown(message.attempt_id, now_ns=time.monotonic_ns())
        if state == BarState.BARRED:
            return self._not_run(Reason.BARRED, "it did not start here and never will")
        return Unknown(
            reason=Reason.RESULT_GONE,
            step="fetch",
            peer=self._name,
            detail="the answer is no longer held here",
        )

    def _on_cancel(self, message: Cancel) -> None:
        attempt = self._table.get(message.attempt_id)
        if attempt is not None:
            self._dispatcher.cancel(attempt)
            return
        # The start message may still arrive on another connection.
        self._table.bar_unknown(message.attempt_id, now_ns=time.monotonic_ns())

    def _on_go(self, message: Go) -> None:
        attempt = self._table.get(message.attempt_id)
        if attempt is None or attempt.go is None or attempt.go.done():
            return
        attempt.go.set_result(None)

    def _is_other_incarnation(self, incarnation: int) -> bool:
        """Return True if a message is about another incarnation of this sidecar.

        What that incarnation ran is not known here, so nothing can be promised.
        """
        return incarnation not in (0, self._incarnation)

    def _bar(self, message: Bar) -> BarAnswer:
        attempt_id = message.attempt_id
        attempt = self._table.get(attempt_id)
        if self._is_other_incarnation(message.incarnation):
            state = BarState.FORGOTTEN
        elif attempt is None:
            state = self._table.bar_unknown(attempt_id, now_ns=time.monotonic_ns())
        elif self._dispatcher.withdraw(attempt, self._bar_reason()):
            state = BarState.BARRED
        elif attempt.phase is Phase.DONE:
            state = BarState.DONE
        else:
            state = BarState.RUNNING
        return BarAnswer(attempt_id=attempt_id, state=state)

    def _bar_reason(self) -> Reason:
        """Return the reason recorded for barring an attempt.

        It is the leaving of this sidecar, if it leaves, or else the bar itself.
        """
        is_leaving = self._dispatcher.intake.is_leaving
        return Reason.LEAVING if is_leaving else Reason.BARRED

    def _refuse(self, connection: Connection, start: Start, error: StageError) -> None:
        self._table.mark_refused(start.attempt_id, now_ns=time.monotonic_ns())
        self._journal.record_refusal(Event.REFUSED, start, error)
        is_open = connection.write(
            to_failure(error, attempt_id=start.attempt_id, load=self._dispatcher.load())
        )
        if not is_open:
            logging.debug(
                "connection closed before attempt %s could be refused",
                start.attempt_id.hex(),
            )

    def _not_run(
        self, reason: Reason, detail: str, *, retry_after_s: float = 0.0
    ) -> NotRun:
        return NotRun(
            reason=reason,
            step="admit",
            peer=self._name,
            detail=detail,
            retry_after_s=retry_after_s,
        )
