"""The command line: one class, a method for each command."""

import sys
from pathlib import Path

import fire
import uvloop
from result import Err, Ok

from ..roles import gateway as gateway_role
from ..state.settings import lines_of, load_gateway

EXIT_BAD_SETTINGS = 2


class Commands:
    """trefoilpaddle serves multi-stage model pipelines, driven by a catalogue."""

    def gateway(self, settings: str) -> None:
        """Serve callers, with the settings in the TOML file at `settings`."""
        match load_gateway(Path(settings)):
            case Err(problems):
                print(*lines_of(problems), sep="\n", file=sys.stderr)
                sys.exit(EXIT_BAD_SETTINGS)
            case Ok(checked):
                sys.exit(uvloop.run(gateway_role.run(checked)))


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="trefoilpaddle")
