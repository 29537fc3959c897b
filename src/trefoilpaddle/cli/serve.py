"""Starts a gateway or a sidecar from its settings file."""

import gc
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Final

import uvloop
from result import Err, Ok, Result

from ..state import logs
from ..state.problems import Problem
from ..state.settings import GatewaySettings, SidecarSettings
from ..state.settings_read import lines_of, load_gateway, load_sidecar

GC_THRESHOLDS: Final = (20_000, 50, 100)
"""Thresholds of the garbage collector for its three generations."""
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2


def gateway(path: str) -> int:
    """Run a gateway until it is stopped; return the exit code."""
    return _run(load_gateway(Path(path)), role_name="gateway")


def sidecar(path: str) -> int:
    """Run a sidecar until it is stopped; return the exit code."""
    return _run(load_sidecar(Path(path)), role_name="sidecar")


def _run(
    loaded: Result[GatewaySettings, list[Problem]]
    | Result[SidecarSettings, list[Problem]],
    *,
    role_name: str,
) -> int:
    """Run the role with its settings, or print all faults of the settings.

    Nothing is opened before the settings are validated, so an invalid file never
    leaves a process partly started.
    """
    match loaded:
        case Err(problems):
            for line in lines_of(problems):
                print(line, file=sys.stderr)
            return EXIT_BAD_INPUT
        case Ok(settings):
            process_id = f"{settings.process.host}-{role_name}"
            logs.set_up(
                format=settings.log.format,
                verbosity=settings.log.verbosity,
                process_id=process_id,
            )
            _reduce_gc_frequency()
            try:
                return uvloop.run(_role(settings))
            except OSError as error:
                print(f"{process_id} cannot go on: {error}", file=sys.stderr)
                return EXIT_FAILED


def _reduce_gc_frequency() -> None:
    """Run the collector of reference cycles rarely.

    Tens of thousands of retained records are alive and contain no cycles. At the
    default thresholds, the collector traverses them repeatedly, which costs more
    than recording them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _role(settings: GatewaySettings | SidecarSettings) -> Coroutine[None, None, int]:
    """Return the coroutine of the role; import only the modules of this role."""
    match settings:
        case GatewaySettings():
            from ..roles.gateway import run as run_gateway

            return run_gateway(settings)
        case SidecarSettings():
            from ..roles.sidecar import run as run_sidecar

            return run_sidecar(settings)
