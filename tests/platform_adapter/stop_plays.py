"""Requests at every moment of a planned stop, at gateway processes.

``python -m tests.platform_adapter.stop_plays --grace_s 5`` orders one of three gateways
to stop and prints what its callers and the workers saw.
"""

import asyncio
import contextlib
import logging
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Final

import aiohttp
import fire
from aiohttp import web

from trefoilpaddle.coordination.chain.fleet import SETTLE_AT_MOST_S
from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import Site, configuration, route
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.platform.worker import ATTEMPT, SEAL, PlatformWorker
from trefoilpaddle.standins.web import serving

from ..waiting import until
from .needs_harness import knows_all

N_GATEWAYS: Final = 3
N_WORKERS: Final = 3
N_SLOTS: Final = 200
"""Slots of a worker: no request of a play waits for one."""

TIMEOUT_S: Final = 20.0
QUICK_S: Final = (0.02, 0.5)
SLOW_S: Final = (2.0, 7.0)
MIXED_S: Final = (0.02, 7.0)
"""Least and longest time of the answers of a route."""

PIECES_S: Final = 0.1
"""Longest time between two pieces of a long answer or two events of a stream."""

N_LONG_BYTES: Final = 1_000_000
"""Bytes of a long body."""

N_PIECES: Final = 10
UPLOAD_S: Final = 0.3
"""Time for which a caller sends a long body."""

REFUSED_GAP_S: Final = 0.05
"""Pause of a caller that was refused."""

EARLY_S: Final = 3.0
"""Requests sent until then may be interrupted in the last sixth of the grace only."""

LAST_SIXTH: Final = 5 / 6

LOSS_SLACK_S: Final = 0.2
"""Time in which a request may cross the close of its connection."""

RANGES_S: Final = {
    "hold-quick": QUICK_S,
    "hold-slow": SLOW_S,
    "hold-mixed": MIXED_S,
    "talk-quick": QUICK_S,
    "talk-slow": SLOW_S,
    "talk-mixed": MIXED_S,
    "price-mixed": MIXED_S,
    "long-mixed": MIXED_S,
}
"""Routes and how long their answers take.

Only requests of the route price may be repeated. Talk sends streams, long has long
bodies both ways.
"""

KINDS: Final = {"price": "idempotent", "talk": "streaming"}


class TimedWorker(PlatformWorker):
    """A worker whose requests name in their path how long they take."""

    async def _run_in_slot(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        self.ran.append(request_id)
        _, name, milliseconds = request.path.split("/")
        work_s = int(milliseconds) / 1000
        known = {ATTEMPT: request_id, SEAL: f"{self.worker_id}.{request_id}"}
        if name.startswith("talk"):
            known["Content-Type"] = "text/event-stream"
        elif not name.startswith("long"):
            await asyncio.sleep(work_s)
            return web.Response(body=request_id.encode(), headers=known)
        answer = web.StreamResponse(headers=known)
        await answer.prepare(request)
        n_pieces = max(N_PIECES, int(work_s / PIECES_S))
        for number in range(n_pieces):
            await asyncio.sleep(work_s / n_pieces)
            piece = b"id: %d\ndata: x\n\n" % (number + 1)
            if name.startswith("long"):
                piece = bytes(N_LONG_BYTES // n_pieces)
            await answer.write(piece)
        await answer.write_eof()
        return answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """A request as its caller saw it.

    Parameters
    ----------
    request_id : str
        Its id.
    kind : str
        Name of its route, without how long its answers take.
    is_kept : bool
        True if it was sent on a kept connection.
    sent_s, ended_s : float
        Seconds from the order to stop until it was sent, and until its end.
    status : int
        Status of the answer; 0 if there was none.
    is_complete : bool
        True if the answer ended as complete.
    """

    request_id: str
    kind: str
    is_kept: bool
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool


class StopPlay:
    """Callers of gateways that are ordered to stop in calm.

    Parameters
    ----------
    workers : list of TimedWorker
        Workers that record what they ran.
    stopped : list of GatewayProcess
        Gateways that are ordered to stop, and to which all requests are sent.
    grace_s : float
        Seconds from the order to the kill.
    seed : int
        Seed of the callers' choices.

    Attributes
    ----------
    sent : list of Sent
        Requests that ended after the order.
    exits_s : list of float
        Seconds from the order to the exits of the gateways.
    """

    def __init__(
        self,
        *,
        workers: list[TimedWorker],
        stopped: list[GatewayProcess],
        grace_s: float,
        seed: int,
    ) -> None:
        self._workers = workers
        self._stopped = stopped
        self._grace_s = grace_s
        self._rng = random.Random(seed)
        self._ordered_s = 0.0
        self._n_sent = 0
        self.sent: list[Sent] = []
        self.exits_s: list[float] = []

    async def run(self, *, n_callers: int, calm_s: float) -> None:
        """Send requests from `calm_s` before the order until the gateways are gone."""
        self._ordered_s = time.monotonic() + calm_s
        async with asyncio.TaskGroup() as group:
            for gateway in self._stopped:
                group.create_task(self._stop(gateway, calm_s))
                for number in range(n_callers // len(self._stopped)):
                    is_kept = number % 2 == 0
                    group.create_task(self._call(gateway, is_kept=is_kept))

    def _since_s(self) -> float:
        return time.monotonic() - self._ordered_s

    async def _stop(self, gateway: GatewayProcess, calm_s: float) -> None:
        await asyncio.sleep(calm_s)
        gateway.signal(signal.SIGTERM)
        await gateway.wait_exit()
        self.exits_s.append(self._since_s())

    async def _call(self, gateway: GatewayProcess, *, is_kept: bool) -> None:
        """Send one request after the other until the gateway accepts no more."""
        connector = aiohttp.TCPConnector(force_close=not is_kept)
        async with aiohttp.ClientSession(connector=connector) as client:
            while True:
                try:
                    sent = await self._send(client, gateway, is_kept=is_kept)
                except aiohttp.ClientConnectorError:
                    return
                if sent.ended_s >= 0.0:
                    self.sent.append(sent)
                if sent.status != 200:
                    await asyncio.sleep(REFUSED_GAP_S)

    async def _send(
        self, client: aiohttp.ClientSession, gateway: GatewayProcess, *, is_kept: bool
    ) -> Sent:
        name = self._rng.choice(list(RANGES_S))
        work_s = self._rng.uniform(*RANGES_S[name])
        self._n_sent += 1
        fields = headers(f"r{self._n_sent}")
        fields["Trefoilpaddle-Deadline-Milliseconds"] = str(int(TIMEOUT_S * 1000))
        kind = name.partition("-")[0]
        data: Any = _long_body() if kind == "long" else b"text"
        sent_s = self._since_s()
        status, is_complete = 0, False
        try:
            async with client.post(
                f"{gateway.url}/{name}/{int(work_s * 1000)}", data=data, headers=fields
            ) as answer:
                status = answer.status
                await answer.read()
                is_complete = True
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, ConnectionError) as error:
            logging.info("%s ended: %r", fields[ATTEMPT], error)
        return Sent(
            request_id=fields[ATTEMPT],
            kind=kind,
            is_kept=is_kept,
            sent_s=sent_s,
            ended_s=self._since_s(),
            status=status,
            is_complete=is_complete,
        )

    def counts(self) -> Counter[str]:
        """Return how many requests ended in which way."""
        ran = {request_id for worker in self._workers for request_id in worker.ran}
        n_exits_late = sum(exit_s > self._grace_s for exit_s in self.exits_s)
        counts = Counter({"exits after the grace": n_exits_late})
        for sent in self.sent:
            counts["all"] += 1
            counts["sent after the order"] += sent.sent_s >= 0.0
            counts[self._end_of(sent, has_run=sent.request_id in ran)] += 1
        return counts

    def _end_of(self, sent: Sent, *, has_run: bool) -> str:
        if sent.is_complete:
            if sent.status == 200:
                return f"answered, {sent.kind}"
            run = "has run" if has_run else "not run"
            when = "before the order" if sent.sent_s < 0.0 else "after the order"
            return f"{sent.status} {run}, {sent.kind}, sent {when}"
        if not has_run:
            length_s = UPLOAD_S if sent.kind == "long" else 0.0
            has_crossed = sent.ended_s - sent.sent_s < LOSS_SLACK_S + length_s
            return "crosses the close" if has_crossed else "not passed on and closed"
        is_excused = sent.ended_s >= LAST_SIXTH * self._grace_s
        if sent.sent_s > EARLY_S:
            end = "passed on late and cut"
        elif is_excused:
            end = "cut in the last sixth"
        elif sent.status:
            end = "cut early"
        else:
            end = "passed on and closed early"
        return f"{end}, {sent.kind}"


async def _long_body() -> AsyncIterator[bytes]:
    for _ in range(N_PIECES):
        yield bytes(N_LONG_BYTES // N_PIECES)
        await asyncio.sleep(UPLOAD_S / N_PIECES)


async def play(
    *,
    grace_s: float,
    n_stopped: int = 1,
    n_callers: int = 60,
    calm_s: float = 8.0,
    seed: int = 1,
) -> StopPlay:
    """Play one stop and return what was seen."""
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        routes = [
            route(
                name,
                KINDS.get(name.partition("-")[0], "non_idempotent"),
                "stock",
                timeout_ms=int(TIMEOUT_S * 1000),
                target_latency_ms=int(TIMEOUT_S * 500),
            )
            for name in RANGES_S
        ]
        site.store.put(TABLE_KEY, configuration(1, routes=routes))
        workers = []
        for number in range(N_WORKERS):
            worker = TimedWorker(worker_id=f"stock{number}", n_slots=N_SLOTS)
            url = await stack.enter_async_context(serving(worker.application()))
            worker.address = url.removeprefix("http://")
            site.workers[worker.worker_id] = worker
            site.list_worker(worker.worker_id, "stock")
            workers.append(worker)
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        all_gateways = await stack.enter_async_context(
            gateways(site, folder, *"abc"[:N_GATEWAYS], grace_s=grace_s)
        )
        for gateway in all_gateways:
            await until(partial(knows_all, gateway, N_GATEWAYS))
        await asyncio.sleep(SETTLE_AT_MOST_S)
        one = StopPlay(
            workers=workers,
            stopped=all_gateways[:n_stopped],
            grace_s=grace_s,
            seed=seed,
        )
        await one.run(n_callers=n_callers, calm_s=calm_s)
        return one


def print_play(
    *,
    grace_s: float = 8.0,
    n_stopped: int = 1,
    n_callers: int = 60,
    calm_s: float = 8.0,
    seed: int = 1,
    is_listed: bool = False,
) -> None:
    """Play one stop and print how its requests ended.

    Parameters
    ----------
    grace_s : float
        Seconds from the order to the kill.
    n_stopped : int
        Gateways of three that are ordered to stop at the same time.
    n_callers : int
        Callers, half of them on kept connections.
    calm_s : float
        Seconds for which they call before the order.
    seed : int
        Seed of their choices.
    is_listed : bool
        True also prints each request without a complete answer.
    """
    logging.disable(logging.ERROR)
    one = asyncio.run(
        play(
            grace_s=grace_s,
            n_stopped=n_stopped,
            n_callers=n_callers,
            calm_s=calm_s,
            seed=seed,
        )
    )
    counts = one.counts()
    for name in sorted(counts):
        print(f"{name}: {counts[name]}")
    print("exits after", ", ".join(f"{exit_s:.2f} s" for exit_s in one.exits_s))
    for sent in one.sent if is_listed else ():
        if not sent.is_complete:
            print(sent)


if __name__ == "__main__":
    fire.Fire(print_play)
