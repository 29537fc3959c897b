"""Request keys: one try runs, whichever gateway a retry comes to."""

import asyncio

from tests.claims_fleet import WINDOW_S, Fleet, host
from trefoilpaddle.coordination.claims.claim_outcomes import (
    Answered,
    InProgress,
    Key,
    KeyGranted,
    account_key,
)
from trefoilpaddle.coordination.claims.claim_registry import FORMER_LIST_RETENTION_S
from trefoilpaddle.protocol.errors import NotRun, Unknown
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.claim_table import (
    MAX_RESULT_BYTES,
    ClaimRecord,
    ClaimTable,
)


async def granted(fleet: Fleet, name: str, key: Key | str) -> KeyGranted:
    outcome = await fleet.members[name].claim(key)
    assert isinstance(outcome, KeyGranted)
    return outcome


class TestRetryElsewhere:
    async def test_while_the_first_try_works(self) -> None:
        """A caller times out early and retries at the other gateway.

        The first gateway still runs the request. The retry must neither run it
        again nor be told that it did not run.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == InProgress(request_id=first.request_id, gateway="g1-gateway")

    async def test_waits_for_the_first_try(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        retry = asyncio.create_task(fleet.members["g2"].claim("k", wait_s=5.0))
        await asyncio.sleep(0)
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"whole")
        assert await retry == Answered(request_id=first.request_id, result=b"whole")

    async def test_after_it_finished(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"whole")
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_answer_too_large_to_keep(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        large = bytes(MAX_RESULT_BYTES + 1)
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=large)
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=None)

    async def test_not_run_frees_the_key(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.members["g1"].claimer.settle(first, is_run=False)
        await granted(fleet, "g2", "k")

    async def test_key_reused_with_another_body(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        outcome = await fleet.members["g2"].claim("k", fingerprint=8)
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.KEY_REUSED

    async def test_two_gateways_at_once(self) -> None:
        for seed in range(20):
            fleet = Fleet(seed=seed)
            outcomes = await asyncio.gather(
                fleet.members["g1"].claim("k"), fleet.members["g2"].claim("k")
            )
            assert sum(isinstance(o, KeyGranted) for o in outcomes) <= 1


class TestLostHome:
    async def test_answer_survives_the_home(self) -> None:
        """The host of the key's first place dies after the answer was given.

        The caller did not get the answer and retries elsewhere. The second
        place kept it, so the caller gets it although the home is gone.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"whole")
        fleet.kill(fleet.pair("k")[0])
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_first_try_still_works(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        fleet.kill(fleet.pair("k")[0])
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_both_places_gone(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        for name in fleet.pair("k"):
            fleet.kill(name)
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, Unknown)
        assert outcome.retry_after_s > 0

    async def test_paused_home_wakes_late(self) -> None:
        """The home stands still with a claim in its socket, then wakes.

        The first gateway gave up and told its caller that the outcome is
        unknown. The woken home grants the key to nobody who still listens; a
        retry must not find two holders.
        """
        fleet = Fleet()
        home = fleet.address(fleet.pair("k")[0])
        fleet.net.paused.add(home)
        assert isinstance(await fleet.members["g1"].claim("k"), Unknown)
        await fleet.net.wake(home)
        fleet.age(60.0)
        retries = [await fleet.members[name].claim("k") for name in ("g2", "g1")]
        assert sum(isinstance(o, KeyGranted) for o in retries) <= 1

    async def test_restarted_home_asks_its_second(self) -> None:
        """The home restarts with an empty memory while the request runs."""
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        fleet.restart(fleet.pair("k")[0])
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_both_restarted(self) -> None:
        """Both places forgot the key; for a while no one can vouch for it."""
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        for name in fleet.pair("k"):
            fleet.restart(name)
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, Unknown)
        assert WINDOW_S - 1 <= outcome.retry_after_s <= WINDOW_S + 20

    async def test_one_host_after_the_other_is_replaced(self) -> None:
        """Both places restart within a retry window, one after the other.

        Each asks its partners for the claims that they share. The answer is
        still there for a retry, and new keys are served at once.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"whole")
        for name in sorted(fleet.members):
            if name[0] == "s":
                await fleet.restart(name).syncs.fetch_once()
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")
        for number in range(20):
            await granted(fleet, "g1", f"new {number}")

    async def test_lists_are_handed_over_too(self) -> None:
        """The old places of a key leave the list; then both new ones restart."""
        fleet = Fleet(n_sidecars=7)
        first = await granted(fleet, "g1", "k")
        fleet.relist(fleet.without(*fleet.pair("k")))
        fleet.tell(*fleet.members)
        for name in fleet.pair("k"):
            await fleet.restart(name).syncs.fetch_once()
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_idempotent_request_runs_without_its_home(self) -> None:
        fleet = Fleet()
        fleet.kill(fleet.pair("k")[0])
        outcome = await fleet.members["g1"].claim("k", is_idempotent=True)
        assert isinstance(outcome, KeyGranted)


class TestLostHolder:
    async def test_gateway_restarted(self) -> None:
        """The gateway that ran the request is replaced before it answered."""
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        fleet.restart("g1")
        outcome = await fleet.members["g2"].claim("k")
        assert isinstance(outcome, Unknown)

    async def test_gateway_never_reports(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        fleet.age(11.0)
        assert isinstance(await fleet.members["g2"].claim("k"), Unknown)

    async def test_idempotent_request_is_run_again(self) -> None:
        fleet = Fleet()
        outcome = await fleet.members["g1"].claim("k", is_idempotent=True)
        assert isinstance(outcome, KeyGranted)
        fleet.restart("g1")
        again = await fleet.members["g2"].claim("k", is_idempotent=True)
        assert isinstance(again, KeyGranted)


class TestListChange:
    async def test_gateway_ahead_of_the_home(self) -> None:
        """The home hears of a new list a moment later than the gateway."""
        fleet = Fleet()
        fleet.relist([*fleet.hosts, host("late", domain="d1", role="gateway")])
        fleet.tell("g1")
        outcome = await fleet.members["g1"].claim("k")
        assert isinstance(outcome, Unknown)
        fleet.tell("g1", "g2", *fleet.pair("k"))
        await granted(fleet, "g2", "k")

    async def test_two_gateways_with_different_lists(self) -> None:
        """Two homes are believed at once: one gateway has the newer list.

        The old home was dropped from the list while it still works. Whoever is
        asked first, the other try must not run.
        """
        for order in (("g1", "g2"), ("g2", "g1")):
            fleet = Fleet()
            old = fleet.pair("k")[0]
            fleet.relist(fleet.without(old))
            fleet.tell("g2", *fleet.pair("k"))
            outcomes = [await fleet.members[name].claim("k") for name in order]
            assert sum(isinstance(o, KeyGranted) for o in outcomes) <= 1

    async def test_both_places_replaced(self) -> None:
        """Both places of a key leave the list, the answer moves with a question."""
        fleet = Fleet(n_sidecars=7)
        first = await granted(fleet, "g1", "k")
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"whole")
        fleet.relist(fleet.without(*fleet.pair("k")))
        fleet.tell("g2", *fleet.pair("k"))
        outcome = await fleet.members["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_both_places_replaced_and_unreachable(self) -> None:
        fleet = Fleet(n_sidecars=7)
        await granted(fleet, "g1", "k")
        old = fleet.pair("k")
        for name in old:
            fleet.kill(name)
        fleet.relist(fleet.without(*old))
        fleet.tell("g2", *fleet.pair("k"))
        assert isinstance(await fleet.members["g2"].claim("k"), Unknown)

    async def test_home_cut_off_from_the_platform_for_long(self) -> None:
        """A home misses a list change for longer than former lists are asked.

        The new places no longer ask it. Its second place has left the pair too,
        but knows that; it must stop the old home from granting.
        """
        fleet = Fleet(n_sidecars=7)
        home, old_second = fleet.pair("k")
        fleet.relist(fleet.without(home, old_second))
        fleet.tell("g2", old_second, *fleet.pair("k"))
        fleet.age(10 * FORMER_LIST_RETENTION_S)
        await granted(fleet, "g2", "k")
        assert isinstance(await fleet.members["g1"].claim("k"), Unknown)

    async def test_second_place_still_holds_the_old_list(self) -> None:
        """The old second place leaves the list; the home restarts with the new one.

        The home has forgotten the grant. The new second place is old enough to
        vouch, but still holds the former list as its present one and never had
        the key: the place that has it must be asked.
        """
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        home, old_second = fleet.pair("k")
        fleet.relist(fleet.without(old_second))
        fleet.restart(home)
        assert not isinstance(await fleet.members["g1"].claim("k"), KeyGranted)

    async def test_former_places_grant_no_more(self) -> None:
        """After the move, a gateway with the old list asks the old home."""
        fleet = Fleet(n_sidecars=7)
        fleet.relist(fleet.without(*fleet.pair("k")))
        fleet.tell("g2", *fleet.pair("k"))
        await granted(fleet, "g2", "k")
        assert isinstance(await fleet.members["g1"].claim("k"), Unknown)


class TestMintedId:
    async def test_retry_at_another_gateway(self) -> None:
        fleet = Fleet()
        generated = fleet.members["g1"].generated_ids.generate()
        key = Key(text=str(generated), generated_id=generated)
        first = await granted(fleet, "g1", key)
        assert isinstance(await fleet.members["g2"].claim(key), InProgress)
        await fleet.members["g1"].claimer.settle(first, is_run=True, result=b"w")
        outcome = await fleet.members["g2"].claim(key)
        assert outcome == Answered(request_id=first.request_id, result=b"w")

    async def test_minting_gateway_restarted(self) -> None:
        fleet = Fleet()
        generated = fleet.members["g1"].generated_ids.generate()
        fleet.restart("g1")
        key = Key(text=str(generated), generated_id=generated)
        assert isinstance(await fleet.members["g2"].claim(key), Unknown)

    async def test_never_again_after_it_is_forgotten(self) -> None:
        fleet = Fleet()
        generated = fleet.members["g1"].generated_ids.generate()
        key = Key(text=str(generated), generated_id=generated)
        first = await granted(fleet, "g2", key)
        await fleet.members["g2"].claimer.settle(first, is_run=True)
        fleet.age(10 * WINDOW_S)
        assert isinstance(await fleet.members["g1"].claim(key), Unknown)


class TestTable:
    def test_refuses_rather_than_forgets(self) -> None:
        table = ClaimTable(window_s=30.0, max_claims=2, clock=lambda: 0.0)
        added = [table.add(ClaimRecord(key=k), budget_s=1.0) for k in "abc"]
        assert added == [True, True, False]
        assert table.get("a") is not None

    def test_full_home_grants_nothing(self) -> None:
        async def claim() -> None:
            fleet = Fleet()
            home = fleet.members[fleet.pair("k")[0]]
            home.table._max_claims = 0
            assert isinstance(await fleet.members["g1"].claim("k"), Unknown)

        asyncio.run(claim())


class TestKey:
    def test_accounts_do_not_share_keys(self) -> None:
        assert account_key("a", "k") != account_key("b", "k")
