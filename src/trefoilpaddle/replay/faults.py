"""Injects the faults of a trace into the running processes at their times."""

import asyncio
from collections.abc import Iterable

from .system_under_test import SystemUnderTest
from .trace import CutDomain, Fault, FreezeTarget, KillTarget, SlowService, StaleLoad


async def inject_faults(
    faults: Iterable[Fault], system: SystemUnderTest, begin: float
) -> None:
    """Inject each fault at its time after `begin` and repair it at its end.

    Parameters
    ----------
    faults : iterable of Fault
        The faults.
    system : SystemUnderTest
        The processes that the faults apply to.
    begin : float
        Time of the event loop at which the trace starts, in seconds.
    """
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(_inject(fault, system, begin))


async def _inject(fault: Fault, system: SystemUnderTest, begin: float) -> None:
    await _sleep_until(begin + fault.at_s)
    match fault:
        case SlowService():
            slow: dict[str, object] = {"kind": "slow", "factor": fault.factor}
            await _with_fault(fault.duration_s, slow, fault.service, system)
        case StaleLoad():
            stale: dict[str, object] = {"kind": "stale", "lag_s": fault.lag_s}
            await _with_fault(fault.duration_s, stale, "", system)
        case KillTarget():
            await system.kill(fault.target)
        case FreezeTarget():
            names = [fault.target, system.sidecar_of(fault.target)]
            await _freeze(names, fault.duration_s, system)
        case CutDomain():
            names = system.processes_in(fault.failure_domain)
            await _freeze(names, fault.duration_s, system)


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


async def _with_fault(
    duration_s: float, fault: dict[str, object], service: str, system: SystemUnderTest
) -> None:
    targets = system.targets_of(service)
    await asyncio.gather(*(system.set_fault(target, fault) for target in targets))
    await asyncio.sleep(duration_s)
    heal: dict[str, object] = {"kind": "heal"}
    await asyncio.gather(*(system.set_fault(target, heal) for target in targets))


async def _freeze(names: list[str], duration_s: float, system: SystemUnderTest) -> None:
    for name in names:
        system.freeze(name)
    try:
        await asyncio.sleep(duration_s)
    finally:
        for name in names:
            system.thaw(name)
