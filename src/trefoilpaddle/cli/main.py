"""The command line: one class, a method for each command."""

import sys

import fire

from trefoilpaddle import __version__

from . import serve


class Commands:
    """trefoilpaddle serves multi-stage model pipelines, driven by a catalogue."""

    def gateway(self, *, settings: str) -> None:
        """Run the gateway whose settings are in the TOML file SETTINGS."""
        sys.exit(serve.gateway(str(settings)))

    def sidecar(self, *, settings: str) -> None:
        """Run the sidecar whose settings are in the TOML file SETTINGS."""
        sys.exit(serve.sidecar(str(settings)))

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="trefoilpaddle")
