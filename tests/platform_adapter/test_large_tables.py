"""Gateways on weak links, or beside a slow store, get the configuration in time."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import pytest

from trefoilpaddle.coordination.published.large_responses import LARGE_BYTES
from trefoilpaddle.coordination.published.store_feed import POLL_S

from ..chain.virtual_time import run_virtual
from . import weak_link_network
from .weak_link_network import STEP_S, Hosts, Network, Pipe, transfer

Parts = AsyncIterator[tuple[int, int]]

CONFIGURATION_S: Final = 3.0
"""Time within which a change must be active everywhere."""

RETURN_S: Final = 3.0
"""Time within which gateways must know the table and the workers after all started."""

RECOVERY_S: Final = 15.0
"""Time within which requests must be served after all gateways have started again."""

HOSTS: Final = Hosts(n_strong=4, n_weak=8)
N_ROUTES: Final = 400
N_MORE: Final = 1400
N_MOST: Final = 4400
"""Routes of the largest configuration that the store takes, of a megabyte."""

CROWDED_LINK_BYTES_PER_S: Final = 187_500
"""What callers' streams leave of a link of 10 Mbit/s."""

ALONE_LINK_BYTES_PER_S: Final = 154_000
ALONE_S: Final = 3.0
"""A link, and the seconds in which it carries a table that has it to itself."""

MAX_COPIES: Final = 1.5
"""Bytes that a reader may receive for a new table, as a multiple of its size."""

SLOW_STORE_S: Final = 1.5
"""Time of a slow store for an answer; a read waits twice as long for its next bytes."""

SMALL_AFTER_S: Final = (1.2, 2.4)
"""Seconds from a growth of the configuration to a small change."""

SETTLED_S: Final = 5.0
"""Time after which all gateways know that the store is slow, and have all changes."""


class TestWeakLinks:
    def test_versions_in_a_row_are_active_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against reads that are given up while the table arrives, and against
        # copies of it that nobody uses and that fill the link.
        async def scenario() -> None:
            network = Network(HOSTS, n_routes=N_ROUTES)
            network.start()
            assert not await network.incomplete_gateways(within_s=RETURN_S)
            await asyncio.sleep(2.0)
            n_routes = N_ROUTES
            for _ in range(2):
                n_routes += N_MORE
                network.publish(n_routes)
                await asyncio.sleep(1.2)
                version = network.publish(n_routes)
                assert not await network.late_gateways(
                    version, within_s=CONFIGURATION_S
                )
                await asyncio.sleep(5.0)

        run_virtual(monkeypatch, scenario())

    def test_all_gateways_are_ready_soon_after_they_start_together(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against the same after a loss of all gateways: none has the table.
        async def scenario() -> None:
            network = Network(HOSTS, n_routes=N_MOST)
            network.start()
            assert not await network.incomplete_gateways(within_s=RETURN_S)

        run_virtual(monkeypatch, scenario())


class TestSlowStore:
    @pytest.mark.parametrize("delay_s", [0.9, 2.25])
    def test_all_gateways_are_ready_after_they_start_together(
        self, delay_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a list of several pages that is given up at each page again:
        # no gateway ever had a table while the store was slow.
        async def scenario() -> None:
            network = Network(HOSTS, n_routes=N_ROUTES, store_delay_s=delay_s)
            network.start()
            assert not await network.incomplete_gateways(within_s=RECOVERY_S)

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("delay_s", [0.05, 0.3, 0.9, 2.25])
    def test_changes_are_active_in_time_on_crowded_links(
        self, delay_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against changes that wait for a read of the store which began before
        # them, and for a table that arrives neither from there nor from a peer.
        monkeypatch.setattr(
            weak_link_network, "WEAK_LINK_BYTES_PER_S", CROWDED_LINK_BYTES_PER_S
        )

        async def scenario() -> None:
            network = Network(HOSTS, n_routes=N_ROUTES)
            network.start()
            await asyncio.sleep(SETTLED_S)
            network.store_delay_s = delay_s
            network.start_task(network.write_heartbeats())
            await asyncio.sleep(SETTLED_S)
            n_routes = N_ROUTES
            for small_after_s in SMALL_AFTER_S:
                n_routes += N_MORE
                growth = network.publish(n_routes)
                grown = asyncio.create_task(network.activation_s(growth))
                await asyncio.sleep(small_after_s)
                times_s = [await network.activation_s(network.publish(n_routes))]
                times_s.append(await grown)
                assert max(times_s) <= CONFIGURATION_S
                await asyncio.sleep(SETTLED_S)

        run_virtual(monkeypatch, scenario())


class TestWeakReaders:
    # Guards against a reader whose further reads bring the table again and again while
    # its weak link still carries the first answer.
    @pytest.mark.parametrize("delay_s", [0.05, 0.3, 0.9, 2.25])
    def test_a_table_crosses_a_weak_link_once(
        self, delay_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(Hosts(n_strong=0, n_weak=1), n_routes=N_ROUTES + N_MORE)
            (reader,) = network.gateways
            network.start()
            assert not await network.incomplete_gateways(within_s=RECOVERY_S)
            network.store_delay_s = delay_s
            network.start_task(network.write_heartbeats())
            await asyncio.sleep(SETTLED_S)
            n_before = reader.down.n_bytes
            version = network.publish(N_ROUTES + N_MORE)
            active_s = await network.activation_s(version)
            await asyncio.sleep(SETTLED_S)
            n_table = network.n_table_bytes()
            assert n_table > ALONE_S * ALONE_LINK_BYTES_PER_S
            assert reader.down.n_bytes - n_before <= MAX_COPIES * n_table
            assert active_s <= POLL_S + delay_s + MAX_COPIES * ALONE_S

        monkeypatch.setattr(
            weak_link_network, "WEAK_LINK_BYTES_PER_S", ALONE_LINK_BYTES_PER_S
        )
        run_virtual(monkeypatch, scenario())

    # Guards against the same where the entries of workers, which reads beside a slow
    # store bring several times, are more than half of a table.
    @pytest.mark.parametrize("delay_s", [0.05, 0.3, 0.9, 2.25])
    def test_answers_with_a_table_bring_little_more_than_one(
        self, delay_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        n_large: list[int] = []

        async def count(n_bytes: int, *pipes: Pipe) -> Parts:
            async for begin, end in transfer(n_bytes, *pipes):
                if n_bytes >= ALONE_S * ALONE_LINK_BYTES_PER_S:
                    n_large.append(end - begin)
                yield begin, end

        async def scenario() -> None:
            network = Network(Hosts(n_strong=0, n_weak=1), n_routes=N_ROUTES + N_MORE)
            network.start()
            assert not await network.incomplete_gateways(within_s=RECOVERY_S)
            network.store_delay_s = delay_s
            network.start_task(network.write_heartbeats())
            await asyncio.sleep(SETTLED_S)
            n_large.clear()
            version = network.publish(N_ROUTES + N_MORE)
            active_s = await network.activation_s(version)
            await asyncio.sleep(SETTLED_S)
            assert sum(n_large) <= MAX_COPIES * network.n_table_bytes()
            assert active_s <= POLL_S + delay_s + MAX_COPIES * ALONE_S

        monkeypatch.setattr(weak_link_network, "transfer", count)
        monkeypatch.setattr(
            weak_link_network, "WEAK_LINK_BYTES_PER_S", ALONE_LINK_BYTES_PER_S
        )
        run_virtual(monkeypatch, scenario())

    # Guards against a change that waits for a transfer which gets no further.
    def test_a_transfer_that_hangs_does_not_hold_up_the_next_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        hung: list[int] = []

        async def hang_once(n_bytes: int, *pipes: Pipe) -> Parts:
            async for part in transfer(n_bytes, *pipes):
                yield part
                if not hung and part[1] >= 2 * LARGE_BYTES:
                    hung.append(n_bytes)
                    await asyncio.Event().wait()

        async def scenario() -> None:
            network = Network(Hosts(n_strong=0, n_weak=1), n_routes=N_ROUTES + N_MORE)
            network.start()
            assert not await network.incomplete_gateways(within_s=RETURN_S)
            network.store_delay_s = SLOW_STORE_S
            await asyncio.sleep(SETTLED_S)
            monkeypatch.setattr(weak_link_network, "transfer", hang_once)
            version = network.publish(N_ROUTES + N_MORE)
            within_s = CONFIGURATION_S + SLOW_STORE_S
            assert not await network.late_gateways(version, within_s=within_s)
            assert hung

        run_virtual(monkeypatch, scenario())

    # Guards against changes that wait for a large list which does not bring them.
    def test_a_list_that_is_read_for_the_history_holds_up_no_change(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            network = Network(Hosts(n_strong=0, n_weak=1), n_routes=N_ROUTES + N_MORE)
            (reader,) = network.gateways
            network.start()
            assert not await network.incomplete_gateways(within_s=RECOVERY_S)
            listing = asyncio.create_task(reader.client.listed_entries())
            await asyncio.sleep(ALONE_S / 2)
            network.store.remove("servers/w00")
            ends_s = asyncio.get_running_loop().time() + ALONE_S / 2
            while "w00" in reader.workers.ids():
                assert asyncio.get_running_loop().time() < ends_s
                await asyncio.sleep(STEP_S)
            assert not listing.done()

        monkeypatch.setattr(
            weak_link_network, "WEAK_LINK_BYTES_PER_S", ALONE_LINK_BYTES_PER_S
        )
        run_virtual(monkeypatch, scenario())
