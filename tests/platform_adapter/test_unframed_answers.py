"""Workers' answers with neither a length nor chunks, with a real gateway."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import pytest

from trefoilpaddle.standins.platform.gateway_process import (
    DRAFT,
    GatewayProcess,
    event_numbers,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import N_EVENTS, Site, small_site
from trefoilpaddle.standins.platform.worker import PlatformWorker

N_REQUESTS = 10
N_BEFORE_BREAK = 2


def workers_of(site: Site, service: str) -> Sequence[PlatformWorker]:
    return [w for i, w in site.workers.items() if i.startswith(service)]


async def send(gateway: GatewayProcess, name: str, number: int) -> tuple[int, bytes]:
    """Send a request; return its status and complete body."""
    sent = headers(f"u{number}") | DRAFT
    async with (
        aiohttp.ClientSession() as client,
        client.post(f"{gateway.url}/{name}/1", data=b"x", headers=sent) as answer,
    ):
        return answer.status, await answer.read()


class TestUnframedAnswers:
    @pytest.mark.parametrize("name", ["price", "hold"])
    async def test_answers_are_delivered_whole(self, tmp_path: Path, name: str) -> None:
        async with small_site() as site, gateways(site, tmp_path, "a") as (gateway,):
            for worker in workers_of(site, "stock"):
                worker.ends_with_connection = True
            for number in range(N_REQUESTS):
                answer = await send(gateway, name, number)
                assert answer == (200, f"u{number}".encode())

    # Guards against a stream that is ended as complete inside an event.
    @pytest.mark.parametrize("breaks_inside_event", [False, True])
    async def test_streams_are_whole_or_go_on(
        self, tmp_path: Path, breaks_inside_event: bool
    ) -> None:
        async with small_site() as site, gateways(site, tmp_path, "a") as (gateway,):
            models = workers_of(site, "model")
            for worker in models:
                worker.ends_with_connection = True
                worker.breaks_inside_event = breaks_inside_event
                worker.breaks_after = N_BEFORE_BREAK if breaks_inside_event else 0
            answers = await asyncio.gather(
                *(send(gateway, "draft", number) for number in range(N_REQUESTS))
            )
            n_runs = sum(len(worker.ran) for worker in models)
        whole = list(range(1, N_EVENTS + 1))
        assert [event_numbers(body) for _, body in answers] == [whole] * N_REQUESTS
        assert n_runs == N_REQUESTS * (2 if breaks_inside_event else 1)
