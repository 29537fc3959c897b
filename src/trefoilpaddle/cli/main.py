"""The command line: one class, a method for each command."""

import sys
from pathlib import Path

import fire
import uvloop
from result import Err, Ok

from ..roles import sidecar
from ..state.settings import lines_of, load_sidecar

BAD_SETTINGS_STATUS = 2


class Commands:
    """trefoilpaddle serves multi-stage model pipelines, driven by a catalogue."""

    def sidecar(self, settings: str) -> None:
        """Run the sidecar that the TOML file SETTINGS describes."""
        match load_sidecar(Path(settings)):
            case Err(problems):
                for line in lines_of(problems):
                    print(line, file=sys.stderr)
                sys.exit(BAD_SETTINGS_STATUS)
            case Ok(checked):
                sys.exit(uvloop.run(sidecar.run(checked)))


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="trefoilpaddle")
