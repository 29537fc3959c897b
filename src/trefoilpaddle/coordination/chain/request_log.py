"""Journal records of the outcome of callers' requests."""

import time

from ...protocol.reasons import Reason
from ...state.chain.delivery import Delivery
from ...state.chain.requests import Answered, CallerRequest, Failed, Outcome, Refused
from ...state.chain.routes import Route, RouteTable
from ...state.journal import Decision, Event, Figure, Journal
from .planned_stop import PlannedStop


class RequestLog:
    """Records the outcome of one request in the journal.

    Parameters
    ----------
    journal : Journal
        Receives the decision.
    request : CallerRequest
        The request.
    table : RouteTable
        The route table that was active when the request arrived.
    route : Route or None
        The route that it matches; None if there is none.
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

    def record_outcome(self, outcome: Outcome, delivery: Delivery) -> None:
        """Record the outcome of the request, and the obstacles of one that failed."""
        match outcome:
            case Answered():
                self._record(
                    Event.REQUEST_ANSWERED,
                    peer=outcome.worker_id,
                    figures=(Figure(name="status", value=outcome.status),),
                )
            case Refused():
                retry_after = Figure(name="retry_after_s", value=outcome.retry_after_s)
                self._record(
                    Event.REQUEST_REFUSED,
                    reason=outcome.reason,
                    detail=outcome.detail,
                    figures=(retry_after,),
                )
            case Failed():
                self._record(
                    Event.REQUEST_FAILED,
                    reason=outcome.reason,
                    detail="; ".join(
                        filter(None, (outcome.detail, *delivery.obstacles))
                    ),
                )

    def record_undelivered(self, delivery: Delivery, stop: PlannedStop) -> None:
        """Record that no answer was delivered.

        Either the caller has left, or this process is closing its connections.
        """
        if not stop.is_closing:
            self._record(
                Event.CALLER_LEFT, detail=f"waited for {delivery.waiting_for()}"
            )
            return
        left = Figure(name="budget_s", value=stop.left_s())
        self._record(
            Event.REQUEST_CUT,
            reason=Reason.STOPPING,
            detail=f"waited for {delivery.waiting_for()}",
            figures=(left,),
        )

    def _record(
        self,
        event: Event,
        *,
        peer: str = "",
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
                peer=peer,
                reason=reason,
                detail=detail,
                figures=(Figure(name="took_s", value=took_s), *figures),
            )
        )
