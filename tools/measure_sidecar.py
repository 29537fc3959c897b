"""Measure the cost of a sidecar: processor time, call rate and latency.

``python tools/measure_sidecar.py run [--n_calls N] [--profile FILE]`` starts a
minimal target and its sidecar as separate processes on loopback, sends calls to
both and prints the figures. ``--profile`` writes a cProfile of the sidecar.
"""

import asyncio
import cProfile
import itertools
import socket
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Final

import aiohttp
import fire
import psutil
import uvloop
from aiohttp import web
from result import Err

from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.const import PROTOCOL_VERSION
from trefoilpaddle.protocol.gen.stage.ttypes import Ack, End, Failure, Hello, Start
from trefoilpaddle.protocol.ids import new_attempt_id
from trefoilpaddle.roles.process import Process, identity_of
from trefoilpaddle.roles.sidecar import Sidecar
from trefoilpaddle.state.catalogue import ServiceKind
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.settings import (
    PlatformSettings,
    ProcessSettings,
    SidecarSettings,
    TargetSettings,
)
from trefoilpaddle.transport.connection import Address, Connection

BODY: Final = b'{"input": "' + b"x" * 200 + b'"}'
ANSWER: Final = b'{"result": "' + b"y" * 200 + b'"}'
NS_PER_S: Final = 1_000_000_000
TIMEOUT_S: Final = 10.0
N_CONCURRENT: Final = 32
N_MEMORY_ROUNDS: Final = 4
"""Further rounds in which only the resident memory is measured."""


class Tool:
    """Commands of the tool: `run` measures; the others run as its child processes."""

    def target(self, port: int) -> None:
        """Serve a target that answers immediately."""
        uvloop.run(_serve_target(port))

    def sidecar(self, listen: int, target: int, lock: int, profile: str = "") -> None:
        """Serve a sidecar without a platform, until standard input closes."""
        profiler = cProfile.Profile()
        if profile:
            profiler.enable()
        uvloop.run(_serve_sidecar(listen=listen, target=target, lock=lock))
        if profile:
            profiler.disable()
            profiler.dump_stats(profile)

    def run(self, n_calls: int = 20_000, profile: str = "") -> None:
        """Measure the sidecar and print the figures."""
        ports = _free_ports(3)
        program = [sys.executable, str(Path(__file__))]
        target = subprocess.Popen([*program, "target", f"--port={ports[0]}"])
        sidecar = subprocess.Popen(
            [
                *program,
                "sidecar",
                f"--listen={ports[1]}",
                f"--target={ports[0]}",
                f"--lock={ports[2]}",
                f"--profile={profile}",
            ],
            stdin=subprocess.PIPE,
        )
        try:
            uvloop.run(_measure(ports, sidecar.pid, n_calls))
        finally:
            assert sidecar.stdin is not None
            sidecar.stdin.close()
            sidecar.wait(TIMEOUT_S)
            target.terminate()
            target.wait(TIMEOUT_S)


def _free_ports(n: int) -> list[int]:
    sockets = [socket.socket() for _ in range(n)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def _serve_target(port: int) -> None:
    async def answer(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=ANSWER, content_type="application/json")

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


async def _serve_sidecar(*, listen: int, target: int, lock: int) -> None:
    settings = SidecarSettings(
        process=ProcessSettings(
            host="h1",
            failure_domain="fd1",
            listen=f"127.0.0.1:{listen}",
            operators_listen="127.0.0.1:1",
        ),
        platform=PlatformSettings(
            config_url="http://127.0.0.1:1", hosts_url="http://127.0.0.1:1"
        ),
        target=TargetSettings(
            name="t1",
            service="s1",
            kind=ServiceKind.PLAIN,
            url=f"http://127.0.0.1:{target}",
            lock_port=lock,
        ),
    )
    identity = identity_of(process=settings.process, role="sidecar")
    process = Process(
        identity=identity,
        listen=Address(ip="127.0.0.1", port=listen),
        journal=Journal(process_id=identity.process_id, n_records=20_000),
    )
    async with Sidecar(settings=settings, process=process).open():
        await asyncio.to_thread(sys.stdin.read)


async def _measure(ports: list[int], sidecar_pid: int, n_calls: int) -> None:
    async with aiohttp.ClientSession() as session:
        direct_s = await _direct(session, f"http://127.0.0.1:{ports[0]}/work")
    gateway = await _connect(ports[1])
    reading = asyncio.create_task(gateway.read())
    try:
        sequential_s = [await gateway.call() for _ in range(1000)]
        process = psutil.Process(sidecar_pid)
        used_s, rate = await _rate(gateway, process, n_calls)
        resident_mb = [_resident_mb(process)]
        for _ in range(N_MEMORY_ROUNDS):
            await _rate(gateway, process, n_calls)
            resident_mb.append(_resident_mb(process))
    finally:
        reading.cancel()
    print(f"direct, one at a time:   median {_ms(direct_s)} ms")
    print(f"sidecar, one at a time:  median {_ms(sequential_s)} ms")
    print(f"{n_calls} calls, {N_CONCURRENT} at once: {rate:.0f} calls/s")
    print(f"processor time of the sidecar: {1e6 * used_s / n_calls:.0f} us a call")
    print(f"calls a second per core: {n_calls / used_s:.0f}")
    readings = ", ".join(f"{each:.0f}" for each in resident_mb)
    print(f"resident memory after each {n_calls} calls: {readings} MB")


def _resident_mb(process: psutil.Process) -> float:
    resident_bytes: int = process.memory_info().rss
    return resident_bytes / 2**20


def _ms(samples_s: list[float]) -> str:
    return f"{1000 * statistics.median(samples_s):.3f}"


async def _direct(session: aiohttp.ClientSession, url: str) -> list[float]:
    samples_s = []
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            try:
                async with session.post(url, data=BODY) as response:
                    await response.read()
                break
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
    for _ in range(1000):
        begin_s = time.perf_counter()
        async with session.post(url, data=BODY) as response:
            await response.read()
        samples_s.append(time.perf_counter() - begin_s)
    return samples_s


async def _rate(
    gateway: "GatewaySide", process: psutil.Process, n_calls: int
) -> tuple[float, float]:
    call_indices = itertools.count()

    async def work() -> None:
        while next(call_indices) < n_calls:
            await gateway.call()

    before = process.cpu_times()
    begin_s = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(N_CONCURRENT)))
    span_s = time.perf_counter() - begin_s
    after = process.cpu_times()
    used_s = after.user - before.user + after.system - before.system
    return used_s, n_calls / span_s


async def _connect(port: int) -> "GatewaySide":
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            except OSError:
                await asyncio.sleep(0.05)
    hello = Hello(version=PROTOCOL_VERSION, process_id="g1-gateway", role="gateway")
    connection = Connection(reader=reader, writer=writer, own=hello)
    if isinstance(error := await connection.exchange_hello(), Err):
        raise RuntimeError(error)
    return GatewaySide(connection)


class GatewaySide:
    """Sends calls over one connection, like a gateway."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._outcomes: dict[bytes, asyncio.Future[None]] = {}

    async def read(self) -> None:
        """Acknowledge received outcomes and complete their calls."""
        async for frame in self._connection.frames():
            match frame.message:
                case End(attempt_id=attempt_id):
                    self._connection.write(Ack(attempt_id=attempt_id))
                    self._outcomes.pop(attempt_id).set_result(None)
                case Failure() as failure:
                    raise RuntimeError(failure)

    async def call(self) -> float:
        """Make one call and return its duration in seconds."""
        peer = self._connection.peer
        begin_s = time.perf_counter()
        attempt_id = new_attempt_id()
        outcome = asyncio.get_running_loop().create_future()
        self._outcomes[attempt_id] = outcome
        self._connection.write(
            Start(
                attempt_id=attempt_id,
                request_id="g1-gateway.1a2b3c.0123456789abcdef",
                stage="hold",
                entry="orders",
                owner="owner",
                path="/work",
                stamp_ns=peer.stamp_ns,
                elapsed_ns=time.monotonic_ns() - peer.stamp_ns,
                budget_ns=10 * NS_PER_S,
                predicted_s=0.0005,
                body=BODY,
                body_bytes=len(BODY),
                body_checksum=checksum(BODY),
                credit_bytes=1 << 20,
                incarnation=peer.incarnation,
            )
        )
        await outcome
        return time.perf_counter() - begin_s


if __name__ == "__main__":
    fire.Fire(Tool)
