"""Computes the stand-ins' answers to a request without running a process."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import orjson

from ..coordination.targets.stage_body import (
    Json,
    StageInputs,
    plain_body,
    prompt_of,
    text_checksum,
)
from ..standins.outputs import call_output, engine_output
from ..state.catalogue import Catalogue, ServiceKind, Stage
from .inputs import body_of
from .results import Verdict
from .trace import Request, Trace


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpectedCall:
    """One call to a target and the answer that the stand-in gives.

    Parameters
    ----------
    stage : Stage
        The stage that is called.
    n_body_bytes : int
        Size of a pool's or plain service's input; 0 for an engine.
    prompt : str
        An engine's prompt; empty for others.
    n_tokens : int
        Tokens in an engine's answer; 0 for others.
    output : Json
        The stage's output.
    """

    stage: Stage
    n_body_bytes: int = 0
    prompt: str = ""
    n_tokens: int = 0
    output: Json


def expected_calls(catalogue: Catalogue, request: Request) -> Iterator[ExpectedCall]:
    """Yield the stage calls of `request`, in the order of its pipeline."""
    body, _ = body_of(request)
    inputs = StageInputs(input=_input(body))
    for stage in catalogue.pipelines[request.pipeline].stages:
        call = _expected_call(catalogue, stage, inputs)
        yield call
        inputs = replace(inputs, previous=call.output)


def _input(body: bytes) -> Json:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode()


def _expected_call(
    catalogue: Catalogue, stage: Stage, inputs: StageInputs
) -> ExpectedCall:
    if catalogue.services[stage.service].kind is not ServiceKind.ENGINE:
        body = plain_body(stage, inputs)
        output = call_output(stage.path, body)
        return ExpectedCall(stage=stage, n_body_bytes=len(body), output=output)
    prompt = prompt_of(stage, inputs)
    tokens = engine_output(prompt, stage.max_tokens)
    text = " ".join(tokens)
    answer: Json = {
        "text": text,
        "n_tokens": len(tokens),
        "text_checksum": text_checksum(text.encode()),
    }
    return ExpectedCall(stage=stage, prompt=prompt, n_tokens=len(tokens), output=answer)


class TextJudge:
    """Checks that a text is the complete answer of its own request.

    Parameters
    ----------
    catalogue : Catalogue
        The active pipelines.
    trace : Trace
        The requests.
    """

    __slots__ = ("_catalogue", "_trace")

    def __init__(self, *, catalogue: Catalogue, trace: Trace) -> None:
        self._catalogue = catalogue
        self._trace = trace

    def __call__(self, index: int, content: bytes) -> Verdict:
        """Return ``IN_TIME`` for the right text, else ``TRUNCATED`` or ``WRONG``.

        A streamed answer is plain text; any other is the JSON of the output.
        """
        request = self._trace.requests[index]
        *_, last = expected_calls(self._catalogue, request)
        if _is_equal(content, last.output):
            return Verdict.IN_TIME
        text = last.output.get("text") if isinstance(last.output, dict) else None
        if isinstance(text, str) and text.encode().startswith(content):
            return Verdict.TRUNCATED
        return Verdict.WRONG


def _is_equal(content: bytes, output: Json) -> bool:
    if isinstance(output, dict) and content.decode(errors="replace") == output.get(
        "text"
    ):
        return True
    try:
        return bool(orjson.loads(content) == output)
    except orjson.JSONDecodeError:
        return False
