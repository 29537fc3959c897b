"""Timeline of a request: the decisions about it that the processes still keep."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..protocol.reasons import Reason
from .journal import Figure, Record

MAX_STEPS: Final = 1000
"""Largest number of steps that one process sends, so that they fit in a frame."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One decision as reported to another process or to a person.

    Parameters
    ----------
    process_id : str
        The process that decided.
    age_s : float
        Seconds since the decision, on that process's monotonic clock. The steps
        of several processes are ordered by it, because wall clocks may differ.
    event : int
        Number of the event; may be unknown here while releases are mixed.
    name : str
        Name of the event.
    reason : str
        Name of the reason; empty if there is none.

    See Also
    --------
    trefoilpaddle.state.journal.Decision : meaning of the other fields.
    """

    process_id: str
    age_s: float
    event: int
    name: str
    request_id: str = ""
    attempt_id: str = ""
    entry: str = ""
    owner: str = ""
    config_revision: int = 0
    stage: str = ""
    peer: str = ""
    reason: str = ""
    detail: str = ""
    figures: tuple[Figure, ...] = ()

    def figure(self, name: str) -> float | None:
        """Return the figure called `name`, or None if there is none."""
        for figure in self.figures:
            if figure.name == name:
                return figure.value
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class Absence:
    """A process that was queried without result.

    Parameters
    ----------
    process_id : str
        The queried process.
    detail : str
        One sentence on why there is no response.
    """

    process_id: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """All steps of one request that could be gathered, oldest first."""

    request_id: str
    steps: tuple[Step, ...] = ()
    absences: tuple[Absence, ...] = ()


STEPS: Final = TypeAdapter(tuple[Step, ...])
TIMELINE: Final = TypeAdapter(Timeline)


def steps_of(
    records: Iterable[Record], *, process_id: str, now_s: float
) -> Iterator[Step]:
    """Yield each record as a step, with its age at `now_s`."""
    for record in records:
        decision = record.decision
        yield Step(
            process_id=process_id,
            age_s=now_s - record.monotonic_s,
            event=int(decision.event),
            name=decision.event.name.lower(),
            request_id=decision.request_id,
            attempt_id=decision.attempt_id,
            entry=decision.entry,
            owner=decision.owner,
            config_revision=decision.config_revision,
            stage=decision.stage,
            peer=decision.peer,
            reason=""
            if decision.reason is Reason.NONE
            else decision.reason.name.lower(),
            detail=decision.detail,
            figures=decision.figures,
        )


def encode_steps(steps: Iterable[Step]) -> bytes:
    """Return the last ``MAX_STEPS`` of `steps` as a JSON array."""
    return orjson.dumps(list(steps)[-MAX_STEPS:])


def decode_steps(data: bytes) -> Result[tuple[Step, ...], str]:
    """Return the steps in `data`, or why they cannot be read."""
    try:
        return Ok(STEPS.validate_json(data))
    except ValidationError as error:
        return Err(
            f"told something that is not a timeline: {error.error_count()} faults"
        )
