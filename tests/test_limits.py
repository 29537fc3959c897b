"""Limits of an entry hold over all gateways, and unused budget is not withheld."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from tests.limits_fleet import DEADLINE_S, ENTRY, LimitsFleet, refusal
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.catalogue import Limits
from trefoilpaddle.state.gateway_shares import (
    REMOVED_GATEWAY_RETENTION_S,
    GatewayShares,
)
from trefoilpaddle.state.hosts import HostList
from trefoilpaddle.state.lease_times import HOLD_S, slot_hold_s

RATE = Limits(rate_per_s=10.0)
SLOTS = Limits(n_concurrent=4)
ONE_SLOT = Limits(n_concurrent=1)
AFTER_HOLD_S = slot_hold_s(DEADLINE_S) + 1.0


class TestHomeReachable:
    async def test_single_active_gateway_gets_the_entire_rate(self) -> None:
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 20) == 10

    async def test_single_active_gateway_gets_all_slots(self) -> None:
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g1", 10) == 4

    async def test_slots_move_to_the_gateway_that_needs_them(self) -> None:
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4, lasts_s=1.0) == 4
        assert await fleet.n_admitted("g1", 1) == 0
        await fleet.run_for(2.0)
        assert await fleet.n_admitted("g1", 4) == 4

    async def test_two_busy_gateways_share_the_slots(self) -> None:
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(40):
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 4, lasts_s=0.4)
            await fleet.run_for(0.5)
        assert min(n_admitted.values()) >= 40

    @pytest.mark.parametrize("name", ["g0", "g1"])
    async def test_limit_of_one_slot(self, name: str) -> None:
        fleet = LimitsFleet(ONE_SLOT)
        await fleet.run_for(1.0)
        assert isinstance(await fleet.request(name, lasts_s=0.5), Ok)
        other = {"g0": "g1", "g1": "g0"}[name]
        error = refusal(await fleet.request(other))
        assert error.reason is Reason.LIMIT_CONCURRENCY
        assert error.retry_after_s > 0
        await fleet.run_for(1.5)
        assert isinstance(await fleet.request(other), Ok)

    async def test_refusal_reason_names_the_limit(self) -> None:
        fleet = LimitsFleet(Limits(rate_per_s=1.0, tokens_per_s=100.0))
        await fleet.run_for(3.0)
        outcomes = [await fleet.request("g0", n_tokens=60) for _ in range(2)]
        assert refusal(outcomes[1]).reason is Reason.LIMIT_RATE
        fleet = LimitsFleet(Limits(rate_per_s=100.0, tokens_per_s=100.0))
        await fleet.run_for(3.0)
        outcomes = [await fleet.request("g0", n_tokens=60) for _ in range(2)]
        error = refusal(outcomes[1])
        assert error.reason is Reason.LIMIT_TOKENS
        assert 0.1 <= error.retry_after_s <= 1.0

    async def test_unused_tokens_are_returned(self) -> None:
        fleet = LimitsFleet(Limits(tokens_per_s=100.0))
        await fleet.run_for(3.0)
        outcome = await fleet.request("g0", n_tokens=90)
        assert isinstance(outcome, Ok)
        fleet.running.clear()
        outcome.ok_value.release(n_tokens=10)
        assert isinstance(await fleet.request("g0", n_tokens=80), Ok)

    async def test_admission_sends_no_message_while_budget_is_held(self) -> None:
        fleet = LimitsFleet(Limits(rate_per_s=1000.0))
        for _ in range(6):
            await fleet.n_admitted("g0", 100)
            await fleet.run_for(0.5)
        limiter = fleet.limiters["g0"]
        for _ in range(50):
            admission = limiter.admit(ENTRY, fleet.entry, 0)
            with pytest.raises(StopIteration):
                admission.send(None)

    async def test_leaving_gateway_frees_its_share(self) -> None:
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        await fleet.limiters["g1"].leave()
        fleet.advance_time(60.0)
        await fleet.run_for(3.0, "g0")
        assert await fleet.n_admitted("g0", 20) == 10


class TestHomeLost:
    async def test_each_gateway_keeps_its_share(self) -> None:
        """The home of the entry crashes; each gateway continues with its half."""
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        fleet.net.handlers.pop(fleet.address(fleet.home_name()))
        await fleet.run_for(HOLD_S + 2.0)
        assert await fleet.n_admitted("g0", 20) == 5
        assert await fleet.n_admitted("g1", 20) == 5

    async def test_leased_share_is_not_used_right_after_the_loss(self) -> None:
        """A gateway does not use its share at once if it may be leased elsewhere.

        The home crashes right after it leased all slots to the other gateway.
        """
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.net.handlers.pop(fleet.address(fleet.home_name()))
        await fleet.run_for(4.0)
        assert await fleet.n_admitted("g1", 4) == 0
        await fleet.run_for(AFTER_HOLD_S)
        assert await fleet.n_admitted("g1", 4) == 2

    async def test_restarted_home_leases_no_slot_twice(self) -> None:
        """The home loses the record that one gateway uses all slots."""
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.start(fleet.host_of(fleet.home_name()))
        await fleet.run_for(1.0)
        assert await fleet.n_admitted("g1", 4) == 0

    async def test_resumed_home_ignores_stale_lease_requests(self) -> None:
        """The home is paused for so long that its gateways use their own shares.

        When it resumes, it receives their old lease requests. It must not treat
        these gateways as delegating and lease the share of one to the other.
        """
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        home = fleet.address(fleet.home_name())
        fleet.net.paused.add(home)
        await fleet.run_for(AFTER_HOLD_S)
        assert await fleet.n_admitted("g1", 4, lasts_s=100.0) == 2
        await fleet.net.resume(home)
        await fleet.exchange("g0")
        assert await fleet.n_admitted("g0", 4, lasts_s=100.0) == 2


class TestGatewayLost:
    async def test_resumed_gateway_does_not_use_its_expired_lease(self) -> None:
        """A gateway is paused for 10 s while it holds all slots and uses none.

        The home has leased them to the other gateway in the meantime. The resumed
        gateway must not use them.
        """
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4, lasts_s=0.1) == 4
        await fleet.run_for(0.5)
        await fleet.run_for(10.0, "g1")
        n_other = await fleet.n_admitted("g1", 8)
        assert n_other >= 2
        limiter = fleet.limiters["g0"]
        fleet.partition("g0")
        tries = [limiter.admit(ENTRY, fleet.entry, 0) for _ in range(8)]
        admissions = await asyncio.gather(*tries)
        n_resumed = sum(isinstance(outcome, Ok) for outcome in admissions)
        assert n_resumed + n_other <= 4

    async def test_partitioned_gateway_with_running_requests(self) -> None:
        """A gateway that uses all slots loses the home; its requests still run."""
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.partition("g0")
        await fleet.run_for(4.0)
        assert await fleet.n_admitted("g1", 4) == 0
        await fleet.run_for(4.0)
        assert await fleet.n_admitted("g1", 4) == 2

    async def test_rate_holds_right_after_a_partition(self) -> None:
        """The home still refills for a gateway whose lease requests have stopped.

        The partitioned gateway must not use its own share before the home stops
        refilling for it.
        """
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        n_admitted = await fleet.n_admitted("g0", 20)
        fleet.partition("g1")
        for _ in range(8):
            await fleet.run_for(0.25, step_s=0.25)
            n_admitted += await fleet.n_admitted("g0", 10)
            n_admitted += await fleet.n_admitted("g1", 10)
        assert n_admitted <= 10 + 2 * 10 + 3

    async def test_rate_holds_on_both_sides_of_a_partition(self) -> None:
        """One gateway is partitioned from all homes; both sides admit requests."""
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        fleet.partition("g1")
        await fleet.run_for(10.0)
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(20):
            await fleet.run_for(0.5)
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 10)
        assert 50 <= n_admitted["g0"] <= 56
        assert 50 <= n_admitted["g1"] <= 56

    async def test_share_of_an_unlisted_gateway_is_kept_for_a_while(self) -> None:
        """The host list drops a gateway that is partitioned but still works."""
        fleet = LimitsFleet(RATE)
        await fleet.run_for(3.0)
        fleet.partition("g1")
        fleet.replace_hosts(fleet.hosts_without("g1"))
        fleet.deliver_list("g0", *(name for name in fleet.published if name[0] == "s"))
        await fleet.run_for(10.0)
        assert await fleet.n_admitted("g0", 20) == 5
        fleet.advance_time(REMOVED_GATEWAY_RETENTION_S)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 20) == 10


class TestTwoHomes:
    async def test_gateways_with_different_lists(self) -> None:
        """The list drops the home, which still runs; one gateway has the old list."""
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        fleet.replace_hosts(fleet.hosts_without(fleet.home_name()))
        fleet.deliver_list("g1", *(name for name in fleet.published if name[0] == "s"))
        await fleet.run_for(AFTER_HOLD_S)
        n_admitted = await fleet.n_admitted("g0", 8) + await fleet.n_admitted("g1", 8)
        assert n_admitted <= 4

    async def test_old_home_and_one_gateway_have_the_old_list(self) -> None:
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        old = fleet.home_name()
        fleet.replace_hosts(fleet.hosts_without(old))
        fleet.deliver_list("g1", fleet.home_name())
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(15):
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 4)
                assert len(fleet.running) <= 4
            await fleet.run_for(2.0)
        assert min(n_admitted.values()) >= 2

    async def test_idle_entry_changes_its_home_without_a_gap(self) -> None:
        """The home of an idle entry changes; the new home grants at once."""
        fleet = LimitsFleet(SLOTS)
        await fleet.run_for(3.0)
        fleet.replace_hosts(fleet.hosts_without(fleet.home_name()))
        fleet.deliver_list(*fleet.published)
        await fleet.run_for(1.5)
        assert await fleet.n_admitted("g0", 8) == 4


class TestShares:
    def test_slot_shares_add_up_to_the_limit(self) -> None:
        fleet = LimitsFleet(ONE_SLOT, n_gateways=3)
        shares = GatewayShares()
        shares.set_hosts(HostList(revision=1, hosts=tuple(fleet.hosts)))
        for limit in range(12):
            assert sum(shares.slot_shares("e", limit).values()) == limit


STEP_TEXT = (
    "request request burst burst end age age age turn turn live pause wake cut heal "
    "restart drop add tell lossy"
)
STEP_NAMES = STEP_TEXT.split()

STEPS = st.lists(
    st.tuples(st.sampled_from(STEP_NAMES), st.integers(0, 11)),
    min_size=10,
    max_size=60,
)


class Schedule:
    """Runs random steps on a fleet."""

    def __init__(self, limits: Limits, seed: int) -> None:
        self.fleet = LimitsFleet(limits, n_gateways=3, seed=seed)
        self.sidecars = [h for h in self.fleet.hosts if h.role == "sidecar"]

    async def run_step(self, step: str, n: int) -> None:
        fleet = self.fleet
        gateway = f"g{n % 3}"
        sidecar = self.sidecars[n % len(self.sidecars)]
        match step:
            case "request":
                await fleet.request(gateway, lasts_s=n % 5 + 0.5)
            case "burst":
                await fleet.n_admitted(gateway, 6)
            case "end" if fleet.running:
                fleet.finish(fleet.running[n % len(fleet.running)])
            case "age":
                fleet.advance_time(0.1 + n**2 / 12)
            case "turn":
                await fleet.exchange(gateway)
            case "live":
                await fleet.run_for(n / 2, *(f"g{i}" for i in range(3) if i != n % 3))
            case "pause":
                fleet.net.paused.add(sidecar.peer_address)
            case "wake":
                for address in sorted(fleet.net.paused):
                    await fleet.net.resume(address)
            case "cut":
                pair = {fleet.address(gateway), sidecar.peer_address}
                fleet.net.partitioned.add(frozenset(pair))
            case "heal":
                fleet.net.partitioned.clear()
            case "restart":
                fleet.net.paused.discard(sidecar.peer_address)
                fleet.start(sidecar)
            case "drop" if len(fleet.hosts) > 5 and sidecar in fleet.hosts:
                fleet.replace_hosts(fleet.hosts_without(sidecar.name))
            case "add" if sidecar not in fleet.hosts:
                fleet.replace_hosts([*fleet.hosts, sidecar])
            case "tell":
                names = sorted(fleet.published)
                fleet.deliver_list(
                    *(name for i, name in enumerate(names) if i % 4 != n % 4)
                )
            case "lossy":
                fleet.net.reply_loss_share = n / 30


class TestSchedules:
    @given(steps=STEPS, seed=st.integers(0, 1000))
    def test_concurrency_limit_holds(
        self, steps: list[tuple[str, int]], seed: int
    ) -> None:
        """Random requests, pauses, partitions, restarts, list changes, clock skew.

        There are never more requests running than the entry allows.
        """

        async def run_schedule() -> None:
            schedule = Schedule(SLOTS, seed)
            for step, n in steps:
                await schedule.run_step(step, n)
                assert len(schedule.fleet.running) <= 4

        asyncio.run(run_schedule())

    @given(steps=STEPS, seed=st.integers(0, 1000))
    def test_rate_limit_holds(self, steps: list[tuple[str, int]], seed: int) -> None:
        """Any time span admits at most its length times the rate, plus a burst."""

        async def run_schedule() -> None:
            schedule = Schedule(RATE, seed)
            for step, n in steps:
                await schedule.run_step(step, n)
            times = schedule.fleet.admitted_s
            for first, begin_s in enumerate(times):
                for last in range(first, len(times)):
                    span_s = times[last] - begin_s
                    most = 10.0 * span_s * 1.02 + 10.0 + 3
                    assert last - first + 1 <= most, (begin_s, span_s)

        asyncio.run(run_schedule())
