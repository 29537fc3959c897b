"""Gateways that start together, some of which listen later, find one another."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.fleet import (
    DISCOVERY_PERIOD_S,
    KNOWN_AT_MOST_S,
    MAX_DISCOVERY_PERIOD_S,
    Fleet,
)
from trefoilpaddle.coordination.members import membership
from trefoilpaddle.protocol.gen.membership.ttypes import Gossip, GossipAnswer
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.state.members import MemberState
from trefoilpaddle.transport.connection import Address

from .fakes import journal
from .test_chain_router import member
from .virtual_time import run_virtual

START_GAP_S = 0.3
"""Longest time between the starts of two gateways."""


class Network:
    """Gateways by address; those that listen answer at once.

    Attributes
    ----------
    contacted_s : dict of str to list of float
        Times at which a temporary link to an address was made.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.listening: dict[str, Fleet] = {}
        self.contacted_s: dict[str, list[float]] = {}
        patch.setattr(membership, "probe_link", self._probe)

    def fleet(self, name: str, *, seeds: tuple[str, ...]) -> Fleet:
        identity = Identity(
            process_id=name,
            incarnation=len(name),
            role="gateway",
            failure_domain="here",
            region="there",
        )
        process = Process(identity=identity, listen=address_of(name), journal=journal())
        links: dict[Address, Any] = {}
        process.peers = SimpleNamespace(  # type: ignore[assignment]
            links=links,
            link=lambda address: links.setdefault(address, PeerLink(self, address)),
        )
        return Fleet(process=process, seeds=tuple(str(address_of(s)) for s in seeds))

    @asynccontextmanager
    async def _probe(self, _: object, address: Address) -> AsyncIterator["PeerLink"]:
        now_s = asyncio.get_running_loop().time()
        self.contacted_s.setdefault(str(address), []).append(now_s)
        yield PeerLink(self, address)


class PeerLink:
    """A link that is open while the gateway at its address listens."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self.address = address
        self.peer = None

    @property
    def connection(self) -> "PeerLink | None":
        return self if str(self.address) in self._network.listening else None

    @property
    def opened(self) -> asyncio.Event:
        event = asyncio.Event()
        if self.connection is not None:
            event.set()
        return event

    async def ask(self, request: Gossip, *, timeout_s: float) -> Result[Any, str]:
        fleet = self._network.listening.get(str(self.address))
        if fleet is None:
            await asyncio.sleep(timeout_s)
            return Err("no connection")
        answer = await fleet.membership.answer(request, None)  # type: ignore[arg-type]
        assert isinstance(answer, GossipAnswer)
        return Ok(answer)

    def send(self, message: Gossip) -> bool:
        fleet = self._network.listening.get(str(self.address))
        if fleet is not None:
            fleet.membership._on_peer_message(None, message)  # type: ignore[arg-type]
        return fleet is not None

    def is_responsive(self) -> bool:
        return self.connection is not None

    def is_idle(self, idle_s: float) -> bool:
        return False

    def dial_now(self) -> None:
        """Do nothing; the link opens by itself."""


def address_of(name: str) -> Address:
    return Address(ip="127.0.0.1", port=100 + int(name.removeprefix("g")))


def known(fleet: Fleet) -> set[str]:
    return {each.process_id for each in fleet.live()}


class TestLateListener:
    @pytest.mark.parametrize("late_s", [0.05, START_GAP_S, 1.0, 10.0])
    def test_a_seed_that_listens_after_others_have_met_is_found(
        self, monkeypatch: pytest.MonkeyPatch, late_s: float
    ) -> None:
        # Guards against two groups that both take all duties for seconds.
        async def scenario() -> None:
            network = Network(monkeypatch)
            seeds: dict[str, tuple[str, ...]] = {"g1": ("g0",), "g2": ("g0", "g1")}
            fleets = {
                name: network.fleet(name, seeds=seeds.get(name, ()))
                for name in ("g0", "g1", "g2")
            }
            async with AsyncExitStack() as running:
                for name in ("g1", "g2", "g0"):
                    if name == "g0":
                        await asyncio.sleep(late_s)
                        assert known(fleets["g1"]) == {"g1", "g2"}
                    network.listening[str(address_of(name))] = fleets[name]
                    await running.enter_async_context(fleets[name].running())
                await asyncio.sleep(KNOWN_AT_MOST_S)
                assert all(known(each) == set(fleets) for each in fleets.values())

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("n_gateways", [2, 400])
    def test_a_seed_that_is_gone_is_contacted_less_often_by_a_larger_fleet(
        self, monkeypatch: pytest.MonkeyPatch, n_gateways: int
    ) -> None:
        # Guards against a flood of connections to a host that has been replaced.
        async def scenario() -> None:
            network = Network(monkeypatch)
            fleet = network.fleet("g1", seeds=("g0",))
            fleet.membership.apply_records(
                member(f"g{number}", number) for number in range(2, n_gateways + 1)
            )
            assert len(fleet.live()) == n_gateways
            async with fleet.running():
                await asyncio.sleep(60.0)
            period_s = min(MAX_DISCOVERY_PERIOD_S, n_gateways * DISCOVERY_PERIOD_S)
            per_s = 1.0 / period_s + 1.0 / membership.COMPARE_PERIOD_S
            assert len(network.contacted_s[str(address_of("g0"))]) < 1.3 * 60.0 * per_s

        run_virtual(monkeypatch, scenario())

    def test_a_gateway_that_stops_is_left_to_its_link(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against exchanges of all members with each gateway that stops.
        fleet = Network(monkeypatch).fleet("g1", seeds=("g0",))
        address = str(address_of("g0"))
        assert fleet.membership.unrecorded_addresses() == [address]
        stopping = replace(member("g0", 1), address=address, state=MemberState.LEAVING)
        fleet.membership.apply_records([stopping])
        assert fleet.membership.unrecorded_addresses() == []
        assert fleet.membership.unknown_addresses() == [address]
