"""Orders to evacuate a failure domain reach every gateway, whatever it can read."""

import asyncio
from collections.abc import Callable
from typing import Final

import pytest

from trefoilpaddle.coordination.published.store_feed import POLL_S
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews
from trefoilpaddle.state.journal import Event

from ..chain.fakes import worker
from ..chain.virtual_time import run_virtual
from .store_network import STEP_S, Gateway, Network

N_GATEWAYS: Final = 23
EVACUATION_S: Final = 5.0
"""Time within which an order must be in force; see `evacuation_ms` of the platform."""

GOAL_S: Final = EVACUATION_S / 2
USUAL_S: Final = 1.0
"""Time within which an order is in force at gateways that receive updates."""

HERE: Final = frozenset({"here"})


async def times_until_s(
    network: Network, domains: frozenset[str], *, among: list[Gateway] | None = None
) -> list[float]:
    """Return the time until each gateway knows exactly these evacuated domains."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    waiting = list(network.gateways if among is None else among)
    times_s: list[float] = []
    while waiting:
        assert loop.time() - began_s < 2 * EVACUATION_S
        await asyncio.sleep(STEP_S)
        known = [gateway for gateway in waiting if gateway.workers.evacuated == domains]
        times_s += [loop.time() - began_s] * len(known)
        waiting = [gateway for gateway in waiting if gateway not in known]
    return times_s


def disconnect_a_third(network: Network) -> None:
    for gateway in network.gateways[::3]:
        gateway.is_disconnected = True


def disconnect_the_readers(network: Network) -> None:
    for gateway in network.gateways[:2]:
        gateway.is_disconnected = True


def stop_the_readers(network: Network) -> None:
    for number in (0, 1):
        network.stop(number)
        network.remove_member(number)
    del network.gateways[:2]


def forget_history(network: Network) -> None:
    network.store.forget_history()


def restart_a_third(network: Network) -> None:
    for number in range(0, N_GATEWAYS, 3):
        network.restart(number)


FAULTS: Final = (
    disconnect_a_third,
    disconnect_the_readers,
    stop_the_readers,
    forget_history,
    restart_a_third,
)


class TestSpread:
    # Guards against requests to workers of a failure domain that was to get none.
    @pytest.mark.parametrize("fault", FAULTS, ids=lambda each: each.__name__)
    def test_an_order_and_its_end_reach_all_gateways_in_time(
        self, monkeypatch: pytest.MonkeyPatch, fault: Callable[[Network], None]
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            network.store.evacuate("here")
            fault(network)
            assert max(await times_until_s(network, HERE)) <= GOAL_S
            network.store.end_evacuation("here")
            assert max(await times_until_s(network, frozenset())) <= GOAL_S

        run_virtual(monkeypatch, scenario())

    # Guards against an order that only waits for the next reads of the store.
    def test_it_is_in_force_within_one_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            with network.reads() as reads:
                network.store.evacuate("here")
                assert max(await times_until_s(network, HERE)) <= USUAL_S
            assert len(reads) <= 2

        run_virtual(monkeypatch, scenario())

    # Guards against orders that replace one another instead of adding up.
    def test_several_failure_domains_are_evacuated_together(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            network.store.evacuate("here")
            network.store.evacuate("there")
            await times_until_s(network, frozenset({"here", "there"}))
            network.store.end_evacuation("here")
            await times_until_s(network, frozenset({"there"}))

        run_virtual(monkeypatch, scenario())

    # Guards against a failure domain that stays excluded without an order.
    def test_an_order_that_is_removed_at_once_leaves_nothing_behind(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            disconnect_a_third(network)
            for _ in range(10):
                network.store.evacuate("here")
                await asyncio.sleep(0.17)
                network.store.end_evacuation("here")
                await asyncio.sleep(0.11)
            await asyncio.sleep(USUAL_S)
            assert {g.workers.evacuated for g in network.gateways} == {frozenset()}

        run_virtual(monkeypatch, scenario())


class TestFirstList:
    # Guards against gateways that use a failure domain evacuated before they started.
    def test_an_order_stands_in_the_first_list(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            network.store.evacuate("here")
            await network.start()
            assert {g.workers.evacuated for g in network.gateways} == {HERE}
            assert not network.gateways[0].workers.usable(worker("any").service)

        run_virtual(monkeypatch, scenario())

    # Guards against a gateway that starts without the store and learns only workers.
    def test_a_gateway_that_the_store_refuses_learns_it_from_peers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            network.store.evacuate("here")
            await times_until_s(network, HERE)
            network.gateways[-1].n_disconnects = 1
            network.restart(N_GATEWAYS - 1)
            await times_until_s(network, HERE, among=network.gateways[-1:])

        run_virtual(monkeypatch, scenario())


class TestRestore:
    # Guards against an order that a store restored from an earlier backup has lost.
    def test_an_order_that_the_backup_lacks_stands_until_it_is_removed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            backup = network.store.back_up()
            network.store.evacuate("here")
            await times_until_s(network, HERE)
            network.store.restore_from(backup)
            for _ in range(int(EVACUATION_S / POLL_S)):
                network.store.heartbeat()
                await asyncio.sleep(POLL_S)
            assert {g.workers.evacuated for g in network.gateways} == {HERE}
            network.store.evacuate("here")
            network.store.end_evacuation("here")
            await times_until_s(network, frozenset())

        run_virtual(monkeypatch, scenario())


class TestRecords:
    # Guards against an exclusion that operators cannot explain.
    def test_each_gateway_records_an_order_and_its_end_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(N_GATEWAYS)
            await network.start()
            network.store.evacuate("here")
            await times_until_s(network, HERE)
            network.store.end_evacuation("here")
            await times_until_s(network, frozenset())
            await asyncio.sleep(USUAL_S)
            for gateway in network.gateways:
                decisions = [each.decision for each in gateway.records.recent()]
                found = [
                    (each.event, each.detail)
                    for each in decisions
                    if each.event in (Event.DOMAIN_EVACUATED, Event.DOMAIN_RETURNED)
                ]
                assert found == [
                    (Event.DOMAIN_EVACUATED, "here"),
                    (Event.DOMAIN_RETURNED, "here"),
                ]

        run_virtual(monkeypatch, scenario())


class TestEarlierBuild:
    # Guards against orders that readers of an earlier build leave out.
    def test_updates_that_name_no_orders_are_not_relied_on(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(4)
            await network.start()
            reader, *_, last = network.gateways
            network.store.evacuate("here")
            network.store.heartbeat()
            position = network.store.position
            digest = last.workers.digest
            update = StoreNews(
                base_revision=reader.feed.position.revision,
                revision=position.revision,
                version=last.version,
                digest=digest.entries,
            )
            for gateway in network.gateways[:3]:
                gateway.is_stopped = True
            last.receive(update)
            assert last.feed.position < position
            await times_until_s(network, HERE, among=[last])

        run_virtual(monkeypatch, scenario())
