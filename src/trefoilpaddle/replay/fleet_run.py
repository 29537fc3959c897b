"""Starts the worker processes of a measured fleet and sends them commands."""

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator, Sequence
from typing import Any, Final

import orjson

from .fleet_platform import FleetPlatform

GATEWAY_SHARE: Final = 0.3
N_DOMAINS: Final = 5
N_SERVICES: Final = 10
POLL_S: Final = 0.5
LINE_LIMIT_BYTES: Final = 16 * 1024 * 1024
REPLY_TIMEOUT_S: Final = 120.0
STOP_TIMEOUT_S: Final = 5.0
ACCOUNT: Final = {"token_sha256": "0" * 64}


class WorkerProcess:
    """A worker process and its standard streams."""

    __slots__ = ("_process", "n_peers", "role")

    def __init__(
        self, *, process: asyncio.subprocess.Process, role: str, n_peers: int
    ) -> None:
        self._process = process
        self.role = role
        self.n_peers = n_peers

    async def send(self, command: dict[str, Any]) -> dict[str, Any]:
        """Send one command and return its reply.

        Raises
        ------
        RuntimeError
            If the worker has exited.
        """
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None and stdout is not None
        stdin.write(orjson.dumps(command) + b"\n")
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            line = await stdout.readline()
        if not line:
            raise RuntimeError("a worker of the fleet has exited; see its output above")
        reply: dict[str, Any] = orjson.loads(line)
        return reply

    async def stop(self) -> None:
        """Stop the worker by closing its standard input; kill it after a time-out."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


class Fleet:
    """The worker processes of a fleet and their platform."""

    __slots__ = ("platform", "start_s", "workers")

    def __init__(self, *, platform: FleetPlatform) -> None:
        self.platform = platform
        self.workers: list[WorkerProcess] = []
        self.start_s = 0.0

    async def send_all(self, command: dict[str, Any]) -> list[dict[str, Any]]:
        """Send one command to all workers concurrently and return their replies."""
        return list(
            await asyncio.gather(
                *(worker.send(dict(command)) for worker in self.workers)
            )
        )


def plan_workers(n_peers: int, per_worker: int) -> list[tuple[str, int]]:
    """Return the role and the number of peers of each worker."""
    n_gateways = max(1, round(n_peers * GATEWAY_SHARE))
    plan: list[tuple[str, int]] = []
    for role, n_of_role in (
        ("gateway", n_gateways),
        ("sidecar", n_peers - n_gateways),
    ):
        while n_of_role > 0:
            n_here = min(per_worker, n_of_role)
            plan.append((role, n_here))
            n_of_role -= n_here
    return plan


@contextlib.asynccontextmanager
async def running_fleet(
    n_peers: int, *, per_worker: int, n_keys: int
) -> AsyncIterator[Fleet]:
    """Yield a fleet in which the catalogue is active at all peers."""
    async with FleetPlatform().serving() as platform:
        for number in range(N_SERVICES):
            platform.config.publish(f"service/s{number}", {"kind": "pool"})
        for number in range(n_keys - N_SERVICES):
            platform.config.publish(f"account/a{number}", ACCOUNT)
        fleet = Fleet(platform=platform)
        try:
            await _start(fleet, plan_workers(n_peers, per_worker))
            yield fleet
        finally:
            await asyncio.gather(*(worker.stop() for worker in fleet.workers))


async def _start(fleet: Fleet, plan: Sequence[tuple[str, int]]) -> None:
    began_s = time.monotonic()
    hosts: list[dict[str, Any]] = []
    for role, n_peers in plan:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trefoilpaddle.replay.fleet_worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        worker = WorkerProcess(process=process, role=role, n_peers=n_peers)
        fleet.workers.append(worker)
        reply = await worker.send(
            {
                "do": "start",
                "first": len(hosts),
                "n_peers": n_peers,
                "role": role,
                "n_domains": N_DOMAINS,
                "n_services": N_SERVICES,
                "config_url": fleet.platform.config_url,
                "hosts_url": fleet.platform.hosts_url,
                "seeds": [host["peer_address"] for host in hosts[:3]],
            }
        )
        hosts += reply["hosts"]
    fleet.platform.hosts.publish(hosts)
    await fleet.send_all(
        {"do": "wait", "revision": fleet.platform.config.revisions.latest}
    )
    while await _n_known(fleet) < len(hosts):  # noqa: ASYNC110 (in other processes)
        await asyncio.sleep(POLL_S)
    fleet.start_s = time.monotonic() - began_s


async def _n_known(fleet: Fleet) -> int:
    """Return the smallest number of live members that any peer knows."""
    return min(int(one["n_known"]) for one in await fleet.send_all({"do": "figures"}))
