"""When a gateway that has just started knows which gateways schedule the cells."""

import asyncio
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from trefoilpaddle.coordination.chain.fleet import (
    KNOWN_AT_MOST_S,
    KNOWN_POLL_S,
    MIN_RETURN_S,
    RESTART_S,
    RETURN_POLL_S,
    SETTLE_AT_MOST_S,
    SETTLE_S,
    Fleet,
)
from trefoilpaddle.coordination.chain.planned_stop import ACCEPT_STREAMS_S
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.state.members import MemberState
from trefoilpaddle.transport.connection import Address

from .fakes import process
from .test_chain_router import member
from .virtual_time import run_virtual

GRACE_S = 8.0
STEP_S = 0.05
STRONG = 2150
WEAK = 387


class Rig:
    """The fleet as one gateway knows it, and its clock."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        patch.setattr("time.monotonic", lambda: self.now_s)
        self.fleet = Fleet(process=process("own"), seeds=())

    def join(self, name: str, incarnation: int, millicores: int) -> None:
        self.fleet.membership.apply_records(
            [member(name, incarnation, millicores=millicores)]
        )

    def settles_after_s(self) -> float:
        """Let a weak host join in each step; return the time until settled."""
        began_s = self.now_s
        number = 100
        while not self.fleet.is_settled():
            number += 1
            self.join(f"weak{number}", number, WEAK)
            self.now_s += STEP_S
        return self.now_s - began_s


class TestSettled:
    async def test_a_gateway_without_peers_waits_for_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.now_s += SETTLE_AT_MOST_S
        assert not rig.fleet.is_settled()
        rig.now_s += STEP_S
        assert rig.fleet.is_settled()

    async def test_a_leaving_gateway_without_peers_is_not_settled(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.fleet.membership.announce_leaving()
        assert not rig.fleet.is_settled()

    # All hosts are back after a power loss: the strong ones within half a second, the
    # weak ones one after another for a second more. As each of them extended the wait,
    # requests at strong hosts were delayed by three quarters of a second.
    async def test_weak_hosts_that_join_later_do_not_extend_the_wait(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.join("first", 5, STRONG)
        assert rig.settles_after_s() <= SETTLE_S + 2 * STEP_S

    async def test_a_host_that_is_preferred_extends_the_wait(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.join("second", 9, STRONG)
        rig.now_s += SETTLE_S
        rig.join("first", 5, STRONG)
        rig.now_s += SETTLE_S / 2
        assert not rig.fleet.is_settled()
        rig.now_s += SETTLE_S
        assert rig.fleet.is_settled()


class TestKnown:
    def test_it_is_known_once_one_other_gateway_is_on_record(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet(process=process("own"), seeds=())
            waiting = asyncio.create_task(fleet.wait_known())
            await asyncio.sleep(2 * KNOWN_POLL_S)
            assert not waiting.done()
            stopping = replace(member("other", 1), state=MemberState.LEAVING)
            fleet.membership.table.merge([stopping])
            await asyncio.sleep(2 * KNOWN_POLL_S)
            assert waiting.done()

        run_virtual(monkeypatch, scenario())

    def test_a_gateway_without_peers_waits_for_the_limit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams that a lone gateway holds until their deadline.
        async def scenario() -> None:
            fleet = Fleet(process=process("own"), seeds=())
            began_s = time.monotonic()
            await fleet.wait_known()
            assert time.monotonic() - began_s < KNOWN_AT_MOST_S + 2 * KNOWN_POLL_S

        run_virtual(monkeypatch, scenario())


class TestServesElsewhere:
    def test_it_is_at_once_while_another_gateway_is_live(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            fleet = Fleet(process=process("own"), seeds=())
            fleet.membership.apply_records([member("other", 1)])
            fleet.membership.announce_leaving()
            assert fleet.serves_elsewhere_in_s(grace_s=GRACE_S) == 0.0

        run_virtual(monkeypatch, scenario())

    def test_while_all_are_stopping_it_is_the_return_of_the_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against callers that spend their retries while nobody serves.
        async def scenario() -> None:
            fleet = Fleet(process=process("own"), seeds=())
            other = replace(member("other", 1), state=MemberState.LEAVING)
            fleet.membership.apply_records([member("other", 1)])
            fleet.membership.apply_records([other])
            fleet.membership.announce_leaving()
            await asyncio.sleep(ACCEPT_STREAMS_S / 2)
            assert fleet.serves_elsewhere_in_s(grace_s=GRACE_S) == 0.0
            await asyncio.sleep(3.0 - ACCEPT_STREAMS_S / 2)
            assert fleet.serves_elsewhere_in_s(grace_s=GRACE_S) == pytest.approx(
                GRACE_S + RESTART_S - 3.0
            )
            await asyncio.sleep(GRACE_S)
            assert fleet.serves_elsewhere_in_s(grace_s=GRACE_S) >= MIN_RETURN_S

        run_virtual(monkeypatch, scenario())


class ClosedLink:
    """A link to a gateway that has exited."""

    connection = None

    def __init__(self, address: Address) -> None:
        self.address = address
        self.n_dials = 0

    def dial_now(self) -> None:
        self.n_dials += 1

    def is_responsive(self) -> bool:
        return False

    def send(self, message: Message) -> bool:
        return False


class TestReturning:
    def test_a_stopping_gateway_soon_reaches_those_that_start_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway that knows nobody while the last one that could tell
        # it anything waits up to a second for its next try, and exits.
        async def scenario() -> None:
            own = process("own")
            links: dict[Address, ClosedLink] = {}

            def link(address: Address) -> ClosedLink:
                return links.setdefault(address, ClosedLink(address))

            own.peers = SimpleNamespace(link=link, links=links)  # type: ignore[assignment]
            fleet = Fleet(process=own, seeds=())
            stopped = replace(member("other", 1), state=MemberState.LEAVING)
            fleet.membership.apply_records([stopped])
            async with fleet.running():
                await asyncio.sleep(1.0)
                (closed,) = links.values()
                assert not closed.n_dials
                own.stopping.set()
                await asyncio.sleep(1.0)
                assert closed.n_dials >= 1.0 / RETURN_POLL_S - 1

        run_virtual(monkeypatch, scenario())
