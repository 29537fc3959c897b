"""Error answers to callers: status, body and headers."""

import math
from http import HTTPStatus
from typing import Final

import orjson
from aiohttp import web

from ..coordination.requests.request import Refusal
from ..protocol.errors import Failed, NotRun, StageError, Unknown, outcome_name
from ..protocol.reasons import Reason
from ..state.governing import Governing
from ..transport.http_connection import raw_answer

JSON_TYPE: Final = "application/json"

STATUS_OF_REASON: Final = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORISED: 401,
    Reason.NO_ENTRY: 403,
    Reason.UNKNOWN_PIPELINE: 404,
    Reason.IN_PROGRESS: 409,
    Reason.KEY_REUSED: 409,
    Reason.TOO_LARGE: 413,
    Reason.LIMIT_RATE: 429,
    Reason.LIMIT_CONCURRENCY: 429,
    Reason.LIMIT_TOKENS: 429,
}
"""HTTP statuses of requests that did not run; 503 for any other reason."""


def status_of(error: StageError) -> int:
    """Return the HTTP status of the answer for `error`."""
    match error:
        case NotRun():
            return STATUS_OF_REASON.get(error.reason, 503)
        case Failed():
            return 502
        case Unknown():
            return 409 if error.reason is Reason.IN_PROGRESS else 504


def error_json(
    refusal: Refusal, *, governing: Governing | None, request_id: str
) -> bytes:
    """Return the JSON error body for a refused or failed request."""
    error = refusal.error
    fields = {
        "outcome": outcome_name(error),
        "reason": error.reason.name.lower(),
        "stage": refusal.stage,
        "step": error.step,
        "peer": error.peer,
        "entry": governing.name if governing is not None else "",
        "config_revision": governing.config_revision if governing is not None else 0,
        "detail": error.detail,
        "retry_after_s": round(error.retry_after_s, 3),
        "retry_safe": refusal.is_retry_safe,
        "cost_s": refusal.cost_s,
        "request_id": request_id,
    }
    return orjson.dumps({"error": fields})


def error_response(
    refusal: Refusal, *, governing: Governing | None, request_id: str
) -> web.Response:
    """Return the HTTP answer to a refused or failed request."""
    error = refusal.error
    headers = answer_headers(governing=governing, request_id=request_id)
    headers["X-Reason"] = error.reason.name.lower()
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return web.Response(
        status=status_of(error),
        body=error_json(refusal, governing=governing, request_id=request_id),
        content_type=JSON_TYPE,
        headers=headers,
    )


def error_bytes(refusal: Refusal) -> bytes:
    """Return the complete HTTP answer to a request that was not read."""
    answer = error_response(refusal, governing=None, request_id="")
    body = error_json(refusal, governing=None, request_id="")
    return raw_answer(HTTPStatus(answer.status), answer.headers, body)


def answer_headers(*, governing: Governing | None, request_id: str) -> dict[str, str]:
    """Return the headers that are common to all answers to requests."""
    headers = {"X-Request-Id": request_id} if request_id else {}
    if governing is not None:
        headers["X-Entry"] = governing.name
        headers["X-Config-Revision"] = str(governing.config_revision)
    return headers
