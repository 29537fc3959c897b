"""Streams whose worker pauses for seconds, with a real gateway."""

import asyncio
import signal
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
from trefoilpaddle.standins.platform.site import N_EVENTS, Site, small_site

from ..waiting import until

WHOLE: Final = list(range(1, N_EVENTS + 1))

N_BEFORE: Final = 2
"""Events before the pause."""

PAUSE_S: Final = 2.2
"""Pause of a worker; longer than a gateway waits before it looks for another one."""


async def read_stream(client: aiohttp.ClientSession, gateway: GatewayProcess) -> bytes:
    """Return the body of one stream; raise an error if it ends early."""
    async with client.post(
        f"{gateway.url}/draft/1", data=b"{}", headers=headers("d1") | DRAFT
    ) as answer:
        assert answer.status == 200
        return await answer.read()


def _pause_engines(site: Site) -> None:
    for worker_id in ("model1", "model2"):
        site.workers[worker_id].hangs_after = N_BEFORE
        site.workers[worker_id].hangs_s = PAUSE_S


class TestPausedWorkers:
    # Guards against streams that are cut because their worker pauses, while their
    # stages cannot be run again.
    @pytest.mark.parametrize("is_stopped", [False, True], ids=["calm", "stopping"])
    async def test_a_stream_outlasts_the_pause_of_its_worker(
        self, is_stopped: bool, tmp_path: Path
    ) -> None:
        async with (
            small_site() as site,
            gateways(site, tmp_path, "a") as (gateway,),
            aiohttp.ClientSession() as client,
        ):
            await until(lambda: "retrieve1" in gateway.log())
            _pause_engines(site)
            reading = asyncio.create_task(read_stream(client, gateway))
            await until(lambda: "name=routed" in gateway.log())
            site.workers["encode1"].turns_away = True
            if is_stopped:
                gateway.signal(signal.SIGTERM)
            assert event_numbers(await reading) == WHOLE
