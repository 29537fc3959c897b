"""Callers of a soak test: they reuse connections and record each request."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from trefoilpaddle.standins.platform.gateway_process import (
    DRAFT,
    GatewayProcess,
    event_numbers,
    headers,
)

DEADLINE_S = 3.0
"""Default deadline; the stand-in workers answer within 0.1 s without faults."""

ANSWER_MARGIN_S = 1.0
"""A caller waits this much longer than its deadline for the answer."""

MAX_PAUSE_S = 0.03
KINDS = ("hold", "price", "draft")
PLAIN_KINDS = frozenset({"hold", "price"})
HARMFUL = "harmful"
"""Kind of the requests with a part in their prompts that crashes workers."""

STAGE_PIECES = {"draft": (2, 3), "patient": (8, 1), HARMFUL: (2, 3)}
"""Number of pieces of each stage, by the request kinds with stages, all streams."""


@dataclass(slots=True, kw_only=True)
class ObservedRequest:
    """One request as observed by its caller.

    Parameters
    ----------
    deadline_s : float
        Deadline that the caller set, in seconds from `sent_s`.
    fully_sent_s : float
        Monotonic time when the last byte was sent; 0 if sending was interrupted.
    status : int
        HTTP status of the answer; 0 without one.
    is_complete : bool
        True if the answer was received to its end.
    error : str
        Name of the exception that interrupted the request; empty for none.
    resumes : str
        Id of the request whose stream it takes up; empty for none.
    after_event : int
        Number of the last event of that stream.
    is_left : bool
        True if the caller closed the connection in the middle of a stream.
    """

    request_id: str
    kind: str
    key: str
    gateway: int
    sent_s: float
    deadline_s: float = DEADLINE_S
    fully_sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    seal: str = ""
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    resumes: str = ""
    after_event: int = 0
    is_left: bool = False


@dataclass(slots=True, kw_only=True)
class Callers:
    """All callers of one soak test.

    Parameters
    ----------
    gateways : list of GatewayProcess
        Gateways that they send requests to.
    key : callable
        Returns the key that is valid in the newest table.
    rng : random.Random
        Draws the gateway and the kind of each request.
    """

    gateways: list[GatewayProcess]
    key: Callable[[], str]
    rng: random.Random
    requests: list[ObservedRequest] = field(default_factory=list)
    ready: set[int] = field(default_factory=set)
    _request_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def poll_readiness(self) -> None:
        """Poll the readiness of every gateway, as the load balancer does."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                for gateway_index, gateway in enumerate(self.gateways):
                    try:
                        is_ready = await gateway.is_ready(client)
                    except TimeoutError:
                        is_ready = False
                    (self.ready.add if is_ready else self.ready.discard)(gateway_index)
                await asyncio.sleep(0.2)

    async def call_repeatedly(self) -> None:
        """Send requests until cancelled, reusing each connection while it lasts."""
        while True:
            gateway_index = self.rng.choice(
                sorted(self.ready) or range(len(self.gateways))
            )
            async with one_connection() as client:
                for _ in range(self.rng.randrange(5, 60)):
                    request = await self.call(client, gateway_index)
                    if not request.is_complete:
                        await self._take_up(request)
                        break
                    await asyncio.sleep(MAX_PAUSE_S * self.rng.random())
            await asyncio.sleep(MAX_PAUSE_S)

    async def _take_up(self, broken: ObservedRequest) -> None:
        """Take a stream that has begun up at any ready gateway."""
        numbers = events_of(broken)
        if numbers:
            gateway_index = self.rng.choice(
                sorted(self.ready) or range(len(self.gateways))
            )
            async with one_connection() as client:
                await self.call(
                    client,
                    gateway_index,
                    kind=broken.kind,
                    resumes=broken.resumes or broken.request_id,
                    after_event=numbers[-1],
                )

    async def call(
        self,
        client: aiohttp.ClientSession,
        gateway_index: int,
        *,
        key: str = "",
        kind: str = "",
        deadline_s: float = DEADLINE_S,
        resumes: str = "",
        after_event: int = 0,
        prompt_part: str = "",
        leaves_after: int = 0,
    ) -> ObservedRequest:
        """Send one request and record its outcome.

        With `leaves_after` the connection is closed after so many events.
        """
        kind = kind or self.rng.choice(KINDS)
        request = ObservedRequest(
            request_id=f"q{next(self._request_numbers)}",
            kind=kind,
            key=key or self.key(),
            gateway=gateway_index,
            sent_s=time.monotonic(),
            deadline_s=deadline_s,
            resumes=resumes,
            after_event=after_event,
        )
        self.requests.append(request)
        sent = headers(request.request_id, Trefoilpaddle_Credential=request.key)
        sent["Trefoilpaddle-Deadline-Milliseconds"] = str(int(deadline_s * 1000))
        if kind in STAGE_PIECES:
            sent |= DRAFT | {
                "Trefoilpaddle-Piece-Key": f"k-{request.request_id}",
                "Trefoilpaddle-Pieces": ",".join(map(str, STAGE_PIECES[kind])),
            }
        if prompt_part:
            own = request.request_id.removeprefix("q")
            sent["Trefoilpaddle-Prompt-Prefix"] = f"a1:60,{prompt_part}:30,{own}:10"
        if resumes:
            sent |= {"Resumes": resumes, "Last-Event-Id": str(after_event)}
        path = "draft" if kind == HARMFUL else kind
        url = f"{self.gateways[gateway_index].url}/{path}/1"
        method = "GET" if kind == "price" else "POST"
        try:
            async with asyncio.timeout(deadline_s + ANSWER_MARGIN_S):
                async with client.request(
                    method, url, headers=sent, trace_request_ctx=request
                ) as answer:
                    request.status = answer.status
                    request.seal = answer.headers.get("Trefoilpaddle-Server-Seal", "")
                    async for part in answer.content.iter_any():
                        request.body += part
                        n_events = len(versions_of(request) and events_of(request))
                        if leaves_after and n_events >= leaves_after:
                            request.is_left = True
                            answer.close()
                            break
                    request.is_complete = not request.is_left
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            request.error = type(error).__name__
        request.ended_s = time.monotonic()
        return request


def is_overdue(request: ObservedRequest) -> bool:
    """Return True if a request ended at or after the deadline of its caller."""
    return request.ended_s - request.sent_s >= request.deadline_s


def events_of(request: ObservedRequest) -> list[int]:
    """Return the sequence numbers of the events that a caller received."""
    return event_numbers(request.body) if request.kind in STAGE_PIECES else []


def versions_of(request: ObservedRequest) -> set[bytes]:
    """Return the software versions that sent events of a stream."""
    whole_lines = request.body.split(b"\n")[:-1]
    return {line.split()[-1] for line in whole_lines if line.startswith(b"data: ")}


@contextlib.asynccontextmanager
async def one_connection() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client with one connection that records when a request was sent.

    Requests have no body, so a request is fully sent once its headers are.
    """

    async def record_sent(_: object, context: Any, __: object) -> None:
        context.trace_request_ctx.fully_sent_s = time.monotonic()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(record_sent)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1), trace_configs=[trace]
    ) as client:
        yield client
