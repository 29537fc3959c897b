"""Bodies of calls to targets, and outputs of stages from the targets' answers."""

from dataclasses import dataclass

import orjson
from result import Err, Ok, Result

from ...protocol.checksum import checksum
from ...state.catalogue import ServiceKind, Stage, Takes
from .stage_work import StageAnswer

Json = object
"""Any value that JSON can represent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StageInputs:
    """Values that a stage of a request can take as input.

    Parameters
    ----------
    input : Json
        The caller's body: an object, or the raw body as text.
    previous : Json
        Output of the preceding stage; None for the first.
    """

    input: Json
    previous: Json = None


def plain_body(stage: Stage, inputs: StageInputs) -> bytes:
    """Return the body of a call to a pool or a plain service."""
    return orjson.dumps(_taken_inputs(stage, inputs))


def engine_body(stage: Stage, prompt: str, *, priority: int) -> bytes:
    """Return the body of a call to an engine."""
    call = {
        "prompt": prompt,
        "max_tokens": stage.max_tokens,
        "model": stage.model,
        "priority": priority,
    }
    return orjson.dumps(call)


def prompt_of(stage: Stage, inputs: StageInputs) -> str:
    """Return the prompt of an engine stage: its prefix, then its inputs."""
    parts = [stage.prompt_prefix] if stage.prompt_prefix else []
    parts += [_text(value) for value in _taken_inputs(stage, inputs).values()]
    return "\n".join(parts)


def output_of(kind: ServiceKind, answer: StageAnswer) -> Result[Json, str]:
    """Return the stage's output as the next stage and the caller receive it.

    Returns
    -------
    Result[Json, str]
        The output, or what is wrong with the answer if it cannot be decoded.
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
    """Return the checksum of a text in its outer form, 16 hex digits."""
    return f"{checksum(text) & 0xFFFF_FFFF_FFFF_FFFF:016x}"


def _taken_inputs(stage: Stage, inputs: StageInputs) -> dict[str, Json]:
    taken: dict[str, Json] = {}
    if stage.takes is not Takes.PREVIOUS:
        taken["input"] = inputs.input
    if stage.takes is not Takes.INPUT:
        taken["previous"] = inputs.previous
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
