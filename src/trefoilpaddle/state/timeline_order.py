"""Puts the steps that several processes told in one order."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Final

from .events import Event
from .timeline import Step

CALLS: Final = frozenset({Event.ROUTED, Event.RETRIED, Event.HEDGED})
RETURNS: Final = frozenset({Event.STAGE_DONE, Event.STAGE_FAILED})

TICK_S: Final = 1e-6
"""Less than the time between two steps that follow from each other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSteps:
    """What one process told.

    Parameters
    ----------
    names : frozenset of str
        Its process id and its target: how other processes' steps name it.
    steps : tuple of Step
        Oldest first.
    reported_s : float
        Time at which it told them, by the clock of who asked; known only to
        half the time that the question and its answer took.
    """

    names: frozenset[str]
    steps: tuple[Step, ...]
    reported_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Timed:
    at_s: float
    step: Step


def merge_steps(reports: Sequence[ProcessSteps], *, now_s: float) -> tuple[Step, ...]:
    """Return all steps oldest first, their ages as of `now_s`.

    Ages are exact within a process, and between processes only to the time
    that asking took. A stage call cannot begin before it was sent nor end
    after its result was there; steps that seem to are moved in between.
    """
    timed = [_timed(report) for report in reports]
    everything = [one for part in timed for one in part]
    moved: list[_Timed] = []
    for report, part in zip(reports, timed, strict=True):
        shift_s = _shift_s(part, _naming(everything, report))
        moved += (replace(one, at_s=one.at_s + shift_s) for one in part)
    moved.sort(key=lambda one: one.at_s)
    return tuple(replace(one.step, age_s=now_s - one.at_s) for one in moved)


def _timed(report: ProcessSteps) -> list[_Timed]:
    return [
        _Timed(at_s=report.reported_s - step.age_s, step=step) for step in report.steps
    ]


def _naming(everything: Iterable[_Timed], report: ProcessSteps) -> list[_Timed]:
    """Return the steps of other processes that name this one."""
    return [
        one
        for one in everything
        if one.step.peer in report.names and one.step.process_id not in report.names
    ]


def _shift_s(part: Sequence[_Timed], naming: Sequence[_Timed]) -> float:
    """Return by how much to move `part` so that it lies between what names it."""
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
