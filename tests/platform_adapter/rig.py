"""Gateways of the platform as processes, beside a small stand-in site."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import orjson

from tests.sidecar_rig import free_port
from trefoilpaddle.standins.platform.site import HOST, IP, KEY, Site, settings

ROOT = Path(__file__).resolve().parents[2]
CAP_S = 30.0


@dataclass
class GatewayProcess:
    """One gateway."""

    host: str
    domain: str
    ports: list[int]
    folder: Path
    store: str
    seeds: list[str]
    process: subprocess.Popen[bytes] | None = None
    logs: list[Path] = field(default_factory=list)

    @property
    def url(self) -> str:
        return f"http://{IP}:{self.ports[0]}"

    def start(self) -> None:
        path = self.folder / f"{self.host}.json"
        fields = settings(
            host=self.host,
            domain=self.domain,
            ports=self.ports,
            store=self.store,
            seeds=self.seeds,
        )
        path.write_bytes(orjson.dumps(fields))
        log = self.folder / f"{self.host}-{len(self.logs)}.log"
        self.logs.append(log)
        self.process = subprocess.Popen(
            [sys.executable, "platform"],
            cwd=ROOT,
            env=os.environ
            | {
                "TREFOILPADDLE_NODE_FILE": str(path),
                "TREFOILPADDLE_METRICS": f"{self.ports[3]}/metrics",
            },
            stdout=log.open("wb"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        assert self.process is not None
        async with asyncio.timeout(CAP_S):
            return await asyncio.to_thread(self.process.wait)

    def log(self) -> str:
        return "".join(path.read_text() for path in self.logs)

    async def is_ready(self, client: aiohttp.ClientSession) -> bool:
        url = f"http://{IP}:{self.ports[1]}/trefoilpaddle/readiness"
        try:
            async with client.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self, client: aiohttp.ClientSession) -> None:
        async with asyncio.timeout(CAP_S):
            while not await self.is_ready(client):  # noqa: ASYNC110
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def gateways(
    site: Site, folder: Path, *domains: str
) -> AsyncIterator[list[GatewayProcess]]:
    """Start one gateway in each of `domains` and wait until all are ready."""
    made: list[GatewayProcess] = []
    for number, domain in enumerate(domains):
        ports = [free_port() for _ in range(4)]
        gateway = GatewayProcess(
            host=f"g{number}",
            domain=domain,
            ports=ports,
            folder=folder,
            store=site.store_address,
            seeds=[f"{IP}:{each.ports[2]}" for each in made],
        )
        made.append(gateway)
    async with aiohttp.ClientSession() as client:
        try:
            for gateway in made:
                gateway.start()
            for gateway in made:
                await gateway.wait_ready(client)
            yield made
        finally:
            for gateway in made:
                if gateway.process is not None and gateway.process.poll() is None:
                    gateway.process.kill()
                    gateway.process.wait()


def headers(request_id: str, **more: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    known = {
        "Host": HOST,
        "Trefoilpaddle-Attempt-Id": request_id,
        "Trefoilpaddle-Deadline-Milliseconds": "5000",
        "Trefoilpaddle-Credential": KEY,
    }
    return known | {name.replace("_", "-"): value for name, value in more.items()}


DRAFT = {
    "Trefoilpaddle-Model": "m",
    "Trefoilpaddle-Token-Counts": "100,20",
    "Trefoilpaddle-Prompt-Prefix": "a1:60,b2:30,c3:10",
    "Trefoilpaddle-Pieces": "2,3",
    "Trefoilpaddle-Piece-Key": "k1",
}
"""Headers of a request for the route with stages."""


def event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the events in a stream's bytes."""
    lines = body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line[:3] == "id:"]
