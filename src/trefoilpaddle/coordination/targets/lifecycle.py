"""One request from acceptance to its recorded outcome."""

import time
from typing import Protocol

from result import Err, Ok, Result

from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.reasons import Reason
from ...state.journal import Event, Figure, Journal
from ...state.requests import Requests, RequestState
from ..claims.request_usage import RequestUsage
from ..requests.pipeline_run import PipelineRunner
from ..requests.prediction import Predictor
from ..requests.request import Answer, Refusal, Request
from ..requests.request_decisions import request_decision
from ..requests.request_guards import KeyGuard, Limiter, PriorOutcome
from .stage_work import Sink


class RequestRunner(Protocol):
    """Runs a checked request until its outcome is known."""

    async def run(
        self, request: Request, *, spent: RequestUsage, sink: Sink | None
    ) -> Result[Answer, Refusal]:
        """Return the complete answer, or why the request got none."""
        ...


class RequestLifecycle:
    """Claims a request's key, admits it, runs its pipeline, records its outcome.

    Parameters
    ----------
    predictor : Predictor
        Refuses requests early that are predicted to be late.
    pipeline_runner : PipelineRunner
        Runs the stages of the pipeline.
    limiter : Limiter
        Applies the limits of the entries.
    keys : KeyGuard
        Ensures that requests with the same key run at most once.
    requests : Requests
        Stores the outcomes of requests.
    journal : Journal
        Records the decisions.
    """

    __slots__ = (
        "_journal",
        "_keys",
        "_limiter",
        "_pipeline_runner",
        "_predictor",
        "_requests",
    )

    def __init__(
        self,
        *,
        predictor: Predictor,
        pipeline_runner: PipelineRunner,
        limiter: Limiter,
        keys: KeyGuard,
        requests: Requests,
        journal: Journal,
    ) -> None:
        self._predictor = predictor
        self._pipeline_runner = pipeline_runner
        self._limiter = limiter
        self._keys = keys
        self._requests = requests
        self._journal = journal

    async def run(
        self, request: Request, *, spent: RequestUsage, sink: Sink | None
    ) -> Result[Answer, Refusal]:
        """Return the complete answer, or why the request got none.

        It is cancelled when the caller disconnects; the outcome is recorded even
        then.
        """
        begin_s = time.monotonic()
        match await self._keys.claim(request):
            case Err(error):
                refusal = Refusal(error=error, stage="", is_retry_safe=False)
                return self._record_joined(request, Err(refusal), first_id="")
            case Ok(PriorOutcome(request_id=first_id, outcome=prior)):
                return self._record_joined(request, prior, first_id=first_id)
        self._requests.begin(
            request_id=request.request_id,
            account=request.account,
            pipeline=request.pipeline_name,
        )
        outcome: Result[Answer, Refusal] | None = None
        try:
            outcome = await self._admit_and_run(request, spent=spent, sink=sink)
        finally:
            self._settle_key(request, outcome, spent)
        self._record_outcome(request, outcome, took_s=time.monotonic() - begin_s)
        return outcome

    async def _admit_and_run(
        self, request: Request, *, spent: RequestUsage, sink: Sink | None
    ) -> Result[Answer, Refusal]:
        early = self._predictor.refusal(request)
        if early is not None:
            return Err(Refusal(error=early, stage=""))
        match await self._limiter.admit(
            request.governing.name, request.governing.entry, request.n_tokens
        ):
            case Err(error):
                return Err(Refusal(error=error, stage=""))
            case Ok(permit):
                pass
        self._journal.record(
            request_decision(
                Event.REQUEST_ACCEPTED, request, detail=request.pipeline_name
            )
        )
        is_answered = False
        try:
            outcome = await self._pipeline_runner.run(request, spent=spent, sink=sink)
            is_answered = outcome.is_ok()
            return outcome
        finally:
            is_counted = is_answered or not spent.has_started
            permit.release(n_tokens=spent.n_tokens if is_counted else None)

    def _settle_key(
        self,
        request: Request,
        outcome: Result[Answer, Refusal] | None,
        spent: RequestUsage,
    ) -> None:
        """Settle the key; without an outcome, the caller has disconnected."""
        if outcome is None:
            self._set_state(request, RequestState.FAILED, Reason.CANCELLED)
        is_answered = outcome is not None and outcome.is_ok()
        is_run = is_answered or spent.has_started_once_only
        self._keys.settle(request, outcome, is_run=is_run)

    def _record_joined(
        self, request: Request, outcome: Result[Answer, Refusal], *, first_id: str
    ) -> Result[Answer, Refusal]:
        """Record that an earlier try decided this one's outcome, and return it."""
        self._journal.record(
            request_decision(
                Event.REQUEST_JOINED,
                request,
                error=outcome.err_value.error if isinstance(outcome, Err) else None,
                detail=f"ended as the try {first_id}" if first_id else "",
            )
        )
        return outcome

    def _record_outcome(
        self, request: Request, outcome: Result[Answer, Refusal], *, took_s: float
    ) -> None:
        took = Figure(name="took_s", value=took_s)
        slack = Figure(name="slack_s", value=request.deadline_s - time.monotonic())
        match outcome:
            case Ok(answer):
                self._set_state(request, RequestState.ANSWERED, Reason.NONE)
                cost = Figure(name="cost_s", value=answer.cost_s)
                decision = request_decision(
                    Event.REQUEST_ANSWERED,
                    request,
                    detail=request.pipeline_name,
                    figures=(took, slack, cost),
                )
            case Err(refusal):
                error = refusal.error
                self._set_state(request, state_of(error), error.reason)
                cost = Figure(name="cost_s", value=refusal.cost_s)
                wait = Figure(name="retry_after_s", value=error.retry_after_s)
                is_refused = isinstance(error, NotRun)
                decision = request_decision(
                    Event.REQUEST_REFUSED if is_refused else Event.REQUEST_FAILED,
                    request,
                    stage=refusal.stage,
                    error=error,
                    figures=(took, slack, cost, wait),
                )
        self._journal.record(decision)

    def _set_state(self, request: Request, state: RequestState, reason: Reason) -> None:
        self._requests.end(request.request_id, state=state, reason=reason)


def state_of(error: StageError) -> RequestState:
    """Return the state of a request with this error, as reported to callers."""
    match error:
        case NotRun():
            return RequestState.REFUSED
        case Failed():
            return RequestState.FAILED
        case Unknown():
            return RequestState.UNKNOWN
