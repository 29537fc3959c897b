"""Requests that callers send at every moment of a planned stop, with real gateways."""

from typing import Final

import pytest

from .stop_plays import play

GRACE_S: Final = 3.0
CALM_S: Final = 3.0

BROKEN: Final = ("cut early", "not passed on and", "passed on", "503 has run")
"""How the ends begin that a planned stop must not cause."""


class TestLateRequests:
    @pytest.mark.parametrize("n_stopped", [1, 2])
    async def test_none_is_passed_on_and_left_without_an_answer(
        self, n_stopped: int
    ) -> None:
        # Guards against requests that are cut by a stop which had time for them.
        one = await play(grace_s=GRACE_S, n_stopped=n_stopped, calm_s=CALM_S)
        counts = one.counts()
        broken = {name: n for name, n in counts.items() if name.startswith(BROKEN)}
        assert not broken
        assert counts["exits after the grace"] == 0
        assert counts["sent after the order"]
        assert sum(n for name, n in counts.items() if name.startswith("answered"))
