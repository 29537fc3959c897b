"""Streams whose worker pauses for seconds, with a real gateway."""

import asyncio
import signal
from pathlib import Path
from typing import Final

import aiohttp
import pytest
from adapter.sessions import single_use_session

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
    Site,
    configuration,
    route,
    small_site,
)
from trefoilpaddle.standins.platform.store import TABLE_KEY

from ..waiting import until
from .raw_engines import raw_engine

WHOLE: Final = list(range(1, N_EVENTS + 1))

N_BEFORE: Final = 2
"""Events before the pause."""

PAUSE_S: Final = 2.2
"""Pause of a worker; longer than a gateway waits before it looks for another one."""

BUFFERED_BYTES: Final = 1 << 18
BODY_BYTES: Final = 1 << 23
"""Bodies that fit into the buffers of this end of a connection, and that do not."""

OLD_EVENT_S: Final = 1.1
N_OLD: Final = 4
"""Events of a stream whose caller would have left before without the first one."""

LONG_MS: Final = 12000


async def read_stream(
    client: aiohttp.ClientSession, gateway: GatewayProcess, *, deadline_ms: int = 5000
) -> bytes:
    """Return the body of one stream; raise an error if it ends early."""
    sent = headers("d1", Trefoilpaddle_Deadline_Milliseconds=str(deadline_ms)) | DRAFT
    async with client.post(
        f"{gateway.url}/draft/1", data=b"{}", headers=sent
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


class TestLongStreams:
    # Guards against streams that cannot be resumed once they are older than their
    # first event was waited for, as their stages have no time left to run again.
    async def test_an_old_stream_outlives_its_worker(self, tmp_path: Path) -> None:
        draft = route(
            "draft",
            "streaming",
            "model",
            stages=STAGES,
            stream_resumption=True,
            gap_target_ms=50,
            target_latency_ms=1000,
            timeout_ms=LONG_MS,
        )
        async with (
            small_site() as site,
            gateways(site, tmp_path, "a") as (gateway,),
            aiohttp.ClientSession() as client,
        ):
            site.store.put(TABLE_KEY, configuration(2, routes=[draft]))
            await until(lambda: "config_revision=2" in gateway.log())
            for worker_id in ("model1", "model2"):
                site.workers[worker_id].work_s = OLD_EVENT_S
                site.workers[worker_id].breaks_after = N_OLD
            body = await read_stream(client, gateway, deadline_ms=LONG_MS)
            assert event_numbers(body) == WHOLE


class TestUnreadBodies:
    # Guards against requests that end as their worker does not read for a while.
    @pytest.mark.parametrize("n_bytes", [BUFFERED_BYTES, BODY_BYTES])
    async def test_a_body_outlasts_a_pause_of_its_worker(self, n_bytes: int) -> None:
        async def pause(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(PAUSE_S)
            await reader.readexactly(n_bytes)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with raw_engine(pause) as address, single_use_session() as session:
            answer = await session.post(f"http://{address}/", data=bytes(n_bytes))
            assert answer.status == 200
