"""Runs a deployment as separate processes on loopback addresses."""

import asyncio
import contextlib
import signal
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Final

import aiohttp

from trefoilpaddle.state.catalogue import ServiceKind

from .child import Child
from .description import Description, PublishedValues
from .layout import Layout, TargetLayout, make_layout
from .running import Running
from .written_settings import Overrides, gateway_settings, sidecar_settings

_EXIT_TIMEOUT_S: Final = 10.0
_PLATFORM: Final = ("config", "hosts", "weights")


@contextlib.asynccontextmanager
async def deployment(
    description: Description,
    catalogue: PublishedValues,
    *,
    overrides: Overrides | None = None,
    time_scale: float = 1.0,
    has_system: bool = True,
) -> AsyncIterator[Running]:
    """Run the deployment `description` while the context is open.

    Parameters
    ----------
    description : Description
        Deployment to run.
    catalogue : dict of str to dict
        Values that are published before gateways and sidecars start.
    overrides : Overrides, optional
        Settings that are changed in every process, such as the policy.
    time_scale : float
        Factor for all service times of the targets.
    has_system : bool
        False starts only the stand-ins.

    Yields
    ------
    Running
        The deployment, once all of its processes are ready.

    Raises
    ------
    DeploymentError
        If a process exits early or is not ready in time.
    """
    layout = make_layout(description)
    active_overrides = overrides or Overrides()
    with tempfile.TemporaryDirectory(prefix="trefoilpaddle-") as name:
        folder = Path(name)
        stand_ins = list(_stand_ins(description, layout, folder, time_scale))
        system = list(_system_processes(description, layout, folder, active_overrides))
        children = [*stand_ins, *(system if has_system else [])]
        async with aiohttp.ClientSession() as session:
            running = Running(
                description=description,
                layout=layout,
                children={child.name: child for child in children},
                folder=folder,
                session=session,
            )
            try:
                await _start(running, stand_ins)
                await _publish(running, catalogue)
                if has_system:
                    await _start(running, system)
                yield running
            finally:
                await _kill_all(children)


async def _start(running: Running, children: list[Child]) -> None:
    for child in children:
        child.start()
    await running.wait_ready([child.name for child in children])


async def _publish(running: Running, catalogue: PublishedValues) -> None:
    for key, value in catalogue.items():
        await running.publish(key, value)
    await running.publish_hosts()


async def _kill_all(children: list[Child]) -> None:
    """Kill the processes that still run; a planned stop must be requested before."""
    for child in children:
        child.send(signal.SIGKILL)
    started = [child for child in children if child.pid]
    await asyncio.gather(*(child.wait(timeout_s=_EXIT_TIMEOUT_S) for child in started))


def _stand_ins(
    description: Description, layout: Layout, folder: Path, time_scale: float
) -> Iterator[Child]:
    arguments = {
        "config": [
            f"--listen={layout.config_address}",
            f"--reads_per_s={description.reads_per_s}",
        ],
        "hosts": [
            f"--listen={layout.hosts_address}",
            f"--lag_s={description.hosts_lag_s}",
        ],
        "weights": [
            f"--listen={layout.weights_address}",
            f"--time_scale={time_scale}",
        ],
    }
    for name in _PLATFORM:
        yield _stand_in(name, [name, *arguments[name]], folder)
    for index, target in enumerate(layout.targets):
        options = _target_arguments(target, time_scale=time_scale, seed=index)
        yield _stand_in(target.name, options, folder)


def _target_arguments(
    target: TargetLayout, *, time_scale: float, seed: int
) -> list[str]:
    service = target.service
    parameters = {"time_scale": time_scale, "seed": seed, **service.stand_in}
    if service.kind is ServiceKind.ENGINE:
        parameters["fencing"] = service.fencing.value
    return [
        service.kind.value,
        f"--listen={target.address}",
        f"--name={target.name}",
        *(f"--{key}={value}" for key, value in parameters.items()),
    ]


def _stand_in(name: str, arguments: list[str], folder: Path) -> Child:
    return Child(
        name=name,
        arguments=["-m", "trefoilpaddle.standins", *arguments],
        log=folder / f"{name}.log",
    )


def _system_processes(
    description: Description, layout: Layout, folder: Path, overrides: Overrides
) -> Iterator[Child]:
    for gateway in layout.gateways:
        text = gateway_settings(gateway, description, layout, overrides)
        yield _system_process("gateway", gateway.process_id, text, folder)
    for target in layout.targets:
        text = sidecar_settings(target, description, layout, overrides)
        yield _system_process("sidecar", target.sidecar, text, folder)


def _system_process(role: str, process_id: str, settings: str, folder: Path) -> Child:
    path = folder / f"{process_id}.toml"
    path.write_text(settings)
    return Child(
        name=process_id,
        arguments=["-m", "trefoilpaddle", role, f"--settings={path}"],
        log=folder / f"{process_id}.log",
    )
