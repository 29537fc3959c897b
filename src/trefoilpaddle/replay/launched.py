"""Starts the processes of a replay with the launcher and gives access to them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from dataclasses import asdict
from enum import Enum
from typing import Any, Final

import aiohttp

from ..standins.description import PublishedValues
from ..standins.launcher import deployment
from ..standins.running import Running
from ..standins.written_settings import Overrides, Table
from ..state.settings import PolicySettings
from .results import TargetRun
from .rounds import OpenSystem
from .site import Deployment
from .system_under_test import SystemUnderTest

SETTLE_S: Final = 5.0
"""Longest wait for running calls of targets to end before records are read."""
RETRY_WINDOW_S: Final = 1.0
"""Retention of the outcome of a key; short, as callers of a replay never retry."""
_POLL_S: Final = 0.1
_READ_TIMEOUT_S: Final = 5.0


class LaunchedSystem:
    """A running deployment that implements `SystemUnderTest`.

    Parameters
    ----------
    running : Running
        The deployment.
    """

    __slots__ = ("_killed", "_running", "_saved_runs")

    def __init__(self, *, running: Running) -> None:
        self._running = running
        self._killed: set[str] = set()
        self._saved_runs: dict[str, list[TargetRun]] = {}

    @property
    def gateways(self) -> tuple[str, ...]:
        """Base URLs of the ports on which the gateways serve callers."""
        return self._running.gateways

    def targets_of(self, service: str) -> list[str]:
        """Return the names of a service's targets; of all targets if it is empty."""
        if service:
            return self._running.targets_of(service)
        return [target.name for target in self._running.layout.targets]

    def processes_in(self, failure_domain: str) -> list[str]:
        """Return the process ids of the gateways and sidecars in a failure domain."""
        return self._running.processes_in(failure_domain)

    def sidecar_of(self, target: str) -> str:
        """Return the process id of the sidecar of `target`."""
        return self._running.sidecar_of(target)

    async def set_fault(self, target: str, fault: dict[str, object]) -> None:
        """Post `fault` to a target."""
        await self._running.set_fault(target, fault)

    async def kill(self, name: str) -> None:
        """Kill a target or a process at once; read a target's records first.

        Calls that a target starts between the read and the kill are not audited.
        """
        if name in self.targets_of(""):
            self._killed.add(name)
            self._saved_runs[name] = await self._read(name)
        self._running.kill(name)

    def freeze(self, name: str) -> None:
        """Suspend a target or a process without notifying it."""
        self._running.freeze(name)

    def thaw(self, name: str) -> None:
        """Resume a frozen target or process."""
        self._running.thaw(name)

    async def clear_records(self) -> None:
        """Delete the records of all targets."""
        async with aiohttp.ClientSession() as session:
            for target in self.targets_of(""):
                await session.delete(f"{self._running.target_url(target)}/record")

    async def records(self) -> tuple[list[TargetRun], int]:
        """Return the calls that targets ran, and the number of unreadable targets."""
        end_s = asyncio.get_running_loop().time() + SETTLE_S
        while True:
            read = await asyncio.gather(*map(self._try_read, self.targets_of("")))
            runs = [run for part in read if part is not None for run in part]
            n_lost = sum(part is None for part in read)
            have_ended = all(run.outcome != "running" for run in runs)
            if have_ended or asyncio.get_running_loop().time() > end_s:
                return runs, n_lost
            await asyncio.sleep(_POLL_S)

    async def _try_read(self, target: str) -> list[TargetRun] | None:
        if target in self._killed:
            return self._saved_runs.get(target)
        try:
            return await self._read(target)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _read(self, target: str) -> list[TargetRun]:
        service = self._running.layout.target(target).service.name
        async with asyncio.timeout(_READ_TIMEOUT_S):
            record = await self._running.record(target)
        return [_run(service, target, row) for row in record["runs"]]


def launch(site: Deployment, *, time_scale: float) -> OpenSystem:
    """Return a function that starts the processes of `site` under a policy.

    The deadlines of entries are scaled like those of the trace. Requests with an
    idempotency key are served only once each process can confirm that it has lost
    no claim, so the trace begins only after that time.
    """
    longest_s = max(entry.deadline_s for entry in site.catalogue.entries.values())

    @contextlib.asynccontextmanager
    async def open_system(
        policy: PolicySettings, deadline_factor: float
    ) -> AsyncIterator[SystemUnderTest]:
        factor = time_scale * deadline_factor
        values = _scaled(site.values, factor)
        confirmation_s = RETRY_WINDOW_S + longest_s * factor
        overrides = Overrides(
            policy=_table(policy), retention={"retry_window_s": RETRY_WINDOW_S}
        )
        async with deployment(
            site.description, values, overrides=overrides, time_scale=time_scale
        ) as running:
            await asyncio.sleep(confirmation_s)
            yield LaunchedSystem(running=running)

    return open_system


def _scaled(values: PublishedValues, factor: float) -> PublishedValues:
    scaled = dict(values)
    for key, value in values.items():
        deadline_s = value.get("deadline_s")
        if key.startswith("entry/") and isinstance(deadline_s, float):
            scaled[key] = {**value, "deadline_s": deadline_s * factor}
    return scaled


def _table(policy: PolicySettings) -> Table:
    return {
        name: value.value if isinstance(value, Enum) else value
        for name, value in asdict(policy).items()
    }


def _run(service: str, target: str, row: Mapping[str, Any]) -> TargetRun:
    return TargetRun(
        service=service,
        target=target,
        request_id=row["request_id"],
        attempt_id=row["attempt_id"],
        path=row["path"],
        input_digest=row["input_digest"],
        outcome=row["outcome"],
        cost_s=row["cost_s"],
    )
