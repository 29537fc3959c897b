"""A small deployment: gateways as processes, beside a store and workers in this one.

The gateways are started with the run line of the deploy file. The store is the
project's own stand-in, the workers and the client are small ones of this module.
"""

import asyncio
import contextlib
import itertools
import json
import logging
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, Final

import aiohttp
from aiohttp import web

from trefoilpaddle.standins.platform.store import TABLE_KEY, PlatformStore
from trefoilpaddle.standins.ports import free_port

ROOT: Final = Path(__file__).resolve().parents[2]
IP: Final = "127.0.0.1"
HOST: Final = "api.example"
KEY: Final = "key-of-a-tenant"
READY_S: Final = 30.0
MAX_HEADER_BYTES: Final = 128 * 1024
"""Longest header field that a worker takes."""


HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2

ATTEMPT: Final = "Trefoilpaddle-Attempt-Id"
SEAL: Final = "Trefoilpaddle-Server-Seal"
EXPECTED: Final = "Trefoilpaddle-Expected-Instance"
NOT_EXECUTED: Final = "Trefoilpaddle-Not-Executed"

Answer = Callable[[web.Request, str, bytes], Awaitable[web.StreamResponse]]


def has_trouble() -> bool:
    """Return False if the case is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run; written to a file at the end."""

    def __init__(self) -> None:
        self._began_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append((time.monotonic() - self._began_s, text))

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        lines = (f"{at_s:8.3f} s  {text}\n" for at_s, text in self._lines)
        path.write_text("".join(lines))


class Worker:
    """A worker that answers whole requests, and can crash and start again.

    Attributes
    ----------
    answer : callable
        Runs a request and returns the answer.
    arrived_s : list of (float, str)
        Time and attempt id of each request that it began to run.
    clock_ms : int
        By how much the time of day of its machine differs from the true one.
    """

    def __init__(
        self, *, worker_id: str, service: str, zone: str, record: Record
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.port = free_port()
        self.answer: Answer = self.plain
        self.arrived_s: list[tuple[float, str]] = []
        self.clock_ms = 0
        self.born_ms = 0
        self.work_s = 0.01
        self._record = record
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Address at which it listens, ``ip:port``."""
        return f"{IP}:{self.port}"

    @property
    def is_running(self) -> bool:
        """True while a process of the worker runs."""
        return self._runner is not None

    async def start(self) -> None:
        """Start a process of the worker."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(
            app,
            shutdown_timeout=0.01,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, IP, self.port).start()
        self.born_ms = int(time.time() * 1000) + self.clock_ms
        self._record.add(f"{self.worker_id} starts, born {self.born_ms}")

    async def stop(self) -> None:
        """End the process; connections to its address are refused from now on."""
        runner, self._runner = self._runner, None
        if runner is not None:
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await runner.cleanup()
            self._record.add(f"{self.worker_id} has ended")

    def entry(self, *, state: str = "ready", **fields: Any) -> dict[str, Any]:
        """Return the entry that it writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        } | fields

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        return {ATTEMPT: request_id, SEAL: f"{self.worker_id}.{request_id}"}

    async def plain(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Work for a moment and answer."""
        await asyncio.sleep(self.work_s)
        return web.Response(body=request_id.encode(), headers=self.headers(request_id))

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"Trefoilpaddle-Instance": self.worker_id})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get(EXPECTED, self.worker_id)
        if expected != self.worker_id:
            return web.Response(status=421)
        request_id = request.headers.get(ATTEMPT, "")
        if not request_id:
            return web.Response(status=400, headers={NOT_EXECUTED: "1"})
        body = await request.read()
        self.arrived_s.append((time.monotonic(), request_id))
        self._record.add(f"{self.worker_id} runs {request_id}")
        return await self.answer(request, request_id, body)


class Gateway:
    """A gateway process, started as the platform does it."""

    def __init__(
        self, *, name: str, zone: str, folder: Path, settings: dict[str, Any]
    ) -> None:
        self.name = name
        self.ports = [free_port() for _ in range(4)]
        self._folder = folder
        self._n_starts = 0
        self.run: subprocess.Popen[bytes] | None = None
        front, ready, control, _ = (f"{IP}:{port}" for port in self.ports)
        self.settings = {
            "node": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip_address": IP,
            "zone": zone,
            "region": "here",
            "listen_addresses": {"front": front, "ready": ready, "control": control},
            "internal_port_range": [self.ports[3], self.ports[3] + 1],
            "initial_bootstrap": False,
            "data_directory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "limits": {
                "processor_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "file_descriptors": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
        } | settings

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f"http://{IP}:{self.ports[0]}"

    @property
    def control(self) -> str:
        """Address for other gateways."""
        return f"{IP}:{self.ports[2]}"

    def start(self) -> None:
        """Start the process: the run line of the deploy file, its variables and log."""
        self.write_settings()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self._folder / f"{self.name}-{self._n_starts}.log").open("wb") as log:
            self.run = subprocess.Popen(
                [shutil.which("python3") or sys.executable, "-S", "platform"],
                cwd=ROOT,
                env=kept
                | {
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TREFOILPADDLE_NODE_FILE": str(self.path),
                    "TREFOILPADDLE_METRICS": f"{self.ports[3]}/metrics",
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._n_starts += 1

    @property
    def path(self) -> Path:
        """Path of its settings file."""
        return self._folder / f"{self.name}.json"

    def write_settings(self) -> None:
        """Write the settings file; a reader sees the former or the new one."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.settings))
        new.rename(self.path)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.run is not None:
            self.run.send_signal(number)

    def is_running(self) -> bool:
        """Return True if the process runs."""
        return self.run is not None and self.run.poll() is None

    def kill(self) -> None:
        """Kill the process if it runs."""
        if self.run is not None and self.run.poll() is None:
            self.run.kill()
            self.run.wait()

    async def wait_ready(self, client: aiohttp.ClientSession) -> None:
        """Wait until it says that it is ready."""
        url = f"http://{IP}:{self.ports[1]}/trefoilpaddle/readiness"
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with client.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.02)

    def log(self) -> str:
        """Return what all of its processes have logged."""
        paths = (self._folder / f"{self.name}-{n}.log" for n in range(self._n_starts))
        return "".join(path.read_text(errors="replace") for path in paths)


class Deployment:
    """A store, workers and gateways.

    Attributes
    ----------
    answers : dict of str to (int, str, float)
        Status, seal and time of each answer, by attempt id; -1 without an answer.
    """

    def __init__(self, *, record: Record, folder: Path, bounds: dict[str, Any]) -> None:
        self.record = record
        self.store = PlatformStore()
        self.workers: dict[str, Worker] = {}
        self.gateways: list[Gateway] = []
        self.answers: dict[str, tuple[int, str, float]] = {}
        self.sent_s: dict[str, float] = {}
        self.client: aiohttp.ClientSession
        self.store_address = ""
        self._folder = folder
        self._bounds = bounds
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    def configure(
        self, version: int, routes: list[dict[str, Any]], **fields: Any
    ) -> float:
        """Publish a configuration; return the time of its confirmation."""
        services = [{"name": name} for name in {r["service"] for r in routes}]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        known = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [{"name": "tenant-1", "api_keys": [KEY]}],
        }
        self.store.put(TABLE_KEY, known | fields)
        self.record.add(f"the store confirms configuration {version}")
        return time.monotonic()

    async def add_worker(
        self, worker_id: str, service: str, *, zone: str = "a"
    ) -> Worker:
        """Start a worker, which then registers itself."""
        worker = Worker(
            worker_id=worker_id, service=service, zone=zone, record=self.record
        )
        self.workers[worker_id] = worker
        await worker.start()
        self.register(worker)
        return worker

    def register(self, worker: Worker, **fields: Any) -> float:
        """Write the entry of a worker; return the time of the confirmation."""
        entry = worker.entry(**fields)
        self.store.put(f"servers/{worker.worker_id}", entry)
        self.record.add(
            f"the store confirms {worker.worker_id}: {entry['state']},"
            f" born {entry['born']}, cold {entry['cold_remaining_ms']} ms"
        )
        return time.monotonic()

    def add_gateway(self, zone: str = "a", *, seeds: list[str] | None = None) -> None:
        """Add a gateway, which is not started yet."""
        settings = {
            "zones": {"a": "here", "b": "here"},
            "bounds": self._bounds,
            "seeds": seeds if seeds is not None else [],
            "platform": {
                "address": self.store_address,
                "form": "read",
                "reads_per_s": 6000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        self.gateways.append(
            Gateway(
                name=f"front-{len(self.gateways) + 1}",
                zone=zone,
                folder=self._folder,
                settings=settings,
            )
        )

    async def start_gateways(self) -> None:
        """Start all gateways, the first three of which are the seeds, and wait."""
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.settings["seeds"] = gateway.settings["seeds"] or seeds
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready(self.client)
        await asyncio.sleep(2.0)

    async def request(
        self,
        gateway: Gateway,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 4000,
        **headers: str,
    ) -> tuple[str, int]:
        """Send one attempt; return its id and the status, -1 without an answer."""
        request_id = f"{next(self._numbers):016x}"
        self.sent_s[request_id] = time.monotonic()
        self.record.add(f"{request_id} {method} {path} sent to {gateway.name}")
        status, seal = -1, ""
        try:
            async with self.client.request(
                method,
                gateway.url + path,
                data=body or None,
                headers={
                    "Host": HOST,
                    ATTEMPT: request_id,
                    "Trefoilpaddle-Deadline-Milliseconds": str(deadline_ms),
                    "Trefoilpaddle-Credential": KEY,
                }
                | headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 2),
            ) as answer:
                await answer.read()
                status, seal = answer.status, answer.headers.get(SEAL, "")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            seal = type(error).__name__
        self.answers[request_id] = (status, seal, time.monotonic())
        self.record.add(f"{request_id} answered {status} {seal or 'without a seal'}")
        return request_id, status

    def background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something until it is done, or the deployment ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def end_background(self) -> None:
        """Cancel what still runs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def load(
        self, per_s: float, make: Callable[[int], Awaitable[object]]
    ) -> None:
        """Send requests at a steady rate until cancelled."""
        async with asyncio.TaskGroup() as group:
            began_s = time.monotonic()
            for n in itertools.count():
                await asyncio.sleep(began_s + n / per_s - time.monotonic())
                group.create_task(_ignoring(make(n)))


async def _ignoring(work: Awaitable[object]) -> None:
    await work


@contextlib.asynccontextmanager
async def deployment(
    record: Record, bounds: dict[str, Any]
) -> AsyncIterator[Deployment]:
    """Yield a deployment without gateways; end all of its processes on exit."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    made = Deployment(record=record, folder=folder, bounds=bounds)
    runner = web.AppRunner(made.store.application(), shutdown_timeout=0.01)
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, IP, port).start()
    made.store_address = f"{IP}:{port}"
    connector = aiohttp.TCPConnector(limit=0)
    made.client = aiohttp.ClientSession(connector=connector, auto_decompress=False)
    try:
        yield made
    finally:
        await made.end_background()
        await made.client.close()
        for gateway in made.gateways:
            gateway.kill()
        for worker in made.workers.values():
            await worker.stop()
        await runner.cleanup()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder)


def run_case(
    play: Callable[[Record], Awaitable[str]], folder: Path, *, longest_s: float = 110.0
) -> int:
    """Play a case; return the exit code of its script.

    Parameters
    ----------
    play : callable
        Plays it, and returns how the rule was broken; empty if it held.
    folder : Path
        Folder of the case, for its record.
    longest_s : float
        Longest time of the play in seconds.
    """
    # A worker that crashes leaves handlers behind whose connections are gone.
    logging.disable(logging.CRITICAL)
    record = Record()
    code = NOT_RUN

    async def bounded() -> str:
        playing = asyncio.current_task()
        if playing is not None:
            # Without a handler, a stopped script would leave its gateways behind.
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        async with asyncio.timeout(longest_s):
            return await play(record)

    try:
        broken = asyncio.run(bounded())
        record.add(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "held")
        code = BROKEN if broken else HELD
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.write(folder / "record.txt")
    return code
