"""Gateways of the platform as separate processes, next to a stand-in site."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import aiohttp
import orjson

from ..ports import free_port
from .site import GRACE_S, HOST, IP, KEY, Site, settings

ROOT: Final = Path(__file__).resolve().parents[4]
"""Root of the repository, the working directory of the platform's programs."""

PROCESS_TIMEOUT_S: Final = 30.0
"""Longest wait until a process is ready or has exited."""

POLL_S: Final = 0.02
N_PORTS: Final = 4
MAX_SEEDS: Final = 3
"""Seeds that the platform names to a gateway; it may be one of them."""

OK_STATUS: Final = 200


class GatewayProcess:
    """A gateway process, which can be started several times.

    Parameters
    ----------
    host, domain : str
        Host of the gateway and its failure domain.
    folder : Path
        Folder for its settings file and logs.
    store : str
        ``ip:port`` of the store.
    seeds : list of str
        Addresses of the peers that it contacts first.
    grace_s : float
        Time from the stop signal to the kill.

    Attributes
    ----------
    program : str
        What the interpreter runs, below the root of the repository.
    variables : dict of str to str
        Further environment variables of the process.
    limits : dict
        Limits of its machine, as the platform writes them.
    """

    __slots__ = (
        "_grace_s",
        "domain",
        "folder",
        "host",
        "limits",
        "logs",
        "ports",
        "program",
        "run",
        "seeds",
        "store",
        "variables",
    )

    def __init__(
        self,
        *,
        host: str,
        domain: str,
        folder: Path,
        store: str,
        seeds: list[str],
        grace_s: float = GRACE_S,
    ) -> None:
        self.host = host
        self.domain = domain
        self.folder = folder
        self.store = store
        self.program = "platform"
        self.variables: dict[str, str] = {}
        self.limits: dict[str, Any] = {}
        self.seeds = seeds
        self._grace_s = grace_s
        self.ports = [free_port() for _ in range(N_PORTS)]
        self.logs: list[Path] = []
        self.run: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{IP}:{self.ports[0]}"

    @property
    def peers_address(self) -> str:
        """Address for other gateways, ``ip:port``."""
        return f"{IP}:{self.ports[2]}"

    @property
    def operators_url(self) -> str:
        """Base URL for operators."""
        return f"http://{IP}:{self.ports[3]}"

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.host}.json"
        fields = settings(
            host=self.host,
            domain=self.domain,
            ports=self.ports,
            store=self.store,
            seeds=self.seeds,
            grace_s=self._grace_s,
            limits=self.limits,
        )
        path.write_bytes(orjson.dumps(fields))
        return path

    def start(self) -> None:
        """Start the process with a new log file."""
        path = self.write_settings()
        self.logs.append(self.folder / f"{self.host}-{len(self.logs)}.log")
        variables = {
            "TREFOILPADDLE_NODE_FILE": str(path),
            "TREFOILPADDLE_METRICS": f"{self.ports[3]}/metrics",
        }
        with self.logs[-1].open("wb") as log:
            self.run = subprocess.Popen(
                [sys.executable, self.program],
                cwd=ROOT,
                env=os.environ | variables | self.variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.run is not None:
            self.run.send_signal(signal_number)

    async def wait_exit(self) -> int:
        """Wait until the process has exited and return its exit code.

        Raises
        ------
        TimeoutError
            If it is still running after ``PROCESS_TIMEOUT_S``.
        """
        run = self.run
        if run is None:
            return 0
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            while run.poll() is None:  # noqa: ASYNC110 - no event signals it
                await asyncio.sleep(POLL_S)
        return run.returncode

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.run is not None and self.run.poll() is None:
            self.run.kill()
            self.run.wait()

    def log(self) -> str:
        """Return the logs of all starts."""
        return "".join(path.read_text() for path in self.logs)

    async def is_ready(self, client: aiohttp.ClientSession) -> bool:
        """Return True if the gateway reports that it accepts requests."""
        url = f"http://{IP}:{self.ports[1]}/trefoilpaddle/readiness"
        try:
            async with client.get(url) as answer:
                return answer.status == OK_STATUS
        except aiohttp.ClientError:
            return False

    async def wait_ready(self, client: aiohttp.ClientSession) -> None:
        """Wait until the gateway reports that it accepts requests.

        Raises
        ------
        ChildProcessError
            If it exits before, with the last line of its log.
        TimeoutError
            If it is not ready after ``PROCESS_TIMEOUT_S``.
        """
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            while not await self.is_ready(client):
                if self.run is not None and self.run.poll() is not None:
                    raise ChildProcessError(
                        f"{self.host} ended with {self.run.returncode} before it was"
                        f" ready: {self._last_error()}"
                    )
                await asyncio.sleep(POLL_S)

    def _last_error(self) -> str:
        """Return the last log line that names an error, otherwise the last line."""
        lines = self.logs[-1].read_text().splitlines()
        errors = [line.strip(" |") for line in lines if "Error" in line]
        return (errors or lines or [""])[-1]


@contextlib.asynccontextmanager
async def gateways(
    site: Site,
    folder: Path,
    *domains: str,
    grace_s: float = GRACE_S,
    prepare: Callable[[list[GatewayProcess]], Awaitable[None]] | None = None,
) -> AsyncIterator[list[GatewayProcess]]:
    """Start one gateway for each of `domains` and yield them once all are ready.

    `prepare` is called before the first one starts.
    """
    processes: list[GatewayProcess] = []
    seeds: list[str] = []
    for index, domain in enumerate(domains):
        processes.append(
            GatewayProcess(
                host=f"g{index}",
                domain=domain,
                folder=folder,
                store=site.store_address,
                seeds=seeds,
                grace_s=grace_s,
            )
        )
    seeds += [each.peers_address for each in processes[:MAX_SEEDS]]
    if prepare is not None:
        await prepare(processes)
    async with aiohttp.ClientSession() as client:
        try:
            for gateway in processes:
                gateway.start()
            for gateway in processes:
                await gateway.wait_ready(client)
            yield processes
        finally:
            for gateway in processes:
                gateway.kill()


def headers(request_id: str, **more: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    known = {
        "Host": HOST,
        "Trefoilpaddle-Attempt-Id": request_id,
        "Trefoilpaddle-Deadline-Milliseconds": "5000",
        "Trefoilpaddle-Credential": KEY,
    }
    return known | {name.replace("_", "-"): value for name, value in more.items()}


DRAFT: Final = {
    "Trefoilpaddle-Model": "m",
    "Trefoilpaddle-Token-Counts": "100,20",
    "Trefoilpaddle-Prompt-Prefix": "a1:60,b2:30,c3:10",
    "Trefoilpaddle-Pieces": "2,3",
    "Trefoilpaddle-Piece-Key": "k1",
}
"""Headers of a request to the route with stages."""


def event_numbers(body: bytes) -> list[int]:
    """Return the ids of the events in the body of a stream."""
    lines = body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line[:3] == "id:"]
