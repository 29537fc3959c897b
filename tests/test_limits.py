"""Limits of an entry hold over all gateways together, and none waits in vain."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from tests.limits_fleet import DEADLINE_S, ENTRY, LimitsFleet, refusal
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.catalogue import Limits
from trefoilpaddle.state.gateway_shares import FORGET_GATEWAY_S, GatewayShares
from trefoilpaddle.state.hosts import HostList
from trefoilpaddle.state.lease_times import HOLD_S, slot_hold_s

RATE = Limits(rate_per_s=10.0)
PLACES = Limits(n_concurrent=4)
ONE = Limits(n_concurrent=1)
LONG_S = slot_hold_s(DEADLINE_S) + 1.0


class TestInTouch:
    async def test_one_gateway_gets_the_whole_rate(self) -> None:
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 20) == 10

    async def test_one_gateway_gets_all_places(self) -> None:
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g1", 10) == 4

    async def test_places_move_to_the_gateway_that_needs_them(self) -> None:
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4, lasts_s=1.0) == 4
        assert await fleet.n_admitted("g1", 1) == 0
        await fleet.live(2.0)
        assert await fleet.n_admitted("g1", 4) == 4

    async def test_two_busy_gateways_share(self) -> None:
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(40):
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 4, lasts_s=0.4)
            await fleet.live(0.5)
        assert min(n_admitted.values()) >= 40

    @pytest.mark.parametrize("name", ["g0", "g1"])
    async def test_a_limit_of_one_place(self, name: str) -> None:
        fleet = LimitsFleet(ONE)
        await fleet.live(1.0)
        assert isinstance(await fleet.request(name, lasts_s=0.5), Ok)
        other = {"g0": "g1", "g1": "g0"}[name]
        error = refusal(await fleet.request(other))
        assert error.reason is Reason.LIMIT_CONCURRENCY
        assert error.retry_after_s > 0
        await fleet.live(1.5)
        assert isinstance(await fleet.request(other), Ok)

    async def test_refusals_name_the_limit(self) -> None:
        fleet = LimitsFleet(Limits(rate_per_s=1.0, tokens_per_s=100.0))
        await fleet.live(3.0)
        outcomes = [await fleet.request("g0", n_tokens=60) for _ in range(2)]
        assert refusal(outcomes[1]).reason is Reason.LIMIT_RATE
        fleet = LimitsFleet(Limits(rate_per_s=100.0, tokens_per_s=100.0))
        await fleet.live(3.0)
        outcomes = [await fleet.request("g0", n_tokens=60) for _ in range(2)]
        error = refusal(outcomes[1])
        assert error.reason is Reason.LIMIT_TOKENS
        assert 0.1 <= error.retry_after_s <= 1.0

    async def test_unused_tokens_are_given_back(self) -> None:
        fleet = LimitsFleet(Limits(tokens_per_s=100.0))
        await fleet.live(3.0)
        outcome = await fleet.request("g0", n_tokens=90)
        assert isinstance(outcome, Ok)
        fleet.running.clear()
        outcome.ok_value.release(n_tokens=10)
        assert isinstance(await fleet.request("g0", n_tokens=80), Ok)

    async def test_no_message_while_budget_is_in_hand(self) -> None:
        fleet = LimitsFleet(Limits(rate_per_s=1000.0))
        for _ in range(6):
            await fleet.n_admitted("g0", 100)
            await fleet.live(0.5)
        limiter = fleet.limiters["g0"]
        for _ in range(50):
            admission = limiter.admit(ENTRY, fleet.entry, 0)
            with pytest.raises(StopIteration):
                admission.send(None)

    async def test_leaving_gateway_frees_its_share(self) -> None:
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        await fleet.limiters["g1"].leave()
        fleet.age(60.0)
        await fleet.live(3.0, "g0")
        assert await fleet.n_admitted("g0", 20) == 10


class TestHomeLost:
    async def test_each_gateway_keeps_its_share(self) -> None:
        """The entry's home dies; its gateways go on with half of the limit each."""
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        fleet.net.answerers.pop(fleet.address(fleet.home()))
        await fleet.live(HOLD_S + 2.0)
        assert await fleet.n_admitted("g0", 20) == 5
        assert await fleet.n_admitted("g1", 20) == 5

    async def test_nothing_extra_just_after_the_loss(self) -> None:
        """A gateway that had lent its share does not use it at once.

        The home dies right after it lent everything to the other gateway.
        """
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.net.answerers.pop(fleet.address(fleet.home()))
        await fleet.live(4.0)
        assert await fleet.n_admitted("g1", 4) == 0
        await fleet.live(LONG_S)
        assert await fleet.n_admitted("g1", 4) == 2

    async def test_restarted_home_lends_nothing_twice(self) -> None:
        """The home forgets that one gateway has all places in use."""
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.start(fleet.host_of(fleet.home()))
        await fleet.live(1.0)
        assert await fleet.n_admitted("g1", 4) == 0

    async def test_paused_home_wakes_among_old_asks(self) -> None:
        """The home stands still for long; its gateways go over to their shares.

        Woken, it finds their asks of then in its sockets. It must not take them
        for gateways that rely on it and lend one's share to the other.
        """
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        home = fleet.address(fleet.home())
        fleet.net.paused.add(home)
        await fleet.live(LONG_S)
        assert await fleet.n_admitted("g1", 4, lasts_s=100.0) == 2
        await fleet.net.wake(home)
        await fleet.turn("g0")
        assert await fleet.n_admitted("g0", 4, lasts_s=100.0) == 2


class TestGatewayLost:
    async def test_paused_gateway_wakes_with_an_old_lease(self) -> None:
        """A gateway stands still for 10 s while it holds all places, unused.

        The home has lent them to the other. The woken one must not use them.
        """
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4, lasts_s=0.1) == 4
        await fleet.live(0.5)
        await fleet.live(10.0, "g1")
        n_other = await fleet.n_admitted("g1", 8)
        assert n_other >= 2
        limiter = fleet.limiters["g0"]
        fleet.cut("g0")
        tries = [limiter.admit(ENTRY, fleet.entry, 0) for _ in range(8)]
        admissions = await asyncio.gather(*tries)
        n_woken = sum(isinstance(outcome, Ok) for outcome in admissions)
        assert n_woken + n_other <= 4

    async def test_cut_off_with_requests_running(self) -> None:
        """A gateway that uses all places loses the home; its requests go on."""
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        fleet.cut("g0")
        await fleet.live(4.0)
        assert await fleet.n_admitted("g1", 4) == 0
        await fleet.live(4.0)
        assert await fleet.n_admitted("g1", 4) == 2

    async def test_just_after_the_cut(self) -> None:
        """The home still counts on a gateway that it hears no more.

        Until it stops, it refills for both; the cut gateway must wait for that
        before it uses its own share.
        """
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        n_admitted = await fleet.n_admitted("g0", 20)
        fleet.cut("g1")
        for _ in range(8):
            await fleet.live(0.25, step_s=0.25)
            n_admitted += await fleet.n_admitted("g0", 10)
            n_admitted += await fleet.n_admitted("g1", 10)
        assert n_admitted <= 10 + 2 * 10 + 3

    async def test_partition(self) -> None:
        """One gateway is cut off from all homes; both sides keep taking work."""
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        fleet.cut("g1")
        await fleet.live(10.0)
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(20):
            await fleet.live(0.5)
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 10)
        assert 50 <= n_admitted["g0"] <= 56
        assert 50 <= n_admitted["g1"] <= 56

    async def test_dropped_from_the_list_while_alive(self) -> None:
        """The platform drops a gateway that is cut off and still works."""
        fleet = LimitsFleet(RATE)
        await fleet.live(3.0)
        fleet.cut("g1")
        fleet.relist(fleet.without("g1"))
        fleet.tell("g0", *(name for name in fleet.published if name[0] == "s"))
        await fleet.live(10.0)
        assert await fleet.n_admitted("g0", 20) == 5
        fleet.age(FORGET_GATEWAY_S)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 20) == 10


class TestTwoHomes:
    async def test_gateways_with_different_lists(self) -> None:
        """The list drops the home, which lives on; one gateway has not heard."""
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        fleet.relist(fleet.without(fleet.home()))
        fleet.tell("g1", *(name for name in fleet.published if name[0] == "s"))
        await fleet.live(LONG_S)
        n_admitted = await fleet.n_admitted("g0", 8) + await fleet.n_admitted("g1", 8)
        assert n_admitted <= 4

    async def test_old_home_has_not_heard_either(self) -> None:
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        assert await fleet.n_admitted("g0", 4) == 4
        old = fleet.home()
        fleet.relist(fleet.without(old))
        fleet.tell("g1", fleet.home())
        n_admitted = {"g0": 0, "g1": 0}
        for _ in range(15):
            for name in n_admitted:
                n_admitted[name] += await fleet.n_admitted(name, 4)
                assert len(fleet.running) <= 4
            await fleet.live(2.0)
        assert min(n_admitted.values()) >= 2

    async def test_move_without_a_gap(self) -> None:
        """An idle entry's home changes; the new one serves at once."""
        fleet = LimitsFleet(PLACES)
        await fleet.live(3.0)
        fleet.relist(fleet.without(fleet.home()))
        fleet.tell(*fleet.published)
        await fleet.live(1.5)
        assert await fleet.n_admitted("g0", 8) == 4


class TestShares:
    def test_places_add_up_to_the_limit(self) -> None:
        fleet = LimitsFleet(ONE, n_gateways=3)
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
    """Plays random steps on a fleet."""

    def __init__(self, limits: Limits, seed: int) -> None:
        self.fleet = LimitsFleet(limits, n_gateways=3, seed=seed)
        self.sidecars = [h for h in self.fleet.hosts if h.role == "sidecar"]

    async def play(self, step: str, n: int) -> None:
        fleet = self.fleet
        gateway = f"g{n % 3}"
        sidecar = self.sidecars[n % len(self.sidecars)]
        match step:
            case "request":
                await fleet.request(gateway, lasts_s=n % 5 + 0.5)
            case "burst":
                await fleet.n_admitted(gateway, 6)
            case "end" if fleet.running:
                fleet.end(fleet.running[n % len(fleet.running)])
            case "age":
                fleet.age(0.1 + n**2 / 12)
            case "turn":
                await fleet.turn(gateway)
            case "live":
                await fleet.live(n / 2, *(f"g{i}" for i in range(3) if i != n % 3))
            case "pause":
                fleet.net.paused.add(sidecar.peer_address)
            case "wake":
                for address in sorted(fleet.net.paused):
                    await fleet.net.wake(address)
            case "cut":
                pair = {fleet.address(gateway), sidecar.peer_address}
                fleet.net.cut.add(frozenset(pair))
            case "heal":
                fleet.net.cut.clear()
            case "restart":
                fleet.net.paused.discard(sidecar.peer_address)
                fleet.start(sidecar)
            case "drop" if len(fleet.hosts) > 5 and sidecar in fleet.hosts:
                fleet.relist(fleet.without(sidecar.name))
            case "add" if sidecar not in fleet.hosts:
                fleet.relist([*fleet.hosts, sidecar])
            case "tell":
                names = sorted(fleet.published)
                fleet.tell(*(name for i, name in enumerate(names) if i % 4 != n % 4))
            case "lossy":
                fleet.net.lose_reply_share = n / 30


class TestSchedules:
    @given(steps=STEPS, seed=st.integers(0, 1000))
    def test_places_hold(self, steps: list[tuple[str, int]], seed: int) -> None:
        """Random requests, pauses, cuts, restarts, list changes, skewed clocks.

        Never are more requests running than the entry allows.
        """

        async def play() -> None:
            schedule = Schedule(PLACES, seed)
            for step, n in steps:
                await schedule.play(step, n)
                assert len(schedule.fleet.running) <= 4

        asyncio.run(play())

    @given(steps=STEPS, seed=st.integers(0, 1000))
    def test_rate_holds(self, steps: list[tuple[str, int]], seed: int) -> None:
        """In any span, at most the rate times the span and a burst are admitted."""

        async def play() -> None:
            schedule = Schedule(RATE, seed)
            for step, n in steps:
                await schedule.play(step, n)
            times = schedule.fleet.admitted_s
            for first, begin_s in enumerate(times):
                for last in range(first, len(times)):
                    span_s = times[last] - begin_s
                    most = 10.0 * span_s * 1.02 + 10.0 + 3
                    assert last - first + 1 <= most, (begin_s, span_s)

        asyncio.run(play())
