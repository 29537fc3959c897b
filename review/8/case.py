"""A configuration allows longer headers; requests that use them are refused with 400.

The gateway bounds header fields by 16,384 bytes from its start, whatever
`max_header_bytes` a configuration has.
"""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any, Final

from standins2.deployment import Deployment, Record, deployment, has_trouble, run_case

BOUNDS: Final[dict[str, Any]] = {
    "grace_s": 8,
    "drain_ms": 2000,
    "stability_window_ms": 3000,
    "configuration_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
}
LIMIT_BYTES: Final = 16384
LARGER_LIMIT_BYTES: Final = 32768
HEAD_SHARE: Final = 0.9
"""Part of the limit that the headers of a long request take."""

PART: Final = "5c1e07a2:100"
PER_S: Final = 20.0
LONG_EACH: Final = 4
ALLOWED: Final = 5
ALLOWED_PART: Final = 500
PROPER_ELSEWHERE: Final = frozenset({408, 421, 429})

ROUTE: Final = {
    "name": "r-price",
    "host": "api.example",
    "prefix": "/price/",
    "kind": "idempotent",
    "timeout_ms": 1500,
    "target_latency_ms": 200,
    "priority": 2,
    "service": "core",
    "max_attempts": 2,
    "public": False,
}


async def play(record: Record) -> str:
    """Play the case; return how the rule was broken."""
    async with deployment(record, BOUNDS) as made:
        _configure(made, 1, LIMIT_BYTES)
        for n in range(4):
            await made.add_worker(f"i-{n}", "core")
        made.add_gateway("a")
        made.add_gateway("b")
        await made.start_gateways()
        limit_bytes = LIMIT_BYTES
        load = asyncio.create_task(
            made.load(PER_S, lambda n: _send(made, n, limit_bytes))
        )
        await asyncio.sleep(4.0)
        if has_trouble():
            _configure(made, 2, LARGER_LIMIT_BYTES)
        # Longer than `configuration_ms` and than `stability_window_ms`.
        await asyncio.sleep(6.0)
        since_s = time.monotonic()
        limit_bytes = LARGER_LIMIT_BYTES if has_trouble() else LIMIT_BYTES
        await asyncio.sleep(10.0)
        load.cancel()
        await asyncio.wait({load})
        return _judge(made, since_s)


def _configure(made: Deployment, version: int, limit_bytes: int) -> None:
    limits = {
        "max_header_bytes": limit_bytes,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    made.configure(version, [ROUTE], limits=limits)


async def _send(made: Deployment, n: int, limit_bytes: int) -> None:
    """Send a request within the limit in force; each fourth one nearly fills it."""
    n_parts = 3
    if n % LONG_EACH == 0:
        n_parts = int(HEAD_SHARE * limit_bytes) // (len(PART) + 1)
    prompt = ",".join([PART] * n_parts)
    await made.request(
        made.gateways[n % 8 // 4],
        "/price/1",
        deadline_ms=1500,
        **{
            "Trefoilpaddle-Model": "m",
            "Trefoilpaddle-Token-Counts": f"{100 * n_parts},10",
            "Trefoilpaddle-Prompt-Prefix": prompt,
        },
    )


def _judge(made: Deployment, since_s: float) -> str:
    statuses = [status for status, _, _ in made.answers.values()]
    late = [
        status
        for request_id, (status, _, _) in made.answers.items()
        if made.sent_s[request_id] >= since_s
    ]
    n_denied = sum(
        300 <= status < 500 and status not in PROPER_ELSEWHERE for status in statuses
    )
    made.record.add(
        f"{len(statuses)} requests, {n_denied} denied; since the change was due"
        f" {len(late)}, of which {sum(status == 200 for status in late)} with 200"
    )
    if not any(status == 200 for status in late):
        raise RuntimeError("no request was served")
    if n_denied <= ALLOWED + len(statuses) / ALLOWED_PART:
        return ""
    return (
        f"DENIED: {n_denied} of {len(statuses)} requests within the published limits"
        " were ended with a 4xx of the gateways"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
