"""Plays of requests that crash their workers, in virtual time."""

import pytest

from .crash_plays import Exit, play_seed

SEEDS = range(12)


class TestInnocents:
    # Guards against a block of a popular request that ran at crashed workers by chance,
    # or was sent to workers that had exited.
    @pytest.mark.parametrize("exit_kind", list(Exit), ids=lambda each: each.value)
    @pytest.mark.parametrize("crashes_alone", [False, True], ids=["harmful", "alone"])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_innocent_request_is_blocked(
        self, seed: int, exit_kind: Exit, crashes_alone: bool
    ) -> None:
        seen = play_seed(seed, exit_kind=exit_kind, crashes_alone=crashes_alone)
        assert seen.others["answered"]
        assert seen.blocked == set()

    # Guards against a block where the harmful request ran at workers that its record
    # does not keep.
    @pytest.mark.parametrize(
        ("seed", "crashes_alone"), [(278, False), (219, True)], ids=["278", "219"]
    )
    def test_none_is_blocked_beside_workers_that_fall_silent(
        self, seed: int, crashes_alone: bool
    ) -> None:
        seen = play_seed(seed, exit_kind=Exit.SILENT, crashes_alone=crashes_alone)
        assert seen.blocked == set()


class TestHarmful:
    # Guards against a harmful request that workers behind an accepting address hide.
    @pytest.mark.parametrize(
        "exit_kind", [Exit.REFUSES, Exit.CUTS], ids=lambda each: each.value
    )
    @pytest.mark.parametrize("seed", SEEDS)
    def test_it_reaches_few_workers(self, seed: int, exit_kind: Exit) -> None:
        seen = play_seed(seed, exit_kind=exit_kind)
        assert seen.n_crashes >= 3
        assert seen.n_late_starts <= 3

    # Guards against a harmful request whose crashes are known late, as its workers fall
    # silent.
    @pytest.mark.parametrize("seed", [28, 50, 154])
    def test_it_reaches_few_workers_that_fall_silent(self, seed: int) -> None:
        seen = play_seed(seed, exit_kind=Exit.SILENT)
        assert seen.n_crashes >= 3
        assert seen.n_late_starts <= 3
