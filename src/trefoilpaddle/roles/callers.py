"""HTTP for callers: routes, complete and streamed answers, health, readiness."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import orjson
from absl import logging
from aiohttp import web
from result import Err, Ok, Result

from ..coordination.claims.request_usage import RequestUsage
from ..coordination.requests.request import Answer, Refusal, Request
from ..coordination.requests.request_decisions import request_decision
from ..coordination.targets.lifecycle import RequestRunner, state_of
from ..protocol.errors import NotRun, Unknown
from ..protocol.reasons import Reason
from ..state.journal import Decision, Event, Journal
from ..state.requests import Requests
from ..state.settings import CallerSettings
from .caller_input import CallerInput
from .error_body import JSON_TYPE, answer_headers, error_json, error_response
from .event_stream import EventStream

FINAL_ANSWERS_TIMEOUT_S: Final = 0.5
"""Longest time in seconds to write the final answers of interrupted requests.

These are requests that are still open at the end of a stop. Writing one answer takes a
hundredth of this time.
"""

STOPPED_DETAIL: Final = "The gateway stopped before the request had its answer."

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Callers:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    settings : CallerSettings
        The bounds on requests.
    caller_input : CallerInput
        Reads and validates requests.
    runner : RequestRunner
        Runs requests.
    requests : Requests
        The states of current and past requests.
    journal : Journal
        Records the decisions.
    generate_id : callable
        Returns a new request id.
    is_ready : callable
        Returns True while the load balancer should send requests here.
    intake_refusal : callable
        Returns why new requests are refused now, or None if they are accepted.
    is_stopping : callable
        Returns True once the stop was ordered; connections close after their answer.

    Attributes
    ----------
    answering : set of asyncio.Task
        Handlers of pipeline requests that have not yet finished.
    running : set of asyncio.Task
        Runs of requests; a run may outlive its handler.
    """

    __slots__ = (
        "_body_reads",
        "_generate_id",
        "_input",
        "_intake_refusal",
        "_is_ready",
        "_is_stopping",
        "_journal",
        "_requests",
        "_runner",
        "_settings",
        "_usages",
        "answering",
        "running",
    )

    def __init__(
        self,
        *,
        settings: CallerSettings,
        caller_input: CallerInput,
        runner: RequestRunner,
        requests: Requests,
        journal: Journal,
        generate_id: Callable[[], str],
        is_ready: Callable[[], bool],
        intake_refusal: Callable[[], NotRun | None],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._input = caller_input
        self._runner = runner
        self._requests = requests
        self._journal = journal
        self._generate_id = generate_id
        self._is_ready = is_ready
        self._intake_refusal = intake_refusal
        self._is_stopping = is_stopping
        self._body_reads: set[asyncio.Timeout] = set()
        self._usages: dict[asyncio.Task[Result[Answer, Refusal]], RequestUsage] = {}
        self.answering: set[asyncio.Task[Any]] = set()
        self.running: set[asyncio.Task[Result[Answer, Refusal]]] = set()

    def application(self) -> web.Application:
        """Return the HTTP application with all routes and bounds."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._bound],
        )
        app.on_response_prepare.append(self._close_if_stopping)
        app.router.add_post("/v1/pipelines/{pipeline}", self._pipeline)
        app.router.add_post("/v1/requests", self._new_request_id)
        app.router.add_get("/v1/requests/{request_id}", self._request_state)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        return app

    async def _close_if_stopping(
        self, http: web.Request, answer: web.StreamResponse
    ) -> None:
        """Announce the close of the connection, so that its caller goes elsewhere.

        It stays open if another request on it has been read already: closing it would
        leave that request without an answer.
        """
        if self._is_stopping() and not http.protocol._messages:
            answer.force_close()
            answer.headers["Connection"] = "close"

    @web.middleware
    async def _bound(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse requests over the header bounds; return router errors as JSON."""
        detail = self._header_fault(request)
        if detail:
            return _plain_error(431, Reason.TOO_LARGE, detail)
        try:
            return await handler(request)
        except web.HTTPException as error:
            return _plain_error(error.status, Reason.BAD_REQUEST, f"{error.reason}.")
        except Exception:
            logging.exception("answering %s failed", request.path)
            return _internal_error()

    def _header_fault(self, http: web.Request) -> str:
        n_headers = len(http.raw_headers)
        if n_headers > self._settings.max_headers:
            return f"{n_headers} headers are more than {self._settings.max_headers}."
        n_bytes = sum(len(name) + len(value) for name, value in http.raw_headers)
        if n_bytes > self._settings.max_header_bytes:
            max_bytes = self._settings.max_header_bytes
            return f"{n_bytes} bytes of headers are more than {max_bytes}."
        return ""

    async def _pipeline(self, http: web.Request) -> web.StreamResponse:
        refusal_error = self._intake_refusal()
        if refusal_error is not None:
            refusal = Refusal(error=refusal_error, stage="")
            return error_response(refusal, governing=None, request_id="")
        handler = asyncio.current_task()
        assert handler is not None
        self.answering.add(handler)
        handler.add_done_callback(self.answering.discard)
        return await self._serve(http)

    async def finish(self, *, timeout_s: float) -> int:
        """Wait for open requests; return how many are still open at the timeout.

        A request is open until its last stage has finished and its answer is written
        to the caller's connection. Requests that are still open at the timeout get a
        final answer, including those whose body is not yet read: their callers would
        otherwise see a closed connection without an outcome.

        Parameters
        ----------
        timeout_s : float
            Longest time in seconds to wait for open requests.
        """
        await self._wait_for_open(timeout_s)
        n_open = max(len(self.answering), len(self.running))
        for reading in self._body_reads:
            reading.reschedule(asyncio.get_running_loop().time())
        for task, spent in list(self._usages.items()):
            self._answer_interrupted(task, spent)
        await self._wait_for_open(FINAL_ANSWERS_TIMEOUT_S)
        return n_open

    async def _wait_for_open(self, timeout_s: float) -> None:
        deadline_s = time.monotonic() + timeout_s
        while (
            open_tasks := self.answering | self.running
        ) and time.monotonic() < deadline_s:
            await asyncio.wait(
                open_tasks, timeout=max(0.0, deadline_s - time.monotonic())
            )

    def _answer_interrupted(
        self, task: "asyncio.Task[Result[Answer, Refusal]]", spent: RequestUsage
    ) -> None:
        """Set the final answer of a request that is still open at the end of a stop."""
        error: NotRun | Unknown = NotRun(
            reason=Reason.STOPPING, step="stop", peer="", detail=STOPPED_DETAIL
        )
        if spent.has_started:
            error = Unknown(
                reason=Reason.STOPPING, step="stop", peer="", detail=STOPPED_DETAIL
            )
        spent.answer_early(
            Refusal(
                error=error,
                stage="",
                cost_s=spent.cost_s,
                is_retry_safe=not spent.has_started_once_only,
            )
        )
        if not spent.has_started_once_only:
            task.cancel()

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        match await self._read(http):
            case Err(error):
                refusal = Refusal(error=error, stage="")
                self._record_refused_input(error)
                return error_response(refusal, governing=None, request_id="")
            case Ok(request):
                if request.is_streamed:
                    return await self._streamed_answer(http, request)
                return await self._complete_answer(request)

    async def _read(self, http: web.Request) -> Result[Request, NotRun]:
        """Return the validated request, or why it is refused.

        `finish` ends the read when the time of a stop is over.
        """
        reading = asyncio.timeout(None)
        self._body_reads.add(reading)
        try:
            async with reading:
                return await self._input.read(http)
        except TimeoutError:
            return Err(
                NotRun(
                    reason=Reason.STOPPING, step="read", peer="", detail=STOPPED_DETAIL
                )
            )
        finally:
            self._body_reads.remove(reading)

    async def _complete_answer(self, request: Request) -> web.StreamResponse:
        match await self._run(request, None):
            case Err(refusal):
                return _refused(request, refusal)
            case Ok(answer):
                return _answered(request, answer)

    async def _streamed_answer(
        self, http: web.Request, request: Request
    ) -> web.StreamResponse:
        stream = EventStream(http=http, request=request)
        outcome = await self._run(request, stream.token)
        if not stream.is_open and isinstance(outcome, Err):
            return _refused(request, outcome.err_value)
        await stream.finish(outcome)
        return stream.response

    async def _run(
        self, request: Request, sink: Callable[[bytes], Awaitable[None]] | None
    ) -> Result[Answer, Refusal]:
        """Run the request in a separate task that can outlive the handler.

        aiohttp cancels the handler when the caller's connection is lost. If a stage
        that must run at most once may have started by then, the request continues to
        completion, so that a retry finds its result. Otherwise it is cancelled
        downstream.
        """
        spent = RequestUsage()
        task = asyncio.create_task(self._runner.run(request, spent=spent, sink=sink))
        self.running.add(task)
        self._usages[task] = spent
        task.add_done_callback(self._forget)
        try:
            outcomes: set[asyncio.Future[Any]] = {task, spent.early_refusal}
            await asyncio.wait(outcomes, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            self._on_caller_left(request, spent, task)
            raise
        if task.done() and not task.cancelled():
            return task.result()
        return Err(self._record_early_answer(request, spent.early_refusal.result()))

    def _forget(self, task: "asyncio.Task[Result[Answer, Refusal]]") -> None:
        self.running.discard(task)
        del self._usages[task]

    def _record_early_answer(self, request: Request, refusal: Refusal) -> Refusal:
        """Record that the caller gets its answer while the request still runs."""
        state = state_of(refusal.error)
        reason = refusal.error.reason
        self._requests.end(request.request_id, state=state, reason=reason)
        self._journal.record(
            request_decision(
                Event.REQUEST_FAILED,
                request,
                stage=refusal.stage,
                error=refusal.error,
            )
        )
        return refusal

    def _on_caller_left(
        self,
        request: Request,
        spent: RequestUsage,
        task: asyncio.Task[Result[Answer, Refusal]],
    ) -> None:
        continues = spent.has_started_once_only
        if not continues:
            task.cancel()
        self._journal.record(
            request_decision(
                Event.CALLER_LEFT,
                request,
                reason=Reason.CANCELLED,
                detail="goes on" if continues else "cancelled downstream",
            )
        )

    def _record_refused_input(self, error: NotRun) -> None:
        self._journal.record(
            Decision(
                event=Event.REQUEST_REFUSED, reason=error.reason, detail=error.detail
            )
        )

    async def _new_request_id(self, http: web.Request) -> web.StreamResponse:
        match self._input.account(http):
            case Err(error):
                refusal = Refusal(error=error, stage="")
                return error_response(refusal, governing=None, request_id="")
        return _json({"request_id": self._generate_id()})

    async def _request_state(self, http: web.Request) -> web.StreamResponse:
        match self._input.account(http):
            case Err(error):
                refusal = Refusal(error=error, stage="")
                return error_response(refusal, governing=None, request_id="")
            case Ok(account):
                pass
        request_id = http.match_info["request_id"]
        record = self._requests.get(request_id)
        # A request of another account gets the same answer as an unknown one, so
        # that ids cannot be probed.
        if record is None or record.account != account:
            detail = "Nothing is known here of this request any more."
            return _plain_error(404, Reason.RESULT_GONE, detail)
        return _json(
            {
                "request_id": request_id,
                "state": record.state.value,
                "reason": record.reason.name.lower() if record.reason else "",
                "pipeline": record.pipeline,
            }
        )

    async def _healthz(self, http: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _readyz(self, http: web.Request) -> web.StreamResponse:
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")


def _answered(request: Request, answer: Answer) -> web.Response:
    headers = answer_headers(governing=request.governing, request_id=request.request_id)
    headers["X-Reason"] = "served"
    return web.Response(
        body=orjson.dumps(answer.output), content_type=JSON_TYPE, headers=headers
    )


def _refused(request: Request, refusal: Refusal) -> web.Response:
    return error_response(
        refusal, governing=request.governing, request_id=request.request_id
    )


def _plain_error(status: int, reason: Reason, detail: str) -> web.Response:
    error = NotRun(reason=reason, step="read", peer="", detail=detail)
    body = error_json(Refusal(error=error, stage=""), governing=None, request_id="")
    return web.Response(status=status, body=body, content_type=JSON_TYPE)


def _internal_error() -> web.Response:
    """Return the answer to a request that failed by an error of this gateway."""
    error = Unknown(
        reason=Reason.INTERNAL, step="serve", peer="", detail="A fault of the gateway."
    )
    refusal = Refusal(error=error, stage="", is_retry_safe=False)
    body = error_json(refusal, governing=None, request_id="")
    return web.Response(status=500, body=body, content_type=JSON_TYPE)


def _json(value: dict[str, str]) -> web.Response:
    return web.Response(body=orjson.dumps(value), content_type=JSON_TYPE)
