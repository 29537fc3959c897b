"""Planned stops while the schedulers of requests are lost, or stop as well."""

import asyncio
import contextlib
import signal
from collections import Counter
from pathlib import Path
from typing import Final

import aiohttp
import pytest

from trefoilpaddle.standins.platform.gateway_process import (
    DRAFT,
    GatewayProcess,
    event_numbers,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import (
    N_EVENTS,
    STAGES,
    configuration,
    pieces,
    route,
    small_site,
)
from trefoilpaddle.standins.platform.store import TABLE_KEY

from ..waiting import until

N_STREAMS: Final = 24
N_BEFORE_STOP: Final = 12
N_BEFORE_LOSS: Final = 16
"""Streams that are sent before the order to stop, and before the loss."""

DEADLINE_MS: Final = 20_000
"""Deadline of each stream; later than the end of the stop."""

EVENT_S: Final = 0.3
CALL_S: Final = 0.4
WHOLE: Final = list(range(1, N_EVENTS + 1))


async def outcome_of(
    client: aiohttp.ClientSession, gateway: GatewayProcess, number: int
) -> str:
    """Return how one stream ended, as its caller saw it."""
    sent = headers(f"s{number}", Trefoilpaddle_Deadline_Milliseconds=str(DEADLINE_MS))
    body = b"[" * (number % 3) * 1000
    try:
        async with client.post(
            f"{gateway.url}/draft/{number}", data=body, headers=sent | DRAFT
        ) as answer:
            if answer.status != 200:
                await answer.read()
                return str(answer.status)
            return "whole" if event_numbers(await answer.read()) == WHOLE else "short"
    except aiohttp.ClientError as error:
        return f"cut: {type(error).__name__}"


def _lose(kind: str, other: GatewayProcess) -> None:
    if kind == "scheduler":
        other.kill()
    if kind == "next stop":
        other.signal(signal.SIGTERM)


class TestStopsBesideLosses:
    # Guards against streams that end without a whole answer or a status, as what they
    # wait for is lost while their gateway stops.
    @pytest.mark.parametrize("kind", ["nothing", "scheduler", "next stop"])
    async def test_every_stream_has_an_answer_or_a_status(
        self, kind: str, tmp_path: Path
    ) -> None:
        async with (
            small_site() as site,
            gateways(site, tmp_path, "a", "a", "a", grace_s=8.0) as processes,
            aiohttp.ClientSession() as client,
        ):
            for worker_id in ("model1", "model2"):
                site.workers[worker_id].work_s = EVENT_S
            for worker_id in ("encode1", "retrieve1"):
                site.workers[worker_id].work_s = CALL_S
            stopped, *others = processes
            draft = route(
                "draft",
                "streaming",
                "model",
                stages=STAGES,
                stream_resumption=True,
                gap_target_ms=250,
                timeout_ms=DEADLINE_MS,
                target_latency_ms=DEADLINE_MS // 2,
            )
            services = [
                {"name": "model", "engine": {"slots": 64, "cache_tokens": 100000}},
                pieces("encode", call_ms=CALL_S * 1000),
                pieces("retrieve", call_ms=CALL_S * 1000),
            ]
            table = configuration(2, routes=[draft], services=services)
            site.store.put(TABLE_KEY, table)
            await until(lambda: all("config_revision=2" in p.log() for p in processes))
            streams = []
            for number in range(N_STREAMS):
                streams.append(asyncio.create_task(outcome_of(client, stopped, number)))
                await asyncio.sleep(EVENT_S / 3)
                if number == N_BEFORE_STOP:
                    stopped.signal(signal.SIGTERM)
                if number == N_BEFORE_LOSS:
                    _lose(kind, others[0])
            outcomes = Counter(await asyncio.gather(*streams))
            with contextlib.suppress(TimeoutError):
                await stopped.wait_exit()
        ended = {"whole", "502", "503", "504"}
        assert set(outcomes) <= ended, outcomes
        assert outcomes["whole"], outcomes
