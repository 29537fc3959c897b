"""Stored outcome of a request, from which a retry of it is answered."""

from typing import Annotated, Any, Literal

import orjson
from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from ..protocol.reasons import Reason
from .catalogue import STRICT


@dataclass(slots=True, kw_only=True, config=STRICT)
class AnsweredRecord:
    """A request that was answered.

    Parameters
    ----------
    output : any JSON value
        The answer to the caller.
    cost_s : float
        Target-seconds used.
    """

    kind: Literal["answered"] = "answered"
    output: Any
    cost_s: float = 0.0


@dataclass(slots=True, kw_only=True, config=STRICT)
class EndedRecord:
    """A request that ended without an answer.

    Parameters
    ----------
    outcome : str
        ``"failed"`` or ``"unknown"``.
    reason : Reason
        Reason of the outcome.
    step, peer, detail, stage : str
        As in the error that the caller received.
    cost_s : float
        Target-seconds used.
    """

    kind: Literal["ended"] = "ended"
    outcome: Literal["failed", "unknown"]
    reason: Reason
    step: str
    peer: str
    detail: str
    stage: str
    cost_s: float = 0.0


OutcomeRecord = AnsweredRecord | EndedRecord

_READER: TypeAdapter[OutcomeRecord] = TypeAdapter(
    Annotated[AnsweredRecord | EndedRecord, Field(discriminator="kind")]
)


def record_bytes(record: OutcomeRecord) -> bytes:
    """Return `record` as JSON."""
    return orjson.dumps(_READER.dump_python(record, mode="json"))


def read_record(data: bytes) -> Result[OutcomeRecord, str]:
    """Return the record in `data`, or why it cannot be read."""
    try:
        return Ok(_READER.validate_json(data))
    except ValidationError as error:
        return Err(f"the stored end of the request cannot be read: {error}")
