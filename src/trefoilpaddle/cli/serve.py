"""Start one of the two roles from its settings file."""

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

COLLECT_AFTER: Final = (20_000, 50, 100)
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
    """Run the role with its settings, or print all that is wrong with them.

    Nothing is opened before the settings are found whole, so a faulty file
    never leaves a process half started.
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
            _calm_collector()
            try:
                return uvloop.run(_role(settings))
            except OSError as error:
                print(f"{process_id} cannot go on: {error}", file=sys.stderr)
                return EXIT_FAILED


def _calm_collector() -> None:
    """Look for garbage cycles rarely.

    Tens of thousands of kept records are alive and hold no cycles; at the
    usual thresholds the collector walks them again and again, which cost more
    than writing them.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


def _role(settings: GatewaySettings | SidecarSettings) -> Coroutine[None, None, int]:
    """Return the role's run; imported late, as the other's modules go unused."""
    match settings:
        case GatewaySettings():
            from ..roles.gateway import run as run_gateway

            return run_gateway(settings)
        case SidecarSettings():
            from ..roles.sidecar import run as run_sidecar

            return run_sidecar(settings)
