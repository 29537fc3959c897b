"""Starts a deployment as separate processes on loopback and ends all of them."""

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

_END_S: Final = 10.0
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
    """Run `description` while the context is open.

    Parameters
    ----------
    description : Description
        What to run.
    catalogue : dict of str to dict
        Values to publish before the system starts.
    overrides : Overrides, optional
        Settings changed in every process, such as the policy.
    time_scale : float
        Multiplies all service times of the targets.
    has_system : bool
        False starts the stand-ins alone.

    Yields
    ------
    Running
        The deployment, once all of its processes are ready.

    Raises
    ------
    DeploymentError
        If a process does not come up.
    """
    layout = make_layout(description)
    change = overrides or Overrides()
    with tempfile.TemporaryDirectory(prefix="trefoilpaddle-") as name:
        folder = Path(name)
        stand_ins = list(_stand_ins(description, layout, folder, time_scale))
        system = list(_system(description, layout, folder, change))
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
                await _end(children)


async def _start(running: Running, children: list[Child]) -> None:
    for child in children:
        child.start()
    await running.wait_ready([child.name for child in children])


async def _publish(running: Running, catalogue: PublishedValues) -> None:
    for key, value in catalogue.items():
        await running.publish(key, value)
    await running.publish_hosts()


async def _end(children: list[Child]) -> None:
    """Kill what still runs; who wants a planned stop has asked for it before."""
    for child in children:
        child.send(signal.SIGKILL)
    started = [child for child in children if child.pid]
    await asyncio.gather(*(child.wait(timeout_s=_END_S) for child in started))


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
    for number, place in enumerate(layout.targets):
        options = _target_arguments(place, time_scale=time_scale, seed=number)
        yield _stand_in(place.name, options, folder)


def _target_arguments(
    place: TargetLayout, *, time_scale: float, seed: int
) -> list[str]:
    service = place.service
    parameters = {"time_scale": time_scale, "seed": seed, **service.stand_in}
    if service.kind is ServiceKind.ENGINE:
        parameters["fencing"] = service.fencing.value
    return [
        service.kind.value,
        f"--listen={place.address}",
        f"--name={place.name}",
        *(f"--{key}={value}" for key, value in parameters.items()),
    ]


def _stand_in(name: str, arguments: list[str], folder: Path) -> Child:
    return Child(
        name=name,
        arguments=["-m", "trefoilpaddle.standins", *arguments],
        log=folder / f"{name}.log",
    )


def _system(
    description: Description, layout: Layout, folder: Path, change: Overrides
) -> Iterator[Child]:
    for gateway in layout.gateways:
        text = gateway_settings(gateway, description, layout, change)
        yield _role("gateway", gateway.process_id, text, folder)
    for target in layout.targets:
        text = sidecar_settings(target, description, layout, change)
        yield _role("sidecar", target.sidecar, text, folder)


def _role(role: str, process_id: str, settings: str, folder: Path) -> Child:
    path = folder / f"{process_id}.toml"
    path.write_text(settings)
    return Child(
        name=process_id,
        arguments=["-m", "trefoilpaddle", role, f"--settings={path}"],
        log=folder / f"{process_id}.log",
    )
