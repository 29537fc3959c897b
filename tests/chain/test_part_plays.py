"""Plays of parts of prompts that crash workers, in virtual time."""

import pytest

from .part_plays import LOADS, Load, play_seed

SEEDS = range(3)
MAX_LATE = 3

MIN_SERVED = 0.95
"""Least share of sound requests answered once all gateways know the part."""

BAD_LOADS = [name for name, load in LOADS.items() if load.n_bad and name != "silent"]
LOADS_ALONE = [name for name, load in LOADS.items() if not load.n_bad]


@pytest.mark.parametrize("seed", SEEDS)
class TestBadPart:
    # Guards against a part of a prompt that crashes one worker after the other, as no
    # two requests that contain it are alike.
    @pytest.mark.parametrize("name", BAD_LOADS)
    def test_it_reaches_few_workers(self, seed: int, name: str) -> None:
        seen = play_seed(seed, LOADS[name])
        assert len(seen.crashed_s) >= 3
        assert seen.n_late() <= MAX_LATE

    # Guards against sound requests that are refused for a part that they share with
    # those that crash workers.
    @pytest.mark.parametrize("name", BAD_LOADS)
    def test_requests_that_share_its_other_parts_are_served(
        self, seed: int, name: str
    ) -> None:
        seen = play_seed(seed, LOADS[name])
        assert seen.served_share() >= MIN_SERVED
        assert not seen.n_blocked


@pytest.mark.parametrize("seed", SEEDS)
class TestNoBadPart:
    # Guards against a popular part that is blocked as it runs at most workers that
    # crash.
    @pytest.mark.parametrize("name", LOADS_ALONE)
    def test_crashes_of_other_causes_block_no_part(self, seed: int, name: str) -> None:
        seen = play_seed(seed, LOADS[name])
        assert len(seen.crashed_s) >= 10
        assert not seen.n_blocked


class TestLongAnswers:
    # Guards against requests that are refused for crashes of another cause, as the
    # workers rarely live long enough to end an answer.
    @pytest.mark.parametrize("seed", [4, 5])
    def test_crashes_of_other_causes_block_nothing(self, seed: int) -> None:
        assert not play_seed(seed, LOADS["alone and long"]).n_blocked


class TestVerdict:
    # Guards against a sound part that is blocked while the report that the bad one ran
    # at the last worker, too, is on its way.
    @pytest.mark.parametrize("seed", [13, 15])
    def test_a_part_is_not_blocked_before_all_reports_are_in(self, seed: int) -> None:
        assert not play_seed(seed, LOADS["thin and long"]).n_blocked


class TestSilentWorkers:
    # Guards against a part whose crashes are known late, as its workers fall silent.
    def test_it_reaches_few_workers_that_fall_silent(self) -> None:
        seen = play_seed(0, LOADS["silent"])
        assert len(seen.crashed_s) >= 3
        assert seen.n_late() <= MAX_LATE


class TestAnyRate:
    # Guards against a bad part that is hidden by good ends of the parts beside it.
    @pytest.mark.parametrize("bad_gap_s", [0.1, 3.0])
    @pytest.mark.parametrize("sound_per_s", [0.3, 100.0])
    def test_it_reaches_few_workers(self, bad_gap_s: float, sound_per_s: float) -> None:
        load = Load(bad_gap_s=bad_gap_s, sound_per_s=sound_per_s)
        assert play_seed(0, load).n_late() <= MAX_LATE
