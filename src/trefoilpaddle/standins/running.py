"""A running deployment: its addresses and the control of its processes."""

import asyncio
import itertools
import re
import signal
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import aiohttp

from .child import Child
from .description import Description
from .layout import Layout

START_TIMEOUT_S: Final = 90.0
STOP_TIMEOUT_S: Final = 60.0
_POLL_S: Final = 0.05
_N_INTERRUPTED: Final = re.compile(r'n_cut_off["=: ]+(\d+)')


class DeploymentError(Exception):
    """A process did not become ready, exited early or did not log its stop."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Published:
    """One change of a catalogue value; None means that it was deleted."""

    key: str
    value: dict[str, object] | None


class Running:
    """A running deployment.

    Processes are addressed by name: the name of a target for its stand-in, the
    process id of a gateway or sidecar, or ``config``, ``hosts`` or ``weights``.

    Parameters
    ----------
    description : Description
        Description of the deployment.
    layout : Layout
        Addresses of its processes.
    children : dict of str to Child
        Processes by name.
    folder : Path
        Folder of the settings files and logs.
    session : aiohttp.ClientSession
        Session for calls to the stand-ins and health checks.
    """

    __slots__ = (
        "_host_lists",
        "_leaving",
        "_published",
        "_session",
        "children",
        "description",
        "folder",
        "layout",
    )

    def __init__(
        self,
        *,
        description: Description,
        layout: Layout,
        children: Mapping[str, Child],
        folder: Path,
        session: aiohttp.ClientSession,
    ) -> None:
        self.description = description
        self.layout = layout
        self.children = dict(children)
        self.folder = folder
        self._session = session
        self._leaving: frozenset[str] = frozenset()
        self._published: list[_Published] = []
        self._host_lists: list[list[object]] = []

    @property
    def gateways(self) -> tuple[str, ...]:
        """Return the base URLs of the gateways for callers."""
        return tuple(f"http://{each.callers_address}" for each in self.layout.gateways)

    @property
    def config_url(self) -> str:
        """Return the base URL of the configuration service."""
        return f"http://{self.layout.config_address}"

    @property
    def hosts_url(self) -> str:
        """Return the base URL of the host list."""
        return f"http://{self.layout.hosts_address}"

    def target_url(self, target: str) -> str:
        """Return the base URL of a target's stand-in."""
        return f"http://{self.layout.target(target).address}"

    def operators_url(self, process_id: str) -> str:
        """Return the base URL of the operators' port of a gateway or sidecar."""
        for gateway in self.layout.gateways:
            if gateway.process_id == process_id:
                return f"http://{gateway.operators_address}"
        target = self.layout.target(process_id.removesuffix("-sidecar"))
        return f"http://{target.operators_address}"

    def targets_of(self, service: str) -> list[str]:
        """Return the names of a service's targets."""
        return [
            each.name for each in self.layout.targets if each.service.name == service
        ]

    def sidecar_of(self, target: str) -> str:
        """Return the process id of the sidecar of `target`."""
        return self.layout.target(target).sidecar

    def processes_in(self, failure_domain: str) -> list[str]:
        """Return the process ids of gateways and sidecars in a failure domain."""
        return [
            name
            for name, domain in self._domains()
            if domain == failure_domain and name in self.children
        ]

    def system_processes(self) -> list[str]:
        """Return the process ids of all gateways and sidecars in the run."""
        return [name for name, _ in self._domains() if name in self.children]

    def _domains(self) -> Iterator[tuple[str, str]]:
        for gateway in self.layout.gateways:
            yield gateway.process_id, gateway.failure_domain
        for target in self.layout.targets:
            yield target.sidecar, target.failure_domain

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.children[name].send(signal.SIGKILL)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.children[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT."""
        self.children[name].send(signal.SIGCONT)

    async def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        child = self.children[name]
        child.send(signal.SIGTERM)
        return await child.wait(timeout_s=STOP_TIMEOUT_S)

    async def start(self, name: str) -> None:
        """Start a process again after its exit and wait until it is ready.

        The configuration service and the host list get all earlier changes again
        and so the same revisions, like services that keep their data on disk.
        """
        child = self.children[name]
        await child.wait(timeout_s=STOP_TIMEOUT_S)
        child.start()
        await self.wait_ready([name])
        match name:
            case "config":
                for change in self._published:
                    await self._put(change)
            case "hosts":
                for hosts in self._host_lists:
                    await self._put_hosts(hosts)

    async def drain(self) -> int:
        """Stop all gateways, then all sidecars; count the interrupted requests.

        Raises
        ------
        DeploymentError
            If a process did not log how many requests it interrupted.
        """
        gateways = [gateway.process_id for gateway in self.layout.gateways]
        names = self.system_processes()
        first = [name for name in names if name in gateways]
        await asyncio.gather(*(self.stop(name) for name in first))
        rest = [name for name in names if name not in gateways]
        await asyncio.gather(*(self.stop(name) for name in rest))
        return sum(self.n_cut_off(name) for name in names)

    def n_cut_off(self, name: str) -> int:
        """Return how many requests a process interrupted at its stop, from its log."""
        found = _N_INTERRUPTED.findall(self.children[name].log.read_text())
        if not found:
            raise DeploymentError(
                f"{name} did not log how many requests its stop interrupted:\n"
                f"{self.children[name].tail()}"
            )
        return int(found[-1])

    async def set_fault(self, target: str, fault: Mapping[str, object]) -> None:
        """Set a fault at a stand-in: a target, ``config``, ``hosts`` or ``weights``."""
        url = f"{self._stand_in_url(target)}/fault"
        async with self._session.post(url, json=dict(fault)) as answer:
            answer.raise_for_status()

    async def record(self, target: str) -> dict[str, Any]:
        """Return the record of a target's stand-in."""
        async with self._session.get(f"{self.target_url(target)}/record") as answer:
            answer.raise_for_status()
            body: dict[str, Any] = await answer.json()
            return body

    async def publish(self, key: str, value: Mapping[str, object] | None) -> int:
        """Publish or delete (None) a catalogue value and return the revision."""
        change = _Published(key=key, value=None if value is None else dict(value))
        revision = await self._put(change)
        self._published.append(change)
        return revision

    async def publish_hosts(self, *, leaving: frozenset[str] | None = None) -> None:
        """Publish the host list; `leaving` replaces the set of leaving processes."""
        if leaving is not None:
            self._leaving = leaving
        hosts = self.layout.published_hosts(
            leaving=self._leaving, region=self.description.region
        )
        await self._put_hosts(hosts)
        self._host_lists.append(hosts)

    async def _put(self, change: "_Published") -> int:
        url = f"{self.config_url}/admin/values/{change.key}"
        if change.value is None:
            request = self._session.delete(url)
        else:
            request = self._session.put(url, json=change.value)
        async with request as answer:
            answer.raise_for_status()
            return int((await answer.json())["revision"])

    async def _put_hosts(self, hosts: list[object]) -> None:
        url = f"{self.hosts_url}/admin/hosts"
        async with self._session.put(url, json={"hosts": hosts}) as answer:
            answer.raise_for_status()

    async def wait_ready(
        self, names: list[str], *, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until all named processes report that they are ready.

        Raises
        ------
        DeploymentError
            If one exits or is not ready in time, with the end of its log.
        """
        await asyncio.gather(*(self._wait_ready(name, timeout_s) for name in names))

    async def _wait_ready(self, name: str, timeout_s: float) -> None:
        child = self.children[name]
        url = self._ready_url(name)
        end_s = asyncio.get_running_loop().time() + timeout_s
        for _ in itertools.count():
            if not child.is_running:
                raise DeploymentError(
                    f"{name} exited with {child.exit_code}:\n{child.tail()}"
                )
            if await self._answers(url):
                return
            if asyncio.get_running_loop().time() > end_s:
                raise DeploymentError(
                    f"{name} is not ready after {timeout_s:g} s:\n{child.tail()}"
                )
            await asyncio.sleep(_POLL_S)

    async def _answers(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _ready_url(self, name: str) -> str:
        if name in self.system_processes():
            return f"{self.operators_url(name)}/readyz"
        return f"{self._stand_in_url(name)}/health"

    def _stand_in_url(self, name: str) -> str:
        match name:
            case "config":
                return self.config_url
            case "hosts":
                return self.hosts_url
            case "weights":
                return f"http://{self.layout.weights_address}"
            case _:
                return self.target_url(name)
