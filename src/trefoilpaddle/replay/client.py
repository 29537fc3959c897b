"""Sends one request over HTTP and classifies its answer from the caller's view."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import aiohttp
import orjson

from .inputs import body_of
from .results import Answer, Verdict
from .trace import Request

Judge = Callable[[int, bytes], Verdict]
"""Classifies the complete text of the answer to the request at an index."""

GRACE_FACTOR: Final = 2.0
"""A caller waits for this many deadlines before it abandons the request."""

_VERDICT_OF_OUTCOME: Final = {
    "not run": Verdict.NOT_RUN,
    "failed": Verdict.FAILED,
    "unknown": Verdict.UNKNOWN,
}


@dataclass(slots=True, kw_only=True)
class _Received:
    """The part of the answer that was received so far."""

    status: int = 0
    request_id: str = ""
    error: dict[str, Any] | None = None
    has_end: bool = False
    text: list[str] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)
    body: bytes = b""


async def send_request(
    *,
    session: aiohttp.ClientSession,
    gateway: str,
    index: int,
    request: Request,
    judge: Judge,
    key: str,
    sends_deadline: bool,
) -> Answer:
    """Send the request at `index` to `gateway` and return its answer.

    Failures of a gateway raise no exception; a lost connection gives a verdict.
    """
    received = _Received()
    headers = _headers(request, key, sends_deadline=sends_deadline)
    begin = time.monotonic()
    try:
        async with asyncio.timeout(request.deadline_s * GRACE_FACTOR):
            await _exchange(session, gateway, request, headers, received)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        pass
    latency_s = time.monotonic() - begin
    return _answer(index, request, gateway, received, begin, latency_s, judge)


async def _exchange(
    session: aiohttp.ClientSession,
    gateway: str,
    request: Request,
    headers: dict[str, str],
    received: _Received,
) -> None:
    body, content_type = body_of(request)
    headers = {**headers, "Content-Type": content_type}
    url = f"{gateway}/v1/pipelines/{request.pipeline}"
    async with session.post(url, data=body, headers=headers) as response:
        received.status = response.status
        received.request_id = response.headers.get("X-Request-Id", "")
        if response.content_type == "text/event-stream":
            await _read_events(response, received)
            return
        received.body = await response.read()
        received.has_end = True
        if response.status != 200:
            received.error = _error_of(orjson.loads(received.body))


def _headers(request: Request, key: str, *, sends_deadline: bool) -> dict[str, str]:
    headers = {
        "X-Client-Account": request.account,
        "X-Class-Of-Work": request.class_of_work,
        "X-Priority": str(request.priority),
    }
    if sends_deadline:
        headers["X-Deadline-S"] = f"{request.deadline_s:g}"
    if request.is_streamed:
        headers["Accept"] = "text/event-stream"
    if request.is_keyed:
        headers["Idempotency-Key"] = key
    return headers


async def _read_events(response: aiohttp.ClientResponse, received: _Received) -> None:
    event = ""
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event:"):
            event = line[6:].strip()
        elif line.startswith("data:"):
            _apply_event(event, line[5:].strip(), received)


def _apply_event(event: str, data: str, received: _Received) -> None:
    match event:
        case "token":
            received.token_times.append(time.monotonic())
            received.text.append(str(orjson.loads(data)["text"]))
        case "end":
            received.has_end = True
        case "error":
            received.error = _error_of(orjson.loads(data))


def _error_of(body: object) -> dict[str, Any]:
    if isinstance(body, dict) and isinstance(body.get("error"), dict):
        return dict(body["error"])
    return {"outcome": "unknown", "reason": "malformed error body"}


def _answer(
    index: int,
    request: Request,
    gateway: str,
    received: _Received,
    begin: float,
    latency_s: float,
    judge: Judge,
) -> Answer:
    error = received.error or {}
    times = received.token_times
    pairs = itertools.pairwise(times)
    return Answer(
        index=index,
        verdict=_verdict(index, request, received, latency_s, judge),
        status=received.status,
        request_id=received.request_id or str(error.get("request_id", "")),
        gateway=gateway,
        reason=str(error.get("reason", "")),
        stage=str(error.get("stage", "")),
        latency_s=latency_s,
        first_token_s=times[0] - begin if times else float("nan"),
        gaps_s=tuple(after - before for before, after in pairs),
        retry_after_s=float(error.get("retry_after_s") or 0.0),
    )


def _verdict(
    index: int, request: Request, received: _Received, latency_s: float, judge: Judge
) -> Verdict:
    if received.error is not None:
        return _VERDICT_OF_OUTCOME.get(
            str(received.error.get("outcome")), Verdict.UNKNOWN
        )
    if received.status == 0:
        return Verdict.NO_ANSWER
    if not received.has_end:
        return Verdict.TRUNCATED
    content = received.body or "".join(received.text).encode()
    verdict = judge(index, content)
    if verdict is not Verdict.IN_TIME:
        return verdict
    is_late = latency_s > request.deadline_s
    return Verdict.LATE if is_late else Verdict.IN_TIME
