"""Streams that may not be resumed outlive their engine, with a real gateway."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import aiohttp
import pytest

from trefoilpaddle.standins.platform.crashing import CrashingServer
from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    event_numbers,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import Site, configuration, route
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.platform.worker import PlatformWorker
from trefoilpaddle.standins.web import serving

from ..waiting import until

N_EVENTS: Final = 12
EVENT_S: Final = 0.05
N_BEFORE: Final = 4
"""Events that the caller has when the first engine crashes."""

POLL_S: Final = 0.002
TIMEOUT_S: Final = 5.0
SILENT_TIMEOUT_S: Final = 2.0
"""Timeout of the route of a stream whose engine falls silent."""

WHOLE: Final = list(range(1, N_EVENTS + 1))
TALK: Final = {
    "Trefoilpaddle-Model": "m",
    "Trefoilpaddle-Token-Counts": "100,200",
    "Trefoilpaddle-Prompt-Prefix": "a1:60,b2:30,c3:10",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """A stream as a caller got it.

    Parameters
    ----------
    numbers : list of int
        Numbers of the events, in order.
    is_complete : bool
        True if the answer ended as complete.
    seal : str
        Signature in its head.
    """

    numbers: list[int]
    is_complete: bool
    seal: str


class Rig:
    """A gateway beside engines that can be crashed, and one caller."""

    def __init__(
        self,
        *,
        site: Site,
        gateway: GatewayProcess,
        servers: dict[str, CrashingServer],
        client: aiohttp.ClientSession,
    ) -> None:
        self.site = site
        self.gateway = gateway
        self.servers = servers
        self._client = client
        self.n_seen = 0
        self.max_running = 0

    async def watch_runs(self) -> None:
        """Record at how many engines the stream runs at the same time."""
        while True:
            n_running = sum("t1" in w.running for w in self.site.workers.values())
            self.max_running = max(self.max_running, n_running)
            await asyncio.sleep(POLL_S)

    async def read(self) -> Read:
        body = b""
        is_complete = False
        async with self._client.post(
            f"{self.gateway.url}/talk/1", data=b"text", headers=headers("t1") | TALK
        ) as answer:
            seal = answer.headers.get("Trefoilpaddle-Server-Seal", "")
            with contextlib.suppress(aiohttp.ClientError):
                async for data in answer.content.iter_any():
                    body += data
                    self.n_seen = len(event_numbers(body))
                is_complete = answer.status == 200
        return Read(numbers=event_numbers(body), is_complete=is_complete, seal=seal)

    async def begin(self) -> "asyncio.Task[Read]":
        """Begin to read a stream; return once some events have arrived."""
        reading = asyncio.create_task(self.read())
        await until(lambda: self.n_seen >= N_BEFORE)
        return reading

    @property
    def first(self) -> PlatformWorker:
        """The engine that began the stream."""
        return next(
            worker
            for worker in self.site.workers.values()
            if "t1" in worker.ran and "Kv-From" not in worker.headers[0]
        )

    @property
    def second(self) -> PlatformWorker:
        """The engine that gets the copy."""
        address = self.first.headers[0]["Trefoilpaddle-Cache-Backup"]
        return next(w for w in self.site.workers.values() if w.address == address)

    def crash(self, worker: PlatformWorker) -> None:
        self.servers[worker.worker_id].crash()

    def n_runs(self) -> int:
        """Return how many engines ran the stream, the go-on included."""
        return sum(worker.ran.count("t1") for worker in self.site.workers.values())

    def n_moves(self) -> int:
        return self.gateway.log().count("name=stream_moved")


@contextlib.asynccontextmanager
async def rig_of(
    folder: Path, *versions: str, timeout_s: float = TIMEOUT_S
) -> AsyncIterator[Rig]:
    """Yield a gateway that serves, beside an engine of each of `versions`.

    A third engine lets the stream have a copy even if a busy machine makes the first
    one look unresponsive.
    """
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        talk = route(
            "talk",
            "streaming",
            "model",
            timeout_ms=int(timeout_s * 1000),
            max_attempts=1,
            gap_target_ms=250,
        )
        site.store.put(TABLE_KEY, configuration(1, routes=[talk]))
        servers = {}
        for number, version in enumerate(versions):
            worker_id = f"model{number}"
            servers[worker_id] = await site.add_crashing_worker(
                worker_id,
                "model",
                n_events=N_EVENTS,
                work_s=EVENT_S,
                software_version=version,
                restart_delay_s=TIMEOUT_S,
            )
        async with (
            gateways(site, folder, "a") as (gateway,),
            aiohttp.ClientSession() as client,
        ):
            # A gateway without others waits for a second for what they might know.
            await until(lambda: "no other gateway has told" in gateway.log())
            rig = Rig(site=site, gateway=gateway, servers=servers, client=client)
            watching = asyncio.create_task(rig.watch_runs())
            yield rig
            watching.cancel()
            # One run must not go on at two engines.
            assert rig.max_running <= 1


@pytest.fixture(autouse=True)
def _is_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TREFOILPADDLE_STREAM_COPIES", "on")


class TestGoingOn:
    async def test_a_stream_outlives_its_engine(self, tmp_path: Path) -> None:
        # An engine crashes in the middle of a stream that may not run twice.
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            reading = await rig.begin()
            rig.crash(rig.first)
            read = await reading
            goes_on = rig.second.headers[0]
            assert goes_on["Kv-From"] == f"{rig.second.address}/t1"
            assert int(goes_on["Last-Event-ID"]) >= N_BEFORE
            await until(rig.n_moves)
            metrics = await metrics_of(rig)
        assert read == Read(
            numbers=WHOLE, is_complete=True, seal=f"{rig.first.worker_id}.t1"
        )
        assert rig.n_runs() == 2
        assert rig.max_running == 1
        assert rig.n_moves() == 1
        assert "trefoilpaddle_stream_copies 1.0" in metrics
        assert "trefoilpaddle_copied_tokens 300.0" in metrics

    async def test_a_copy_that_is_not_whole_is_completed(self, tmp_path: Path) -> None:
        # The copy's worker has had no more room after the first event.
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            for worker in rig.site.workers.values():
                worker.copies.max_events = 1
            reading = await rig.begin()
            rig.crash(rig.first)
            read = await reading
        assert (read.numbers, read.is_complete) == (WHOLE, True)
        assert rig.second.copies.n_read["t1"] >= N_BEFORE - 1

    async def test_a_copy_is_dropped_once_its_run_has_succeeded(
        self, tmp_path: Path
    ) -> None:
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            read = await rig.read()
            assert rig.second.copies.n_parts > 0
            await until(lambda: not rig.second.copies.held)
        assert (read.numbers, read.is_complete) == (WHOLE, True)
        assert rig.n_runs() == 1


class TestCutAsBefore:
    """Guards against streams that look complete, lack events or run twice."""

    async def test_without_a_copy(self, tmp_path: Path) -> None:
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            for worker in rig.site.workers.values():
                worker.copies.has_room = False
            reading = await rig.begin()
            rig.crash(rig.first)
            assert_cut(await reading)
        assert rig.n_runs() == 1
        assert rig.second.turned_away == ["t1"]

    async def test_the_copy_s_worker_is_gone_too(self, tmp_path: Path) -> None:
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            reading = await rig.begin()
            rig.crash(rig.second)
            rig.crash(rig.first)
            assert_cut(await reading)
        assert rig.n_runs() == 1

    async def test_both_crash(self, tmp_path: Path) -> None:
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            reading = await rig.begin()
            rig.crash(rig.first)
            await until(lambda: rig.n_runs() == 2)
            n_before = rig.n_seen
            await until(lambda: rig.n_seen > n_before)
            rig.crash(rig.second)
            assert_cut(await reading)
        assert rig.n_runs() == 2

    async def test_the_first_worker_is_silent(self, tmp_path: Path) -> None:
        async with rig_of(
            tmp_path, "v1", "v1", "v1", timeout_s=SILENT_TIMEOUT_S
        ) as rig:
            for worker in rig.site.workers.values():
                worker.hangs_after = N_BEFORE
            assert_cut(await rig.read())
        assert rig.n_runs() == 1
        assert rig.second.turned_away == []

    async def test_there_is_no_other_worker_of_the_version(
        self, tmp_path: Path
    ) -> None:
        async with rig_of(tmp_path, "v1", "v2") as rig:
            reading = await rig.begin()
            assert "Trefoilpaddle-Cache-Backup" not in rig.first.headers[0]
            rig.crash(rig.first)
            assert_cut(await reading)
        assert rig.n_runs() == 1

    async def test_the_caller_has_left(self, tmp_path: Path) -> None:
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            reading = await rig.begin()
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await reading
            await until(lambda: "name=caller_left" in rig.gateway.log())
            rig.crash(rig.first)
            await asyncio.sleep(2 * EVENT_S)
        assert rig.n_runs() == 1
        assert rig.second.turned_away == []

    async def test_it_is_switched_off(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.delenv("TREFOILPADDLE_STREAM_COPIES")
        async with rig_of(tmp_path, "v1", "v1", "v1") as rig:
            reading = await rig.begin()
            assert "Trefoilpaddle-Cache-Backup" not in rig.first.headers[0]
            rig.crash(rig.first)
            assert_cut(await reading)
        assert rig.n_runs() == 1


def assert_cut(read: Read) -> None:
    assert not read.is_complete
    assert read.numbers == list(range(1, len(read.numbers) + 1))
    assert N_BEFORE <= len(read.numbers) < N_EVENTS


async def metrics_of(rig: Rig) -> str:
    async with (
        aiohttp.ClientSession() as client,
        client.get(f"{rig.gateway.operators_url}/metrics") as answer,
    ):
        return await answer.text()
