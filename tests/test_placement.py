"""Model placement: independent decisions converge and never drop the last copy."""

import asyncio
from dataclasses import dataclass, field

import pytest
from aiohttp.test_utils import TestServer
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from tests.claims_fleet import FakeAsker, FakeClock, FakeNetwork, host
from trefoilpaddle.coordination.placing.orders import (
    Busy,
    Order,
    OrderError,
    OrderKind,
    TargetOrders,
)
from trefoilpaddle.coordination.placing.placement import Placement
from trefoilpaddle.coordination.placing.target_models import read_loaded
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.placement.ttypes import Holdings
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.standins.engine import Engine, EngineModel
from trefoilpaddle.state.catalogue import Catalogue, Service, ServiceKind
from trefoilpaddle.state.hosts import HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.model_plan import (
    MODELS_PER_TARGET,
    N_STABLE_ROUNDS,
    Holder,
    may_unload,
    plan_placement,
    wanted_copies,
)
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.settings import Fencing, LogFormat
from trefoilpaddle.transport.target_http import TargetHttp

SIDECARS = [f"s{i}-sidecar" for i in range(6)]
MODELS = tuple(f"m{i}" for i in range(9))


class TestPlan:
    def test_every_target_holds_all_models_that_fit(self) -> None:
        assert wanted_copies("abc", {}, n_targets=5) == dict.fromkeys("abc", 5)

    @given(
        demand=st.dictionaries(st.sampled_from(MODELS), st.floats(0.0, 100.0)),
        n_targets=st.integers(3, 9),
    )
    def test_every_model_is_placed_within_capacity(
        self, demand: dict[str, float], n_targets: int
    ) -> None:
        targets = [f"s{i}" for i in range(n_targets)]
        plan = plan_placement(MODELS, demand, targets)
        assert all(plan[model] for model in MODELS)
        for target in targets:
            n_held = sum(target in places for places in plan.values())
            assert n_held <= MODELS_PER_TARGET

    def test_model_in_demand_gets_more_copies(self) -> None:
        copies = wanted_copies(MODELS, {"m3": 50.0, "m1": 1.0}, n_targets=6)
        assert copies["m3"] > copies["m1"] >= copies["m0"] >= 2

    @given(loaded=st.lists(st.booleans(), min_size=6, max_size=6))
    def test_one_holder_never_unloads(self, loaded: list[bool]) -> None:
        """All holders decide at the same time; exactly one must keep the model."""
        holders = [
            Holder(process_id=name, loaded=frozenset({"m"} if has else ()))
            for name, has in zip(SIDECARS, loaded, strict=True)
        ]
        kept_by = [
            holder
            for holder in holders
            if "m" in holder.loaded
            and not may_unload(
                "m",
                me=holder.process_id,
                others=[other for other in holders if other is not holder],
            )
        ]
        assert len(kept_by) == (1 if any(loaded) else 0)


@dataclass
class FakeOrders:
    """Records orders; replies that the target is busy `n_busy` times."""

    given: list[Order] = field(default_factory=list)
    n_busy: int = 0

    async def send(self, order: Order) -> Result[None, OrderError]:
        if self.n_busy > 0:
            self.n_busy -= 1
            return Err(Busy(retry_after_s=10.0))
        self.given.append(order)
        return Ok(None)


class Fleet:
    def __init__(self, models: tuple[str, ...], n_sidecars: int = 6) -> None:
        self.clock = FakeClock()
        self.net = FakeNetwork()
        self.orders: dict[str, FakeOrders] = {}
        self.placements: dict[str, Placement] = {}
        hosts = [host(f"s{i}", domain=f"d{i % 3}") for i in range(n_sidecars)]
        service = Service(kind=ServiceKind.ENGINE, models=models)
        for listed in hosts:
            published = Published()
            published.set_hosts(HostList(revision=1, hosts=tuple(hosts)))
            published.set_catalogue(Catalogue(revision=1, services={"draft": service}))
            hello = Hello(process_id=listed.process_id)
            orders = FakeOrders()
            placement = Placement(
                process_id=listed.process_id,
                service="draft",
                published=published,
                asker=FakeAsker(
                    self.net,
                    listed.peer_address,
                    lambda hello=hello: hello,  # type: ignore[misc]
                ),
                orders=orders,  # type: ignore[arg-type]
                journal=Journal(
                    process_id=listed.process_id,
                    n_records=100,
                    format=LogFormat.KEY_VALUE,
                ),
                clock=self.clock,
            )
            self.orders[listed.name] = orders
            self.placements[listed.name] = placement
            self.net.handlers[listed.peer_address] = self.handler(placement)

    def handler(self, placement: Placement):  # type: ignore[no-untyped-def]
        async def answer(message: Message, sender: Hello) -> Message:
            assert isinstance(message, Holdings)
            return await placement.answer(message, sender)

        return answer

    async def rounds(self, n: int, *names: str) -> None:
        for _ in range(n):
            self.clock.now_s += 2.0
            chosen = [self.placements[name] for name in names or self.placements]
            await asyncio.gather(*(placement.exchange() for placement in chosen))
            await asyncio.gather(*(placement.decide() for placement in chosen))

    def holders(self, model: str) -> set[str]:
        return {
            n for n, placement in self.placements.items() if model in placement.loaded
        }

    @property
    def n_orders(self) -> int:
        return sum(len(orders.given) for orders in self.orders.values())


class TestRounds:
    async def test_every_model_is_loaded_and_stays_loaded(self) -> None:
        fleet = Fleet(MODELS)
        await fleet.rounds(40)
        assert all(len(fleet.holders(model)) >= 2 for model in MODELS)
        n_orders = fleet.n_orders
        await fleet.rounds(20)
        assert fleet.n_orders == n_orders

    async def test_too_few_rounds_change_nothing(self) -> None:
        fleet = Fleet(MODELS)
        await fleet.rounds(N_STABLE_ROUNDS - 1)
        assert fleet.n_orders == 0

    async def test_demand_moves_copies_and_keeps_the_last(self) -> None:
        fleet = Fleet(MODELS)
        await fleet.rounds(40)
        n_before = len(fleet.holders("m4"))
        for _ in range(60):
            for placement in fleet.placements.values():
                placement.record_demand("m4", 5.0)
            await fleet.rounds(1)
            assert all(fleet.holders(model) for model in MODELS)
            n_loaded = [len(p.loaded) for p in fleet.placements.values()]
            assert max(n_loaded) <= MODELS_PER_TARGET + 1
        assert len(fleet.holders("m4")) > n_before

    async def test_partitioned_fleet_keeps_every_model(self) -> None:
        """The sidecars are partitioned into two halves and then reconnected."""
        fleet = Fleet(MODELS)
        await fleet.rounds(40)
        halves = [{f"s{i}" for i in range(3)}, {f"s{i}" for i in range(3, 6)}]
        address = {n: host(n, domain="d0").peer_address for n in fleet.placements}
        for a in halves[0]:
            for b in halves[1]:
                fleet.net.partitioned.add(frozenset({address[a], address[b]}))
        await fleet.rounds(40)
        for half in halves:
            assert all(fleet.holders(model) & half for model in MODELS)
        fleet.net.partitioned.clear()
        for _ in range(40):
            await fleet.rounds(1)
            assert all(fleet.holders(model) for model in MODELS)

    async def test_busy_weight_store_is_not_retried_early(self) -> None:
        """The store answers 429; the sidecar waits as requested before it retries."""
        fleet = Fleet(("m0",), n_sidecars=1)
        orders = fleet.orders["s0"]
        orders.n_busy = 100
        await fleet.rounds(N_STABLE_ROUNDS)
        assert orders.n_busy == 99
        await fleet.rounds(4)
        assert orders.n_busy == 99
        orders.n_busy = 0
        await fleet.rounds(10)
        assert [order.kind for order in orders.given] == [OrderKind.LOAD_MODEL]

    async def test_missing_model_is_loaded_by_an_engine(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(
            "trefoilpaddle.coordination.placing.placement.ROUND_S", 0.01
        )
        engine = Engine(model=EngineModel(models=("base",), load_s=0.0))
        fleet = Fleet(("base", "m0"), n_sidecars=1)
        placement = fleet.placements["s0"]
        async with TestServer(engine.application()) as server:
            http = TargetHttp(url=f"http://127.0.0.1:{server.port}")
            async with http.opened():
                placement.loaded = await read_loaded(http)
                assert placement.loaded == {"base"}
                placement._orders = TargetOrders(
                    http=http,
                    target="t",
                    fencing=Fencing.CHECKED,
                    has_lock=lambda: True,
                    journal=placement._journal,
                )
                running = asyncio.create_task(placement.run())
                async with asyncio.timeout(20.0):
                    while "m0" not in placement.loaded:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)
                running.cancel()
                assert await read_loaded(http) == {"base", "m0"}

    async def test_no_models_listed_means_no_orders(self) -> None:
        fleet = Fleet(())
        fleet.placements["s0"].loaded = frozenset({"base"})
        await fleet.rounds(10)
        assert fleet.n_orders == 0
