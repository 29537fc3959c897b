"""Cost of streamed tokens: processor time of gateway and sidecar per token.

Run it with ``python -m trefoilpaddle.replay.token_cost``.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

import aiohttp
import fire
import psutil

from trefoilpaddle.standins.description import (
    Description,
    PublishedValues,
    ServiceDescription,
)
from trefoilpaddle.standins.launcher import deployment
from trefoilpaddle.standins.running import Running
from trefoilpaddle.state.catalogue import ServiceKind

ACCOUNT: Final = "club"
MICROSECONDS: Final = 1_000_000
N_SHORT: Final = 8
N_LONG: Final = 200
DESCRIPTION: Final = Description(
    name="token-cost",
    failure_domains=("fd-1",),
    n_gateways=1,
    services=(
        ServiceDescription(
            name="draft",
            kind=ServiceKind.ENGINE,
            n_targets=1,
            stand_in={
                "max_batch": 64,
                "step_base_s": 0.015,
                "step_per_prompt_s": 0.0,
                "prefill_per_token_s": 0.0,
            },
        ),
    ),
)


def _stage(n_tokens: int) -> dict[str, object]:
    return {
        "name": "draft",
        "service": "draft",
        "path": "/v1/completions",
        "streams": True,
        "max_tokens": n_tokens,
    }


CATALOGUE: Final[PublishedValues] = {
    f"account/{ACCOUNT}": {"token_sha256": "0" * 64},
    "service/draft": {"kind": "engine", "n_slots": 64},
    "pipeline/short": {"stages": [_stage(N_SHORT)]},
    "pipeline/long": {"stages": [_stage(N_LONG)]},
    "entry/drafts": {
        "owner": "club",
        "class_of_work": "drafts",
        "pipelines": ["short", "long"],
        "accounts": [ACCOUNT],
        "deadline_s": 60.0,
    },
}
"""Two pipelines that differ only in the number of generated tokens. The slope
between them is the cost of a token, and the remainder is the cost of a call."""


class StreamError(Exception):
    """A stream did not end with the event ``end``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Resources used for a number of calls of one pipeline.

    Parameters
    ----------
    n_calls, n_tokens : int
        Calls, and tokens that the callers received.
    gateway_s, sidecar_s : float
        Processor seconds.
    """

    n_calls: int
    n_tokens: int
    gateway_s: float
    sidecar_s: float


def _processor_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _stream(session: aiohttp.ClientSession, url: str, number: int) -> int:
    """Return the number of tokens received in one streamed call."""
    headers = {"X-Client-Account": ACCOUNT, "Accept": "text/event-stream"}
    n_tokens = 0
    async with session.post(url, json={"text": f"{number}"}, headers=headers) as answer:
        last = b""
        async for line in answer.content:
            if line.startswith(b"event:"):
                last = line.strip()
                n_tokens += last == b"event: token"
    if last != b"event: end":
        raise StreamError(f"stream of {url} ended with {last!r}, not event: end")
    return n_tokens


async def _measure(
    running: Running, pipeline: str, *, n_calls: int, n_callers: int
) -> Cost:
    (gateway,) = running.layout.gateways
    (target,) = running.targets_of("draft")
    processes = [
        psutil.Process(running.children[name].pid)
        for name in (gateway.process_id, running.sidecar_of(target))
    ]
    url = f"{running.gateways[0]}/v1/pipelines/{pipeline}"
    remaining_calls = iter(range(n_calls))
    n_tokens = 0

    async def caller() -> None:
        nonlocal n_tokens
        for number in remaining_calls:
            got = await _stream(session, url, number)
            n_tokens += got

    async with aiohttp.ClientSession() as session:
        before = [_processor_s(process) for process in processes]
        await asyncio.gather(*(caller() for _ in range(n_callers)))
    used = [
        _processor_s(process) - began
        for process, began in zip(processes, before, strict=True)
    ]
    return Cost(
        n_calls=n_calls, n_tokens=n_tokens, gateway_s=used[0], sidecar_s=used[1]
    )


async def _run(n_calls: int, n_callers: int) -> None:
    async with deployment(DESCRIPTION, CATALOGUE) as running:
        await _measure(running, "short", n_calls=n_callers, n_callers=n_callers)
        short = await _measure(running, "short", n_calls=n_calls, n_callers=n_callers)
        long = await _measure(running, "long", n_calls=n_calls, n_callers=n_callers)
    for role in ("gateway", "sidecar"):
        short_s = getattr(short, f"{role}_s") / short.n_calls
        long_s = getattr(long, f"{role}_s") / long.n_calls
        n_more_tokens = long.n_tokens / long.n_calls - short.n_tokens / short.n_calls
        slope_us = MICROSECONDS * (long_s - short_s) / n_more_tokens
        print(
            f"{role}: {slope_us:.0f} us of a core a token; a streamed call of "
            f"{short.n_tokens / short.n_calls:.0f} tokens "
            f"{MICROSECONDS * short_s:.0f} us, of "
            f"{long.n_tokens / long.n_calls:.0f} tokens {MICROSECONDS * long_s:.0f} us"
        )


def main(*, n_calls: int = 400, n_callers: int = 32) -> None:
    """Print the processor time of gateway and sidecar per token.

    Parameters
    ----------
    n_calls : int
        Streamed calls of each of the two lengths.
    n_callers : int
        Number of concurrent callers, whose calls the engine batches.
    """
    asyncio.run(_run(n_calls, n_callers))


if __name__ == "__main__":
    fire.Fire(main)
