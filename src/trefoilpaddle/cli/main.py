"""The command line: one class, a method for each command."""

import fire


class Commands:
    """trefoilpaddle serves multi-stage model pipelines, driven by a catalogue."""


def main() -> None:
    """Run the command that the arguments name."""
    fire.Fire(Commands, name="trefoilpaddle")
