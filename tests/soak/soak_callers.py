"""Callers of a soak: they keep connections, and note all that they see."""

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
"""Set by every caller; the stand-in workers answer within 0.1 s when calm."""

CAP_S = 1.0
"""Beyond its deadline a caller waits so long."""

PAUSE_S = 0.03
KINDS = ("hold", "price", "draft")
WHOLE = frozenset({"hold", "price"})
PIECES = {"draft": (2, 3), "patient": (8, 1)}
"""Pieces of each stage, by the kinds that have stages; these are streams."""


@dataclass(slots=True, kw_only=True)
class Seen:
    """One request as its caller saw it.

    Parameters
    ----------
    deadline_s : float
        Time that its caller gave it.
    whole_s : float
        When the last byte was sent; 0 if it was not sent whole.
    status : int
        Of the answer; 0 without one.
    is_whole : bool
        The answer came to its end.
    error : str
        How it ended without one.
    """

    request_id: str
    kind: str
    key: str
    gateway: int
    sent_s: float
    deadline_s: float = DEADLINE_S
    whole_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    seal: str = ""
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


@dataclass(slots=True, kw_only=True)
class Callers:
    """All callers of one soak.

    Parameters
    ----------
    gateways : list of GatewayProcess
        Where they call.
    key : callable
        Returns the key that is valid by the newest table.
    rng : random.Random
        Draws what they ask.
    """

    gateways: list[GatewayProcess]
    key: Callable[[], str]
    rng: random.Random
    seen: list[Seen] = field(default_factory=list)
    ready: set[int] = field(default_factory=set)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    async def balance(self) -> None:
        """Ask every gateway whether it is ready, as the balancer does."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                for number, gateway in enumerate(self.gateways):
                    try:
                        is_ready = await gateway.is_ready(client)
                    except TimeoutError:
                        is_ready = False
                    (self.ready.add if is_ready else self.ready.discard)(number)
                await asyncio.sleep(0.2)

    async def call_on(self) -> None:
        """Call again and again, on one connection for as long as it lasts."""
        while True:
            number = self.rng.choice(sorted(self.ready) or range(len(self.gateways)))
            async with one_connection() as client:
                for _ in range(self.rng.randrange(5, 60)):
                    seen = await self.call(client, number)
                    if not seen.is_whole:
                        break
                    await asyncio.sleep(PAUSE_S * self.rng.random())
            await asyncio.sleep(PAUSE_S)

    async def call(
        self,
        client: aiohttp.ClientSession,
        number: int,
        *,
        key: str = "",
        kind: str = "",
        deadline_s: float = DEADLINE_S,
    ) -> Seen:
        """Send one request and note what comes of it."""
        kind = kind or self.rng.choice(KINDS)
        seen = Seen(
            request_id=f"q{next(self._numbers)}",
            kind=kind,
            key=key or self.key(),
            gateway=number,
            sent_s=time.monotonic(),
            deadline_s=deadline_s,
        )
        self.seen.append(seen)
        sent = headers(seen.request_id, Trefoilpaddle_Credential=seen.key)
        sent["Trefoilpaddle-Deadline-Milliseconds"] = str(int(deadline_s * 1000))
        if kind in PIECES:
            sent |= DRAFT | {
                "Trefoilpaddle-Piece-Key": f"k-{seen.request_id}",
                "Trefoilpaddle-Pieces": ",".join(map(str, PIECES[kind])),
            }
        url = f"{self.gateways[number].url}/{kind}/1"
        method = "GET" if kind == "price" else "POST"
        try:
            async with asyncio.timeout(deadline_s + CAP_S):
                async with client.request(
                    method, url, headers=sent, trace_request_ctx=seen
                ) as answer:
                    seen.status = answer.status
                    seen.seal = answer.headers.get("Trefoilpaddle-Server-Seal", "")
                    async for part in answer.content.iter_any():
                        seen.body += part
                    seen.is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            seen.error = type(error).__name__
        seen.ended_s = time.monotonic()
        return seen


def is_overdue(seen: Seen) -> bool:
    """Return True if a request ended at the deadline that its caller gave, or later."""
    return seen.ended_s - seen.sent_s >= seen.deadline_s


def events_of(seen: Seen) -> list[int]:
    """Return the numbers of the events that a caller got."""
    return event_numbers(seen.body) if seen.kind in PIECES else []


@contextlib.asynccontextmanager
async def one_connection() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client that has one connection, and notes when a request is sent.

    No request has a body: with its headers it is sent whole.
    """

    async def note(_: object, context: Any, __: object) -> None:
        context.trace_request_ctx.whole_s = time.monotonic()

    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(note)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1), trace_configs=[trace]
    ) as client:
        yield client
