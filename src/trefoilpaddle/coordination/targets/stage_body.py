"""Bodies of stage calls: what a target is given, and how its answer is read."""

from dataclasses import dataclass

import orjson
from result import Err, Ok, Result

from ...protocol.checksum import checksum
from ...state.catalogue import ServiceKind, Stage, Takes
from .stage_work import StageAnswer

Json = object
"""Any value that JSON can hold."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StageInputs:
    """What the stages of one request work on.

    Parameters
    ----------
    input : Json
        The caller's body: an object, or the raw body as text.
    previous : Json
        Output of the stage before; None before the first.
    """

    input: Json
    previous: Json = None


def plain_body(stage: Stage, material: StageInputs) -> bytes:
    """Return the body of a call to a pool or a plain service."""
    return orjson.dumps(_taken(stage, material))


def engine_body(stage: Stage, prompt: str, *, priority: int) -> bytes:
    """Return the body of a call to an engine."""
    call = {
        "prompt": prompt,
        "max_tokens": stage.max_tokens,
        "model": stage.model,
        "priority": priority,
    }
    return orjson.dumps(call)


def prompt_of(stage: Stage, material: StageInputs) -> str:
    """Return the prompt of an engine's stage: its prefix, then what it takes."""
    parts = [stage.prompt_prefix] if stage.prompt_prefix else []
    parts += [_text(value) for value in _taken(stage, material).values()]
    return "\n".join(parts)


def output_of(kind: ServiceKind, answer: StageAnswer) -> Result[Json, str]:
    """Return the stage's output as the next stage and the caller see it.

    Returns
    -------
    Result[Json, str]
        What is wrong with the answer when it is not the JSON it should be.
    """
    if kind is not ServiceKind.ENGINE:
        try:
            return Ok(orjson.loads(answer.body))
        except orjson.JSONDecodeError as error:
            return Err(f"The target's answer is not JSON: {error}.")
    try:
        text = answer.body.decode()
    except UnicodeDecodeError as error:
        return Err(f"The engine's text is not UTF-8: {error}.")
    output = {
        "text": text,
        "n_tokens": answer.n_tokens,
        "text_checksum": text_checksum(answer.body),
    }
    return Ok(output)


def text_checksum(text: bytes) -> str:
    """Return the checksum of a text as callers see it, 16 hex digits."""
    return f"{checksum(text) & 0xFFFF_FFFF_FFFF_FFFF:016x}"


def _taken(stage: Stage, material: StageInputs) -> dict[str, Json]:
    taken: dict[str, Json] = {}
    if stage.takes is not Takes.PREVIOUS:
        taken["input"] = material.input
    if stage.takes is not Takes.INPUT:
        taken["previous"] = material.previous
    return taken


def _text(value: Json) -> str:
    match value:
        case None:
            return ""
        case str():
            return value
        case {"text": str() as text, **rest} if not rest.keys() - _ANSWER_KEYS:
            return text
        case _:
            return orjson.dumps(value).decode()


_ANSWER_KEYS = frozenset({"n_tokens", "text_checksum"})
