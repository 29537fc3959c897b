"""Does the faults of a trace to the running processes, at their times."""

import asyncio
from collections.abc import Iterable

from .plant import Plant
from .trace import CutDomain, Fault, FreezeTarget, KillTarget, SlowService, StaleLoad


async def drive_faults(faults: Iterable[Fault], plant: Plant, begin: float) -> None:
    """Do each fault at its time after `begin`, and repair it.

    Parameters
    ----------
    faults : iterable of Fault
        What goes wrong.
    plant : Plant
        Where.
    begin : float
        The event loop's time at which the trace started.
    """
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(_drive(fault, plant, begin))


async def _drive(fault: Fault, plant: Plant, begin: float) -> None:
    await _until(begin + fault.at_s)
    match fault:
        case SlowService():
            slow: dict[str, object] = {"kind": "slow", "factor": fault.factor}
            await _with_fault(fault.duration_s, slow, fault.service, plant)
        case StaleLoad():
            stale: dict[str, object] = {"kind": "stale", "lag_s": fault.lag_s}
            await _with_fault(fault.duration_s, stale, "", plant)
        case KillTarget():
            await plant.kill(fault.target)
        case FreezeTarget():
            names = [fault.target, plant.sidecar_of(fault.target)]
            await _freeze(names, fault.duration_s, plant)
        case CutDomain():
            names = plant.processes_in(fault.failure_domain)
            await _freeze(names, fault.duration_s, plant)


async def _until(when: float) -> None:
    await asyncio.sleep(max(0.0, when - asyncio.get_running_loop().time()))


async def _with_fault(
    duration_s: float, fault: dict[str, object], service: str, plant: Plant
) -> None:
    targets = plant.targets_of(service)
    await asyncio.gather(*(plant.set_fault(target, fault) for target in targets))
    await asyncio.sleep(duration_s)
    heal: dict[str, object] = {"kind": "heal"}
    await asyncio.gather(*(plant.set_fault(target, heal) for target in targets))


async def _freeze(names: list[str], duration_s: float, plant: Plant) -> None:
    for name in names:
        plant.freeze(name)
    try:
        await asyncio.sleep(duration_s)
    finally:
        for name in names:
            plant.thaw(name)
