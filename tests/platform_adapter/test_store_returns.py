"""Gateway processes while the store is restored from backups."""

import asyncio
from pathlib import Path
from typing import Final

import aiohttp

from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import configuration, small_site
from trefoilpaddle.standins.platform.store import TABLE_KEY

from ..waiting import until

PROPAGATION_S: Final = 3.0
"""Time from a write after the restore within which all gateways must know of it."""

UNAVAILABLE_S: Final = 1.0
N_REQUESTS: Final = 20
DOMAINS: Final = ("a", "a", "b", "b")


async def served_by(
    client: aiohttp.ClientSession, gateway: GatewayProcess, name: str
) -> str:
    """Return the worker that runs a gateway's request, or the status if none does."""
    async with client.post(f"{gateway.url}/price/1", headers=headers(name)) as answer:
        await answer.read()
        seal = answer.headers.get("Trefoilpaddle-Server-Seal", "")
        return seal.rpartition(".")[0] or str(answer.status)


class TestRestore:
    async def test_writes_at_reused_revisions_are_used_by_all_gateways(
        self, tmp_path: Path
    ) -> None:
        # The store is unavailable for a moment. By the first read after its recovery it
        # has passed the revision that all gateways know: a worker written before that
        # revision got no requests for good, and a removed worker got them again.
        async with (
            small_site() as site,
            gateways(site, tmp_path, *DOMAINS) as every,
            aiohttp.ClientSession() as client,
        ):
            store = site.store
            backup = store.take_backup()
            store.put(TABLE_KEY, configuration(2))
            store.remove("servers/stock2")
            for _ in range(5):
                site.list_worker("stock1", "stock")
            await until(lambda: all("config_revision=2" in g.log() for g in every))
            await until(lambda: all("peer=stock2" in g.log() for g in every))
            store.is_refusing = True
            await asyncio.sleep(UNAVAILABLE_S)
            store.restore_from(backup)
            await site.add_worker("stock3", "stock")
            for _ in range(12):
                site.list_worker("stock1", "stock")
            store.is_refusing = False
            await asyncio.sleep(PROPAGATION_S)
            for gateway in every:
                names = [f"{gateway.host}r{number}" for number in range(N_REQUESTS)]
                calls = (served_by(client, gateway, name) for name in names)
                assert set(await asyncio.gather(*calls)) == {"stock1", "stock3"}
                assert "name=store_returned config_revision=2" in gateway.log()
                url = f"{gateway.operators_url}/metrics"
                async with client.get(url) as answer:
                    assert "trefoilpaddle_store_era 1.0" in await answer.text()
