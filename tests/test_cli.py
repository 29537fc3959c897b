"""The command line: whole settings or nothing, and what a person reads."""

from pathlib import Path

import pytest

from trefoilpaddle import __version__
from trefoilpaddle.cli.main import Commands

DATA = Path(__file__).parent / "data"


class TestVersion:
    def test_it_is_the_packages(self, capsys: pytest.CaptureFixture[str]) -> None:
        Commands().version()
        assert capsys.readouterr().out.strip() == __version__
