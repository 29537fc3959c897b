"""When a gateway that has just started knows who schedules."""

import pytest

from trefoilpaddle.coordination.chain.fleet import (
    SETTLE_AT_MOST_S,
    SETTLE_S,
    Fleet,
)

from .fakes import process
from .test_chain_router import member

STEP_S = 0.05
STRONG = 2150
WEAK = 387


class Rig:
    """A fleet that one gateway sees, and its clock."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s = 100.0
        patch.setattr("time.monotonic", lambda: self.now_s)
        self.fleet = Fleet(process=process("own"), seeds=())

    def hear(self, name: str, incarnation: int, millicores: int) -> None:
        self.fleet.membership.apply_records(
            [member(name, incarnation, millicores=millicores)]
        )

    def settles_after_s(self) -> float:
        """Let weak hosts join every step; return when the gateway is settled."""
        began_s = self.now_s
        number = 100
        while not self.fleet.is_settled():
            number += 1
            self.hear(f"weak{number}", number, WEAK)
            self.now_s += STEP_S
        return self.now_s - began_s


class TestSettled:
    async def test_one_that_knows_nobody_waits_for_as_long_as_it_may(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.now_s += SETTLE_AT_MOST_S
        assert not rig.fleet.is_settled()
        rig.now_s += STEP_S
        assert rig.fleet.is_settled()

    async def test_one_that_is_leaving_alone_knows_nobody(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.fleet.membership.announce_leaving()
        assert not rig.fleet.is_settled()

    # All hosts are back after a loss of power: the strong ones in half a second, the
    # weak ones one after the other for a second more. As each was news, requests that
    # strong hosts had taken stood still for three quarters of a second.
    async def test_weak_hosts_that_come_later_change_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.hear("first", 5, STRONG)
        assert rig.settles_after_s() <= SETTLE_S + 2 * STEP_S

    async def test_one_that_goes_before_them_does(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = Rig(monkeypatch)
        rig.hear("second", 9, STRONG)
        rig.now_s += SETTLE_S
        rig.hear("first", 5, STRONG)
        rig.now_s += SETTLE_S / 2
        assert not rig.fleet.is_settled()
        rig.now_s += SETTLE_S
        assert rig.fleet.is_settled()
