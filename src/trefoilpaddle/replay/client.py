"""One request over HTTP, judged as its caller would judge it."""

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
"""Tells whether an answer's whole text belongs to the request at an index."""

GRACE_FACTOR: Final = 2.0
"""A caller waits this many deadlines for a late answer before it gives up."""

_NOT_FULL: Final = {
    "not run": Verdict.NOT_RUN,
    "failed": Verdict.FAILED,
    "unknown": Verdict.UNKNOWN,
}


@dataclass(slots=True, kw_only=True)
class _Heard:
    """What came back so far."""

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
    """Send request number `index` to `gateway` and return what came of it.

    Never raises for what a gateway does; a lost connection is a verdict.
    """
    heard = _Heard()
    headers = _headers(request, key, sends_deadline=sends_deadline)
    begin = time.monotonic()
    try:
        async with asyncio.timeout(request.deadline_s * GRACE_FACTOR):
            await _exchange(session, gateway, request, headers, heard)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        pass
    latency_s = time.monotonic() - begin
    return _answer(index, request, gateway, heard, begin, latency_s, judge)


async def _exchange(
    session: aiohttp.ClientSession,
    gateway: str,
    request: Request,
    headers: dict[str, str],
    heard: _Heard,
) -> None:
    body, content_type = body_of(request)
    headers = {**headers, "Content-Type": content_type}
    url = f"{gateway}/v1/pipelines/{request.pipeline}"
    async with session.post(url, data=body, headers=headers) as response:
        heard.status = response.status
        heard.request_id = response.headers.get("X-Request-Id", "")
        if response.content_type == "text/event-stream":
            await _read_events(response, heard)
            return
        heard.body = await response.read()
        heard.has_end = True
        if response.status != 200:
            heard.error = _error_of(orjson.loads(heard.body))


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


async def _read_events(response: aiohttp.ClientResponse, heard: _Heard) -> None:
    event = ""
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event:"):
            event = line[6:].strip()
        elif line.startswith("data:"):
            _take_event(event, line[5:].strip(), heard)


def _take_event(event: str, data: str, heard: _Heard) -> None:
    match event:
        case "token":
            heard.token_times.append(time.monotonic())
            heard.text.append(str(orjson.loads(data)["text"]))
        case "end":
            heard.has_end = True
        case "error":
            heard.error = _error_of(orjson.loads(data))


def _error_of(body: object) -> dict[str, Any]:
    if isinstance(body, dict) and isinstance(body.get("error"), dict):
        return dict(body["error"])
    return {"outcome": "unknown", "reason": "malformed error body"}


def _answer(
    index: int,
    request: Request,
    gateway: str,
    heard: _Heard,
    begin: float,
    latency_s: float,
    judge: Judge,
) -> Answer:
    error = heard.error or {}
    times = heard.token_times
    pairs = itertools.pairwise(times)
    return Answer(
        index=index,
        verdict=_verdict(index, request, heard, latency_s, judge),
        status=heard.status,
        request_id=heard.request_id or str(error.get("request_id", "")),
        gateway=gateway,
        reason=str(error.get("reason", "")),
        stage=str(error.get("stage", "")),
        latency_s=latency_s,
        first_token_s=times[0] - begin if times else float("nan"),
        gaps_s=tuple(after - before for before, after in pairs),
        retry_after_s=float(error.get("retry_after_s") or 0.0),
    )


def _verdict(
    index: int, request: Request, heard: _Heard, latency_s: float, judge: Judge
) -> Verdict:
    if heard.error is not None:
        return _NOT_FULL.get(str(heard.error.get("outcome")), Verdict.UNKNOWN)
    if heard.status == 0:
        return Verdict.NO_ANSWER
    if not heard.has_end:
        return Verdict.TRUNCATED
    whole = heard.body or "".join(heard.text).encode()
    verdict = judge(index, whole)
    if verdict is not Verdict.IN_TIME:
        return verdict
    is_late = latency_s > request.deadline_s
    return Verdict.LATE if is_late else Verdict.IN_TIME
