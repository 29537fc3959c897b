"""Merges the steps reported by several processes into one order."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from .events import Event
from .timeline import Step

CALLS: Final = frozenset({Event.ROUTED, Event.RETRIED, Event.HEDGED})
RETURNS: Final = frozenset({Event.STAGE_DONE, Event.STAGE_FAILED})

TICK_S: Final = 1e-6
"""Less than the time between two steps where one causes the other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSteps:
    """Steps reported by one process.

    Parameters
    ----------
    names : frozenset of str
        Its process id and its target, by which the steps of other processes refer
        to it.
    steps : tuple of Step
        Its steps, oldest first.
    reported_s : float
        Time of the report on the clock of the querying process; accurate only to
        half the round-trip time of the query.
    """

    names: frozenset[str]
    steps: tuple[Step, ...]
    reported_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Timed:
    at_s: float
    step: Step


def merge_steps(reports: Sequence[ProcessSteps], *, now_s: float) -> tuple[Step, ...]:
    """Return all steps, oldest first, with their ages at `now_s`.

    Ages are exact within a process, but between processes only as accurate as the
    round-trip time of the queries. A stage call cannot begin before it was sent,
    nor end after its result was received. The steps of a process that seem to
    are shifted in between.
    """
    timed = [_timed(report) for report in reports]
    everything = [one for part in timed for one in part]
    moved: list[_Timed] = []
    for report, part in zip(reports, timed, strict=True):
        shift_s = _shift_s(part, _references_to(everything, report))
        moved += (replace(one, at_s=one.at_s + shift_s) for one in part)
    moved.sort(key=lambda one: one.at_s)
    return tuple(replace(one.step, age_s=now_s - one.at_s) for one in moved)


def _timed(report: ProcessSteps) -> list[_Timed]:
    return [
        _Timed(at_s=report.reported_s - step.age_s, step=step) for step in report.steps
    ]


def _references_to(everything: Iterable[_Timed], report: ProcessSteps) -> list[_Timed]:
    """Return the steps of other processes that refer to the one of `report`."""
    return [
        one
        for one in everything
        if one.step.peer in report.names and one.step.process_id not in report.names
    ]


def _shift_s(part: Sequence[_Timed], naming: Sequence[_Timed]) -> float:
    """Return the shift that puts `part` between the calls and returns in `naming`."""
    calls = [one.at_s for one in naming if one.step.event in CALLS]
    returns = [one.at_s for one in naming if one.step.event in RETURNS]
    if not part or not calls:
        return 0.0
    least_s = min(calls) - part[0].at_s
    if not returns:
        return max(0.0, least_s + TICK_S)
    most_s = max(returns) - part[-1].at_s
    if least_s <= 0 <= most_s:
        return 0.0
    return (least_s + most_s) / 2
