"""The ``version`` command of the command line."""

from pathlib import Path

import pytest

from trefoilpaddle import __version__
from trefoilpaddle.cli.main import Commands

DATA = Path(__file__).parent / "data"


class TestVersion:
    def test_it_is_the_version_of_the_package(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        Commands().version()
        assert capsys.readouterr().out.strip() == __version__
