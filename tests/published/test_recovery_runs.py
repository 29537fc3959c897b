"""After a return of the store, all is known everywhere in time, and few list it."""

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
        # Returns come in series, beside cuts, slow answers, stops and starts.
        run = RecoveryRun(seed, n_gateways=n_gateways, length_s=LENGTH_S)
        assert not run_virtual(monkeypatch, run.run())
