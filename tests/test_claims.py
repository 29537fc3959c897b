"""Request keys: only one try runs, whichever gateway receives a retry."""

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
    outcome = await fleet.processes[name].claim(key)
    assert isinstance(outcome, KeyGranted)
    return outcome


class TestRetryAtAnotherGateway:
    async def test_first_try_still_runs(self) -> None:
        """A caller times out early and retries at the other gateway.

        The first gateway still runs the request. The retry must neither run it
        again nor report that it did not run.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == InProgress(request_id=first.request_id, gateway="g1-gateway")

    async def test_retry_waits_for_the_first_try(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        retry = asyncio.create_task(fleet.processes["g2"].claim("k", wait_s=5.0))
        await asyncio.sleep(0)
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"whole")
        assert await retry == Answered(request_id=first.request_id, result=b"whole")

    async def test_first_try_has_finished(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"whole")
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_answer_too_large_to_keep(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        large = bytes(MAX_RESULT_BYTES + 1)
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=large)
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=None)

    async def test_not_run_frees_the_key(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.processes["g1"].claimer.settle(first, is_run=False)
        await granted(fleet, "g2", "k")

    async def test_key_reused_with_another_body(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        outcome = await fleet.processes["g2"].claim("k", fingerprint=8)
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.KEY_REUSED

    async def test_two_gateways_claim_at_once(self) -> None:
        for seed in range(20):
            fleet = Fleet(seed=seed)
            outcomes = await asyncio.gather(
                fleet.processes["g1"].claim("k"), fleet.processes["g2"].claim("k")
            )
            assert sum(isinstance(o, KeyGranted) for o in outcomes) <= 1


class TestLostHome:
    async def test_answer_survives_the_home(self) -> None:
        """The host of the primary of the key crashes after the answer was sent.

        The caller did not receive the answer and retries elsewhere. The backup
        kept it, so the caller receives it although the home is unavailable.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"whole")
        fleet.kill(fleet.replica_names("k")[0])
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_home_lost_while_the_first_try_runs(self) -> None:
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        fleet.kill(fleet.replica_names("k")[0])
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_both_replicas_lost(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        for name in fleet.replica_names("k"):
            fleet.kill(name)
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, Unknown)
        assert outcome.retry_after_s > 0

    async def test_paused_home_resumes_after_the_time_out(self) -> None:
        """The home is paused with an unread claim in its socket, then resumes.

        The first gateway timed out and reported an unknown outcome to its caller.
        The resumed home grants the key although no gateway waits for the answer;
        of the retries, at most one may be granted.
        """
        fleet = Fleet()
        home = fleet.address(fleet.replica_names("k")[0])
        fleet.net.paused.add(home)
        assert isinstance(await fleet.processes["g1"].claim("k"), Unknown)
        await fleet.net.resume(home)
        fleet.advance_time(60.0)
        retries = [await fleet.processes[name].claim("k") for name in ("g2", "g1")]
        assert sum(isinstance(o, KeyGranted) for o in retries) <= 1

    async def test_restarted_home_queries_its_backup(self) -> None:
        """The home restarts and loses its claims while the request runs."""
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        fleet.restart(fleet.replica_names("k")[0])
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_both_replicas_restarted(self) -> None:
        """Both replicas lost the key; for a while none can confirm that it is new."""
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        for name in fleet.replica_names("k"):
            fleet.restart(name)
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, Unknown)
        assert WINDOW_S - 1 <= outcome.retry_after_s <= WINDOW_S + 20

    async def test_hosts_are_replaced_one_after_the_other(self) -> None:
        """Both replicas restart within a retry window, one after the other.

        Each fetches the claims that it shares with other replicas. The answer is
        still available to a retry, and new keys are granted at once.
        """
        fleet = Fleet()
        first = await granted(fleet, "g1", "k")
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"whole")
        for name in sorted(fleet.processes):
            if name[0] == "s":
                await fleet.restart(name).syncs.fetch_once()
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")
        for number in range(20):
            await granted(fleet, "g1", f"new {number}")

    async def test_former_lists_are_handed_over_too(self) -> None:
        """The old replicas of a key leave the list; then both new ones restart."""
        fleet = Fleet(n_sidecars=7)
        first = await granted(fleet, "g1", "k")
        fleet.replace_hosts(fleet.hosts_without(*fleet.replica_names("k")))
        fleet.deliver_list(*fleet.processes)
        for name in fleet.replica_names("k"):
            await fleet.restart(name).syncs.fetch_once()
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, InProgress)
        assert outcome.request_id == first.request_id

    async def test_idempotent_request_runs_without_its_home(self) -> None:
        fleet = Fleet()
        fleet.kill(fleet.replica_names("k")[0])
        outcome = await fleet.processes["g1"].claim("k", is_idempotent=True)
        assert isinstance(outcome, KeyGranted)


class TestLostHolder:
    async def test_gateway_restarted(self) -> None:
        """The gateway that ran the request is replaced before it answered."""
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        fleet.restart("g1")
        outcome = await fleet.processes["g2"].claim("k")
        assert isinstance(outcome, Unknown)

    async def test_gateway_never_reports(self) -> None:
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        fleet.advance_time(11.0)
        assert isinstance(await fleet.processes["g2"].claim("k"), Unknown)

    async def test_idempotent_request_is_run_again(self) -> None:
        fleet = Fleet()
        outcome = await fleet.processes["g1"].claim("k", is_idempotent=True)
        assert isinstance(outcome, KeyGranted)
        fleet.restart("g1")
        again = await fleet.processes["g2"].claim("k", is_idempotent=True)
        assert isinstance(again, KeyGranted)


class TestListChange:
    async def test_gateway_has_a_newer_list_than_the_home(self) -> None:
        """The home receives a new list shortly after the gateway."""
        fleet = Fleet()
        fleet.replace_hosts([*fleet.hosts, host("late", domain="d1", role="gateway")])
        fleet.deliver_list("g1")
        outcome = await fleet.processes["g1"].claim("k")
        assert isinstance(outcome, Unknown)
        fleet.deliver_list("g1", "g2", *fleet.replica_names("k"))
        await granted(fleet, "g2", "k")

    async def test_two_gateways_with_different_lists(self) -> None:
        """Two homes act at the same time because one gateway has a newer list.

        The old home was dropped from the list while it still works. In either
        order of the tries, only one may run.
        """
        for order in (("g1", "g2"), ("g2", "g1")):
            fleet = Fleet()
            old = fleet.replica_names("k")[0]
            fleet.replace_hosts(fleet.hosts_without(old))
            fleet.deliver_list("g2", *fleet.replica_names("k"))
            outcomes = [await fleet.processes[name].claim("k") for name in order]
            assert sum(isinstance(o, KeyGranted) for o in outcomes) <= 1

    async def test_both_replicas_replaced(self) -> None:
        """Both replicas of a key leave the list; a query moves the answer."""
        fleet = Fleet(n_sidecars=7)
        first = await granted(fleet, "g1", "k")
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"whole")
        fleet.replace_hosts(fleet.hosts_without(*fleet.replica_names("k")))
        fleet.deliver_list("g2", *fleet.replica_names("k"))
        outcome = await fleet.processes["g2"].claim("k")
        assert outcome == Answered(request_id=first.request_id, result=b"whole")

    async def test_both_replicas_replaced_and_unreachable(self) -> None:
        fleet = Fleet(n_sidecars=7)
        await granted(fleet, "g1", "k")
        old = fleet.replica_names("k")
        for name in old:
            fleet.kill(name)
        fleet.replace_hosts(fleet.hosts_without(*old))
        fleet.deliver_list("g2", *fleet.replica_names("k"))
        assert isinstance(await fleet.processes["g2"].claim("k"), Unknown)

    async def test_home_partitioned_from_the_platform_for_long(self) -> None:
        """A home misses a list change for longer than former lists are queried.

        The new replicas no longer query it. Its backup is not in the pair any more
        either, but has the new list, and must prevent the old home from granting.
        """
        fleet = Fleet(n_sidecars=7)
        home, old_backup = fleet.replica_names("k")
        fleet.replace_hosts(fleet.hosts_without(home, old_backup))
        fleet.deliver_list("g2", old_backup, *fleet.replica_names("k"))
        fleet.advance_time(10 * FORMER_LIST_RETENTION_S)
        await granted(fleet, "g2", "k")
        assert isinstance(await fleet.processes["g1"].claim("k"), Unknown)

    async def test_backup_still_has_the_old_list(self) -> None:
        """The old backup leaves the list; the home restarts with the new list.

        The home has lost the record of the grant. The new backup has run for long
        enough to confirm new keys, but its active list is still the former one and
        it never had the key. The replica that has the key must be queried.
        """
        fleet = Fleet()
        await granted(fleet, "g1", "k")
        home, old_backup = fleet.replica_names("k")
        fleet.replace_hosts(fleet.hosts_without(old_backup))
        fleet.restart(home)
        assert not isinstance(await fleet.processes["g1"].claim("k"), KeyGranted)

    async def test_former_replicas_do_not_grant(self) -> None:
        """After the key has moved, a gateway with the old list queries the old home."""
        fleet = Fleet(n_sidecars=7)
        fleet.replace_hosts(fleet.hosts_without(*fleet.replica_names("k")))
        fleet.deliver_list("g2", *fleet.replica_names("k"))
        await granted(fleet, "g2", "k")
        assert isinstance(await fleet.processes["g1"].claim("k"), Unknown)


class TestGeneratedId:
    async def test_retry_at_another_gateway(self) -> None:
        fleet = Fleet()
        generated = fleet.processes["g1"].generated_ids.generate()
        key = Key(text=str(generated), generated_id=generated)
        first = await granted(fleet, "g1", key)
        assert isinstance(await fleet.processes["g2"].claim(key), InProgress)
        await fleet.processes["g1"].claimer.settle(first, is_run=True, result=b"w")
        outcome = await fleet.processes["g2"].claim(key)
        assert outcome == Answered(request_id=first.request_id, result=b"w")

    async def test_generating_gateway_restarted(self) -> None:
        fleet = Fleet()
        generated = fleet.processes["g1"].generated_ids.generate()
        fleet.restart("g1")
        key = Key(text=str(generated), generated_id=generated)
        assert isinstance(await fleet.processes["g2"].claim(key), Unknown)

    async def test_expired_id_never_runs_again(self) -> None:
        fleet = Fleet()
        generated = fleet.processes["g1"].generated_ids.generate()
        key = Key(text=str(generated), generated_id=generated)
        first = await granted(fleet, "g2", key)
        await fleet.processes["g2"].claimer.settle(first, is_run=True)
        fleet.advance_time(10 * WINDOW_S)
        assert isinstance(await fleet.processes["g1"].claim(key), Unknown)


class TestTable:
    def test_full_table_refuses_and_keeps_its_claims(self) -> None:
        table = ClaimTable(window_s=30.0, max_claims=2, clock=lambda: 0.0)
        added = [table.add(ClaimRecord(key=k), budget_s=1.0) for k in "abc"]
        assert added == [True, True, False]
        assert table.get("a") is not None

    def test_full_home_grants_nothing(self) -> None:
        async def claim() -> None:
            fleet = Fleet()
            home = fleet.processes[fleet.replica_names("k")[0]]
            home.table._max_claims = 0
            assert isinstance(await fleet.processes["g1"].claim("k"), Unknown)

        asyncio.run(claim())


class TestKey:
    def test_accounts_do_not_share_keys(self) -> None:
        assert account_key("a", "k") != account_key("b", "k")
