"""Command line of the stand-ins: ``python -m trefoilpaddle.standins``."""

import fire

from .commands import Commands

if __name__ == "__main__":
    fire.Fire(Commands, name="trefoilpaddle.standins")
