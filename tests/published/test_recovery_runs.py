"""After restores of the store, all gateways know every change in time."""

from typing import Final

import pytest

from ..chain.virtual_time import run_virtual
from .recovery_runs import RecoveryRun

LENGTH_S: Final = 30.0


class TestRandomRuns:
    @pytest.mark.parametrize(
        ("seed", "n_gateways"), [*((n, 4) for n in range(12)), (100, 30), (101, 30)]
    )
    def test_what_is_written_is_known_everywhere_in_time(
        self, monkeypatch: pytest.MonkeyPatch, seed: int, n_gateways: int
    ) -> None:
        # Restores come in series, with disconnects, slow reads and restarts.
        run = RecoveryRun(seed, n_gateways=n_gateways, length_s=LENGTH_S)
        assert not run_virtual(monkeypatch, run.run())
