"""A worker begins to run an order and fails with its own 503; the caller gets that 503.

A worker that rejects a request says so in a header. Without it, a 503 of the worker
means that the request has run. The gateway passes it on to the caller, to whom a 503
promises that the request has not run and never will, so that the caller orders again.
"""

import asyncio
import sys
from pathlib import Path
from typing import Any, Final

from aiohttp import web
from standins2.deployment import (
    Deployment,
    Record,
    Worker,
    deployment,
    has_trouble,
    run_case,
)

BOUNDS: Final[dict[str, Any]] = {
    "grace_s": 8,
    "drain_ms": 2000,
    "stability_window_ms": 3000,
    "configuration_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
}
N_WORKERS: Final = 8
"""One of them, 0.125 of the service, fails; the site has a share of 0.14."""

FAILS_EACH: Final = 5
FAILED_OF_EACH: Final = 2
"""It fails 0.4 of its requests, the usual share."""

GREY_S: Final = 6.5
PER_S: Final = 60.0
PROMISES: Final = frozenset({408, 421, 429, 503})

ROUTE: Final = {
    "name": "r-order",
    "host": "api.example",
    "prefix": "/order/",
    "kind": "non_idempotent",
    "timeout_ms": 1500,
    "target_latency_ms": 200,
    "priority": 1,
    "service": "orders",
    "max_attempts": 1,
    "public": False,
}


async def play(record: Record) -> str:
    """Play the case; return how the rule was broken."""
    async with deployment(record, BOUNDS) as made:
        made.configure(1, [ROUTE])
        for n in range(N_WORKERS):
            await made.add_worker(f"i-{n}", "orders")
        made.add_gateway("a")
        made.add_gateway("b")
        await made.start_gateways()
        load = asyncio.create_task(made.load(PER_S, lambda n: _send(made, n)))
        await asyncio.sleep(4.0)
        grey = made.workers["i-0"]
        if has_trouble():
            record.add("i-0 fails part of its requests")
            grey.answer = _failing(grey)
        await asyncio.sleep(GREY_S)
        grey.answer = grey.plain
        await asyncio.sleep(4.0)
        load.cancel()
        await asyncio.wait({load})
        return _judge(made)


async def _send(made: Deployment, n: int) -> None:
    await made.request(
        made.gateways[n % 2], "/order/1", method="POST", body=b"one", deadline_ms=1500
    )


def _failing(worker: Worker) -> Any:
    n_runs = 0

    async def answer(
        request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        nonlocal n_runs
        n_runs += 1
        await asyncio.sleep(worker.work_s)
        headers = worker.headers(request_id)
        if n_runs % FAILS_EACH < FAILED_OF_EACH:
            return web.Response(status=503, text="not done in time", headers=headers)
        return web.Response(body=request_id.encode(), headers=headers)

    return answer


def _judge(made: Deployment) -> str:
    ran = {each for w in made.workers.values() for _, each in w.arrived_s}
    if len(ran) < PER_S:
        raise RuntimeError("hardly any request has run")
    wrong = [
        request_id
        for request_id, (status, _, _) in made.answers.items()
        if status in PROMISES and request_id in ran
    ]
    if not wrong:
        return ""
    return (
        f"REFUSED: {len(wrong)} orders were answered with 503 and had run, the first"
        f" one {wrong[0]}"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
