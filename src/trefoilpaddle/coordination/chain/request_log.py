"""What is logged of how a caller's request ended."""

import time

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery
from ...state.chain.requests import Answered, CallerRequest, Failed, Outcome, Refused
from ...state.chain.routes import Route, RouteTable
from ...state.journal import Decision, Event, Figure, Journal
from .planned_stop import PlannedStop


class RequestLog:
    """Writes the end of one request to the journal.

    Parameters
    ----------
    journal : Journal
        Takes the decision.
    request : CallerRequest
        The request.
    table : RouteTable
        What was in force when it came.
    route : Route or None
        How it is handled; None if nothing is published for it.
    """

    __slots__ = ("_journal", "_request", "_route", "_table")

    def __init__(
        self,
        *,
        journal: Journal,
        request: CallerRequest,
        table: RouteTable,
        route: Route | None,
    ) -> None:
        self._journal = journal
        self._request = request
        self._table = table
        self._route = route

    def record_outcome(self, outcome: Outcome) -> None:
        """Log how the request ended."""
        match outcome:
            case Answered():
                self._note(Event.REQUEST_ANSWERED)
            case Refused():
                retry_after = Figure(name="retry_after_s", value=outcome.retry_after_s)
                self._note(
                    Event.REQUEST_REFUSED,
                    reason=outcome.reason,
                    figures=(retry_after,),
                )
            case Failed():
                self._note(Event.REQUEST_FAILED, reason=outcome.reason)

    def record_undelivered(self, delivery: Delivery, stop: PlannedStop) -> None:
        """Log that nobody takes the answer: the caller left, or this process goes."""
        if not stop.is_closing:
            self._note(Event.CALLER_LEFT)
            return
        left = Figure(name="budget_s", value=stop.left_s())
        self._note(
            Event.REQUEST_CUT,
            reason=Reason.STOPPING,
            detail=f"waited for {delivery.waiting_for()}",
            figures=(left,),
        )

    def _note(
        self,
        event: Event,
        *,
        reason: Reason = Reason.NONE,
        detail: str = "",
        figures: tuple[Figure, ...] = (),
    ) -> None:
        took_s = time.monotonic() - self._request.received_s
        self._journal.record(
            Decision(
                event=event,
                request_id=self._request.request_id,
                entry="" if self._route is None else self._route.name,
                config_revision=self._table.version,
                reason=reason,
                detail=detail,
                figures=(Figure(name="took_s", value=took_s), *figures),
            )
        )
