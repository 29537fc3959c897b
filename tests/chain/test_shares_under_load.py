"""Shares of accounts while one of them bursts, at all gateways or at one.

The load: eight accounts that send a tenth of what the workers can do each, one of them
three times all of it for ten seconds more.
"""

import pytest

from .shares_model import LOADS, Load, Play

MIN_IN_TIME = 0.95
MIN_DONE = 0.95
"""Aims of the operators: others in time as often as before, and no idle workers."""


class TestBurstOfOneAccount:
    @pytest.mark.parametrize("name", LOADS)
    def test_the_others_are_served_and_the_workers_stay_busy(self, name: str) -> None:
        # Guards against a burst of one account that makes all others wait.
        play = Play(LOADS[name]).run()
        assert play.others_in_time() >= MIN_IN_TIME
        assert play.done_share() >= MIN_DONE

    def test_nothing_is_refused_without_contention(self) -> None:
        # Guards against limits where workers have slots to spare.
        play = Play(Load(burst=0.05)).run()
        assert play.others_in_time() >= 0.999
        assert play.served[-1].n_in_time == play.served[-1].n_sent


class TestUnusedShares:
    def test_the_whole_burst_is_served_where_the_others_are_idle(self) -> None:
        # Guards against idle workers beside an account that is held to its share.
        play = Play(Load(share=0.001)).run()
        assert play.done_share() >= MIN_DONE
