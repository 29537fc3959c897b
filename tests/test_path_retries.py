"""A caller's retries at another gateway: the work runs at most once."""

import asyncio

from tests.harness import ONCE, Fleet, fleet
from tests.waiting import until


def n_runs(f: Fleet) -> int:
    return len(f.runs("plain"))


def open_gates(f: Fleet) -> None:
    for slot in f.slots:
        slot.target.gate.set()


def close_gates(f: Fleet) -> None:
    for slot in f.slots:
        slot.target.gate.clear()


class TestRetryAtAnotherGateway:
    async def test_while_the_first_try_runs(self) -> None:
        # A caller's client times out and sends the request again; the load balancer
        # chooses another gateway. The work must not run twice.
        async with fleet(n_gateways=2, n_per_service=2) as f:
            close_gates(f)
            first = asyncio.create_task(f.call(ONCE, "bond", key="k"))
            await until(lambda: n_runs(f) == 1)
            second = asyncio.create_task(f.call(ONCE, "bond", gateway=1, key="k"))
            await asyncio.sleep(0.3)
            assert n_runs(f) == 1
            open_gates(f)
            assert (await first).echo == (await second).echo == "bond"
            assert n_runs(f) == 1

    async def test_after_it_finished(self) -> None:
        async with fleet(n_gateways=2, n_per_service=2) as f:
            assert (await f.call(ONCE, "bond", key="k")).echo == "bond"
            again = await f.call(ONCE, "bond", gateway=1, key="k")
            assert again.echo == "bond"
            assert n_runs(f) == 1

    async def test_at_both_gateways_concurrently(self) -> None:
        async with fleet(n_gateways=2, n_per_service=2) as f:
            tries = [
                f.call(ONCE, f"bond {n}", gateway=g, key=f"k{n}")
                for n in range(10)
                for g in (0, 1)
            ]
            results = await asyncio.gather(*tries)
            texts = [run.text for run in f.runs("plain")]
            assert len(texts) == len(set(texts)) == 10
            for each in results:
                assert each.is_answered or each.outcome == "unknown", each

    async def test_with_another_body(self) -> None:
        async with fleet(n_gateways=2, n_per_service=2) as f:
            await f.call(ONCE, "bond", key="k")
            other = await f.call(ONCE, "another", gateway=1, key="k")
            assert other.status == 409 and other.reason == "key_reused"
            assert n_runs(f) == 1

    async def test_after_the_primary_was_killed(self) -> None:
        # The process that keeps the key's claim is killed; the process that takes
        # over does not know the first try from its own memory.
        async with fleet(n_gateways=2, n_per_service=2) as f:
            key = f.key_with_replicas_in("pool")
            await f.call(ONCE, "bond", key=key)
            f.kill_sidecar(f.replicas_of(key)[0])
            again = await f.call(ONCE, "bond", gateway=1, key=key)
            assert again.is_answered or again.outcome == "unknown", again
            assert n_runs(f) == 1

    async def test_after_all_replicas_were_restarted(self) -> None:
        async with fleet(n_gateways=2, n_per_service=2) as f:
            key = f.key_with_replicas_in("pool")
            await f.call(ONCE, "bond", key=key)
            for slot in f.replicas_of(key):
                f.kill_sidecar(slot)
                await f.start_sidecar(slot)
            f.hosts_revision += 1
            f.publish()
            await until(f.is_ready)
            again = await f.call(ONCE, "bond", gateway=1, key=key, deadline_s=5.0)
            assert again.is_answered or again.outcome != "failed", again
            assert n_runs(f) == 1

    async def test_while_the_primary_is_unreachable(self) -> None:
        # The primary accepts the first claim and is then partitioned from the second
        # gateway. A missing reply must not be taken for a new key.
        async with fleet(n_gateways=2, n_per_service=2) as f:
            key = f.key_with_replicas_in("pool")
            primary = f.replicas_of(key)[0]
            close_gates(f)
            first = asyncio.create_task(f.call(ONCE, "bond", key=key))
            await until(lambda: n_runs(f) == 1)
            f.gateways[1].relays[primary.name].is_stalled = True
            second = await f.call(ONCE, "bond", gateway=1, key=key, deadline_s=3.0)
            assert second.outcome == "unknown", second
            open_gates(f)
            assert (await first).echo == "bond"
            assert n_runs(f) == 1

    async def test_after_its_gateway_was_killed(self) -> None:
        # The gateway is killed while the work runs, and the caller's connection is
        # lost. The retry must neither run the work again nor be answered "not run".
        async with fleet(n_gateways=2, n_per_service=2) as f:
            close_gates(f)
            first = asyncio.create_task(f.call(ONCE, "bond", key="k"))
            await until(lambda: n_runs(f) == 1)
            f.kill_gateway(f.gateways[0])
            first.cancel()
            second = await f.call(ONCE, "bond", gateway=1, key="k", deadline_s=2.0)
            assert second.outcome == "unknown", second
            open_gates(f)
            third = await f.call(ONCE, "bond", gateway=1, key="k", deadline_s=2.0)
            assert third.is_answered or third.outcome == "unknown", third
            assert n_runs(f) == 1
