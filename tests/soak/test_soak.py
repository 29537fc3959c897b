"""A short soak with a fixed seed, and every seed that ever failed."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import pytest

from .soak_actions import Step, schedule
from .soak_checks import broken
from .soak_run import run_soak
from .soak_stops import stop_schedule


class Draw(Protocol):
    """Draws what a seed stands for."""

    def __call__(self, seed: int, *, length_s: float, n_gateways: int) -> list[Step]:
        """Return it."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A seed, how much of its schedule is played, and why it is kept."""

    seed: int
    length_s: float
    why: str
    with_entries: bool = False
    with_returns: bool = False
    is_stops: bool = False


CASES = (
    Case(seed=1, length_s=6.0, why="two stops overlap while answers are lost"),
    Case(
        seed=107,
        length_s=5.0,
        why="a stream whose engine fell silent was counted as sent twice, and cut",
    ),
    Case(
        seed=3,
        length_s=6.0,
        why="workers start again under their ids among entries of other writers",
        with_entries=True,
    ),
    Case(
        seed=1,
        length_s=4.0,
        why="stops in turn cut who waits for stages longer than a stop lasts",
        is_stops=True,
    ),
    Case(
        seed=3,
        length_s=4.0,
        why="so do two stops at once, the third before the two are back",
        is_stops=True,
    ),
    Case(
        seed=107,
        length_s=15.0,
        why="a gateway that stops waits for links to a paused one beyond its grace",
        with_entries=True,
    ),
    Case(
        seed=2,
        length_s=12.0,
        why="the store comes back from copies, again and again",
        with_entries=True,
        with_returns=True,
    ),
)


def name(case: Case) -> str:
    """Return what names a case in the tests' output."""
    kind = "stops-" if case.is_stops else "entries-" if case.with_entries else ""
    return f"{'returns-' if case.with_returns else ''}{kind}{case.seed}"


class TestSoak:
    @pytest.mark.parametrize("case", CASES, ids=name)
    async def test_no_promise_is_broken(self, case: Case, tmp_path: Path) -> None:
        record, callers = await run_soak(
            case.seed,
            tmp_path,
            length_s=case.length_s,
            with_entries=case.with_entries,
            with_returns=case.with_returns,
            is_stops=case.is_stops,
        )
        assert broken(record, callers) == []


@pytest.mark.parametrize("draw", [schedule, stop_schedule])
class TestSchedule:
    def test_a_seed_always_stands_for_the_same(self, draw: Draw) -> None:
        first, second = (draw(7, length_s=20, n_gateways=3) for _ in range(2))
        assert first == second

    def test_a_shorter_one_is_the_beginning_of_a_longer(self, draw: Draw) -> None:
        short, long = (draw(7, length_s=s, n_gateways=3) for s in (5, 20))
        assert short == [step for step in long if step in short]
