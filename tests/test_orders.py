"""Orders to a target: guarded by fencing numbers or by the port lock alone."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from trefoilpaddle.coordination.placing.orders import (
    MAX_DECISION_AGE_S,
    PROBE_MODEL,
    Busy,
    NotSent,
    Order,
    OrderKind,
    Superseded,
    TargetOrders,
)
from trefoilpaddle.standins.engine import Engine, EngineModel
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.standins.weights import Weights
from trefoilpaddle.state.journal import Event, Journal
from trefoilpaddle.state.settings import Fencing, LogFormat
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.port_lock import PortLockError, held_port
from trefoilpaddle.transport.target_http import TargetHttp

LOAD = Order(kind=OrderKind.LOAD_MODEL, name="m1", version="2")
OTHER = Order(kind=OrderKind.LOAD_MODEL, name="m2", version="1")


class Site:
    """A stand-in engine and the sidecars that send it orders."""

    def __init__(self, engine: Engine, http: TargetHttp, fencing: Fencing) -> None:
        self.engine = engine
        self.http = http
        self.fencing = fencing
        self.now_s = 100.0
        self.has_lock = True
        self.journal = Journal(
            process_id="s-sidecar", n_records=100, format=LogFormat.KEY_VALUE
        )

    def sidecar(self) -> TargetOrders:
        return TargetOrders(
            http=self.http,
            target="t",
            fencing=self.fencing,
            has_lock=lambda: self.has_lock,
            journal=self.journal,
            clock=lambda: self.now_s,
        )

    def sent(self) -> list[str]:
        """Names of the models in the orders received, without probes."""
        orders = self.engine.record.orders
        return [order.name for order in orders if order.name != PROBE_MODEL]


@contextlib.asynccontextmanager
async def site(
    *, is_fenced: bool = True, load_s: float = 0.0, weights_url: str = ""
) -> AsyncIterator[Site]:
    model = EngineModel(is_fenced=is_fenced, load_s=load_s, weights_url=weights_url)
    engine = Engine(model=model)
    async with TestServer(engine.application()) as server:
        http = TargetHttp(url=f"http://127.0.0.1:{server.port}")
        fencing = Fencing.CHECKED if is_fenced else Fencing.IGNORED
        async with http.opened():
            yield Site(engine, http, fencing)


class TestFencedEngine:
    async def test_an_order_takes_effect(self) -> None:
        async with site() as s:
            assert await s.sidecar().send(LOAD) == Ok(None)
            assert s.engine.orders.models["m1"] == "2"

    async def test_fence_rises_over_restarts(self) -> None:
        async with site() as s:
            fences = []
            for _ in range(5):
                sidecar = s.sidecar()
                assert (await sidecar.send(LOAD)).is_ok()
                fences.append(sidecar.fence)
            assert fences == sorted(set(fences))

    async def test_resumed_sidecar_yields_to_its_successor(self) -> None:
        """A sidecar is paused, its successor takes over, and the old one resumes.

        The order of the old one must have no effect. It must not take a higher
        fencing number either, or the two would displace each other repeatedly.
        """
        async with site() as s:
            old, new = s.sidecar(), s.sidecar()
            assert (await old.send(LOAD)).is_ok()
            assert (await new.send(LOAD)).is_ok()
            late = await old.send(OTHER)
            assert isinstance(late.unwrap_err(), Superseded)
            assert "m2" not in s.engine.orders.models
            again = await old.send(OTHER)
            assert isinstance(again.unwrap_err(), NotSent)
            assert (await new.send(OTHER)).is_ok()

    async def test_successor_that_has_sent_no_order_yet(self) -> None:
        """Taking a fencing number is enough to exclude the former sidecar."""
        async with site() as s:
            old, new = s.sidecar(), s.sidecar()
            assert (await old.send(LOAD)).is_ok()
            assert (await new._take_fence(s.now_s)).is_ok()
            assert (await old.send(OTHER)).is_err()
            assert s.sent() == ["m1", "m2"]
            assert "m2" not in s.engine.orders.models

    async def test_slow_load_is_superseded(self) -> None:
        """The new sidecar takes over while an order of the old one still loads."""
        async with site(load_s=0.3) as s:
            old, new = s.sidecar(), s.sidecar()
            slow = asyncio.create_task(old.send(OTHER))
            async with asyncio.timeout(20.0):
                while "m2" not in s.sent():  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            assert (await new.send(LOAD)).is_ok()
            assert isinstance((await slow).unwrap_err(), Superseded)
            assert "m2" not in s.engine.orders.models

    async def test_sidecars_that_start_at_the_same_time(self) -> None:
        async with site() as s:
            sidecars = [s.sidecar() for _ in range(4)]
            await asyncio.gather(*(sidecar.send(LOAD) for sidecar in sidecars))
            alive = [each for each in sidecars if (await each.send(OTHER)).is_ok()]
            assert len(alive) <= 1
            assert len({sidecar.fence for sidecar in sidecars}) == 4


class TestSchedules:
    @given(st.lists(st.integers(0, 3), max_size=12))
    @settings(max_examples=30)
    def test_no_order_of_an_earlier_sidecar_after_a_later_one(
        self, senders: list[int]
    ) -> None:
        """Four sidecars, each started with its first order, send in any sequence."""

        async def run_schedule() -> None:
            async with site() as s:
                sidecars: dict[int, TargetOrders] = {}
                effects: list[int] = []
                for sender in senders:
                    orders = sidecars.setdefault(sender, s.sidecar())
                    if (await orders.send(LOAD)).is_ok():
                        effects.append(list(sidecars).index(sender))
                assert effects == sorted(effects)

        asyncio.run(run_schedule())


class TestPortLock:
    @pytest.mark.parametrize("is_fenced", [True, False])
    async def test_nothing_is_sent_without_the_lock(self, is_fenced: bool) -> None:
        async with site(is_fenced=is_fenced) as s:
            s.has_lock = False
            assert isinstance((await s.sidecar().send(LOAD)).unwrap_err(), NotSent)
            assert s.engine.record.orders == []

    async def test_successor_waits_for_a_paused_holder(self) -> None:
        """The engine ignores fencing numbers; the port lock is the only guard.

        The old sidecar is paused and keeps the port. Its successor cannot start,
        so orders of two sidecars cannot interleave.
        """
        async with site(is_fenced=False) as s:
            lock = Address(ip="127.0.0.1", port=free_port())
            async with held_port(lock, wait_s=0.0):
                with pytest.raises(PortLockError):
                    async with held_port(lock, wait_s=0.0):
                        await s.sidecar().send(OTHER)
                assert s.engine.record.orders == []
            async with held_port(lock, wait_s=0.0):
                assert (await s.sidecar().send(OTHER)).is_ok()

    async def test_pause_between_decision_and_sending(self) -> None:
        """A sidecar decides, is paused for 10 s, and must then not send."""
        async with site(is_fenced=False) as s:
            decided_s = s.now_s
            s.now_s += MAX_DECISION_AGE_S + 8.0
            late = await s.sidecar().send(LOAD, decided_s=decided_s)
            assert isinstance(late.unwrap_err(), NotSent)
            assert s.engine.record.orders == []


class TestBusyStore:
    async def test_busy_store_reports_a_retry_time(self) -> None:
        weights = Weights(max_readings=0)
        async with TestServer(weights.application()) as store:
            url = f"http://127.0.0.1:{store.port}"
            async with site(weights_url=url) as s:
                outcome = await s.sidecar().send(LOAD)
                error = outcome.unwrap_err()
                assert isinstance(error, Busy)
                assert error.retry_after_s >= 1.0
                events = [r.decision.event for r in s.journal.recent()]
                assert events == [Event.ORDER_REFUSED]
