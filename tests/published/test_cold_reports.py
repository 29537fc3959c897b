"""Reports of workers that are cold reach every gateway."""

import asyncio
import time
from dataclasses import replace

import pytest

from trefoilpaddle.coordination.published.store_feed import POLL_S

from ..chain.fakes import worker
from ..chain.virtual_time import run_virtual
from .store_network import Network

COLD_S = 5.0


class TestSpread:
    # Guards against gateways that learn of a cold start only from their own reads.
    def test_a_worker_that_becomes_cold_again_is_known_everywhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(23)
            await network.start()
            for gateway in network.gateways[2:]:
                gateway.is_disconnected = True
            known = network.store.workers["w000"]
            cold = replace(known, cold_until_s=time.monotonic() + COLD_S)
            network.store.write(cold)
            await asyncio.sleep(2 * POLL_S)
            for gateway in network.gateways:
                now_s = time.monotonic()
                found = gateway.workers.cold(known.service, 0.0, now_s)
                assert [each.worker_id for each in found] == ["w000"]
            await asyncio.sleep(COLD_S)
            service = worker("any").service
            assert not any(
                gateway.workers.cold(service, 0.0, time.monotonic())
                for gateway in network.gateways
            )

        run_virtual(monkeypatch, scenario())
