"""A gateway and a sidecar as separate processes, with a fake platform and target."""

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import psutil

from tests.fake_platform import FakePlatform
from tests.sidecar_harness import FakeTarget
from tests.waiting import until
from trefoilpaddle.standins.ports import free_port

IP = "127.0.0.1"
CAP_S = 60.0

SETTINGS = """
[process]
host = "{host}"
failure_domain = "a"
listen = "{peers}"
operators_listen = "{operators}"

[platform]
config_url = "{platform}"
hosts_url = "{platform}"
poll_s = 0.2
"""
CALLERS = """
[callers]
listen = "{callers}"

[stop]
settle_s = 0.2
"""
TARGET = """
[target]
name = "t1"
service = "prices"
kind = "plain"
url = "{target}"
lock_port = {lock_port}
"""
VALUES = {
    "service/prices": {"kind": "plain"},
    "pipeline/price": {
        "stages": [{"name": "price", "service": "prices", "path": "/price"}]
    },
    "account/club": {"token_sha256": "0" * 64},
    "entry/prices": {
        "owner": "teamwear",
        "class_of_work": "prices",
        "pipelines": ["price"],
        "accounts": ["club"],
        "deadline_s": 20.0,
    },
}


@dataclass
class StartedProcess:
    """One running gateway or sidecar process."""

    popen: subprocess.Popen[bytes]
    operators: str
    log: Path

    def n_children(self) -> int:
        """Return the number of its running descendant processes."""
        try:
            return len(psutil.Process(self.popen.pid).children(recursive=True))
        except psutil.NoSuchProcess:
            return 0

    async def ended(self) -> int:
        """Wait until the process exits and return the exit code."""
        await until(lambda: self.popen.poll() is not None)
        return self.popen.returncode


@dataclass
class ProcessPair:
    """A gateway and a sidecar with a fake target and an HTTP client."""

    gateway: StartedProcess
    sidecar: StartedProcess
    callers: str
    target: FakeTarget
    client: aiohttp.ClientSession

    async def price(self) -> int:
        """Send a request to the pipeline and return the HTTP status."""
        async with self.client.post(
            f"http://{self.callers}/v1/pipelines/price",
            json={"kit": "home"},
            headers={"X-Client-Account": "club"},
        ) as response:
            await response.read()
            return response.status

    async def status_of(self, started: StartedProcess, path: str) -> int:
        """Return the status of a GET at the operators' port; 0 without an answer."""
        try:
            async with self.client.get(f"http://{started.operators}{path}") as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    async def until_ready(self) -> None:
        for started in (self.sidecar, self.gateway):
            async with asyncio.timeout(CAP_S):
                while await self.status_of(started, "/readyz") != 200:
                    log = started.log.read_text()
                    assert started.popen.poll() is None, log
                    await asyncio.sleep(0.02)

    async def until_serving(self) -> None:
        """Wait until both are ready and a request through both succeeds."""
        await self.until_ready()
        async with asyncio.timeout(CAP_S):
            while await self.price() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.target.runs.clear()

    async def until_not_ready(self) -> None:
        async with asyncio.timeout(CAP_S):
            while await self.status_of(self.gateway, "/readyz") == 200:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def until_target_called(self) -> None:
        """Wait until a call has reached the target."""
        await until(lambda: self.target.runs)

    def stop(self, order: signal.Signals = signal.SIGTERM) -> None:
        for started in (self.gateway, self.sidecar):
            started.popen.send_signal(order)


def _reset_sighup() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def _start(
    program: Sequence[str], role: str, folder: Path, text: str
) -> StartedProcess:
    settings = folder / f"{role}.toml"
    settings.write_text(text)
    log = folder / f"{role}.log"
    with log.open("wb") as out:
        popen = subprocess.Popen(
            [*program, role, "--settings", str(settings)],
            stdout=out,
            stderr=out,
            env=dict(os.environ),
            # The tests may run with SIGHUP ignored, which child processes inherit.
            preexec_fn=_reset_sighup,
        )
    operators = next(
        line.partition('"')[2].rstrip('"')
        for line in text.splitlines()
        if line.startswith("operators_listen")
    )
    return StartedProcess(popen=popen, operators=operators, log=log)


def _common(host: str, peers: str, platform: FakePlatform) -> str:
    return SETTINGS.format(
        host=host,
        peers=peers,
        operators=f"{IP}:{free_port()}",
        platform=platform.url,
    )


def _publish(platform: FakePlatform, gateway: str, sidecar: str) -> None:
    for key, value in VALUES.items():
        platform.publish(key, value)
    common = {"failure_domain": "a", "region": "r1", "state": "live"}
    platform.hosts = {
        "revision": 2,
        "hosts": [
            {"name": "g1", "role": "gateway", "peer_address": gateway, **common},
            {
                "name": "s1",
                "role": "sidecar",
                "peer_address": sidecar,
                "service": "prices",
                "target": "t1",
                **common,
            },
        ],
    }


@contextlib.asynccontextmanager
async def process_pair(
    program: Sequence[str], folder: Path, *, more_settings: str = ""
) -> AsyncIterator[ProcessPair]:
    """Run a gateway and a sidecar with `program` until the context ends."""
    async with (
        FakePlatform().serving() as platform,
        FakeTarget().serving() as target,
        aiohttp.ClientSession() as client,
    ):
        peers = {name: f"{IP}:{free_port()}" for name in ("g1", "s1")}
        callers = f"{IP}:{free_port()}"
        _publish(platform, peers["g1"], peers["s1"])
        sidecar_text = _common("s1", peers["s1"], platform) + TARGET.format(
            target=f"http://{IP}:{target.port}", lock_port=free_port()
        )
        gateway_text = _common("g1", peers["g1"], platform)
        gateway_text += CALLERS.format(callers=callers)
        sidecar = _start(program, "sidecar", folder, sidecar_text + more_settings)
        gateway = _start(program, "gateway", folder, gateway_text + more_settings)
        try:
            yield ProcessPair(
                gateway=gateway,
                sidecar=sidecar,
                callers=callers,
                target=target,
                client=client,
            )
        finally:
            for started in (gateway, sidecar):
                if started.popen.poll() is None:
                    started.popen.kill()
                started.popen.wait()
