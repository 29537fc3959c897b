"""``trefoilpaddle status``: shows processes, targets, owners and revisions."""

import sys
import time
from typing import Final

from pydantic import ValidationError
from result import Err, Ok, Result
from rich.console import Console
from rich.live import Live

from ..state.status import FLEET, FleetStatus
from .operators_http import get
from .status_table import render

EXIT_NO_ANSWER: Final = 2
WATCH_S: Final = 1.0


def status(*, at: str, watch: bool, as_json: bool) -> int:
    """Print the status of the fleet once or repeatedly; return the exit code.

    `at` is the URL of the operators' port of any process.
    """
    console = Console()
    match _read(at):
        case Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_NO_ANSWER
        case Ok((body, fleet)):
            if as_json:
                print(body.decode())
            elif watch:
                _watch(console, at, fleet)
            else:
                console.print(render(fleet))
            return 0


def _watch(console: Console, at: str, fleet: FleetStatus) -> None:
    with Live(render(fleet), console=console, auto_refresh=False) as live:
        while True:
            time.sleep(WATCH_S)
            match _read(at):
                case Err(problem):
                    live.update(problem, refresh=True)
                case Ok((_, fleet)):
                    live.update(render(fleet), refresh=True)


def _read(at: str) -> Result[tuple[bytes, FleetStatus], str]:
    match get(at, "/v1/status"):
        case Err(problem):
            return Err(problem)
        case Ok(reply):
            try:
                return Ok((reply.body, FLEET.validate_json(reply.body)))
            except ValidationError:
                return Err(f"{at} answered something that is no status")
