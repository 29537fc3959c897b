"""Whether a gateway takes requests, and what it tells callers if it does not."""

import asyncio

from tests.fake_sidecar import Call
from tests.gateway_harness import catalogue, gateway_harness, plain_stage
from tests.sidecar_scripts import sidecar
from tests.waiting import until
from trefoilpaddle.state.catalogue import Catalogue
from trefoilpaddle.state.journal import Event


class TestPlannedStop:
    async def test_what_is_held_is_finished_and_none_is_cut_off(self) -> None:
        """The gateway is told to stop while a request is at its target. It says
        "not ready", answers the request in full, then closes.
        """
        release = asyncio.Event()

        async def script(call: Call) -> None:
            await release.wait()
            call.answer(b'"in full"')

        async with gateway_harness(
            sidecar(script), published=catalogue(plain_stage())
        ) as b:
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(b.sidecars[0].calls))
            b.gateway.process.stopping.set()
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 503
            async with b.post(json={}) as late:
                assert late.status == 503
                assert (await late.json())["error"]["outcome"] == "not run"
            stopping = asyncio.create_task(b.gateway.drain())
            await until(lambda: Event.PROCESS_STOPPING in b.events())
            release.set()
            await stopping
            assert await (await asking).json() == "in full"
            assert b.gateway.process.n_interrupted == 0


class TestWokenGateway:
    async def test_it_says_that_it_asks_its_peers(self) -> None:
        """A gateway is paused and wakes while the balancer still sends to it.
        Callers were told that it stops, which sent operators looking for a stop
        that never was; it only asks its peers what is in force.
        """
        async with gateway_harness(sidecar(), published=catalogue(plain_stage())) as b:
            b.gateway._is_known = lambda: False
            async with b.post(json={}) as refused:
                error = (await refused.json())["error"]
            assert refused.status == 503
            assert error["outcome"] == "not run"
            assert error["reason"] == "no_configuration"
            assert error["retry_after_s"] > 0
            b.gateway._is_known = lambda: True
            async with b.post(json={}) as served:
                assert served.status == 200


class TestRejectedCatalogue:
    async def test_a_gateway_with_nothing_in_force_is_not_ready(self) -> None:
        """The first catalogue is published with a fault and rejected as a whole.
        The gateway had read it, said ready, and told callers that no entry
        governs them (403), which looks like a matter of their account.
        """
        async with gateway_harness(published=Catalogue()) as b:
            b.gateway._is_known = lambda: True
            async with b.client.get(f"{b.url}/readyz") as ready:
                assert ready.status == 503
            async with b.post(json={}) as refused:
                assert refused.status == 503
                error = (await refused.json())["error"]
            assert error["reason"] == "no_configuration"
