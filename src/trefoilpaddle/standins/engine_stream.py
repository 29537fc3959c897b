"""Answers of an engine: a stream of server-sent events, or one complete body."""

import contextlib
import time
from collections.abc import Iterator
from typing import Final

import orjson
from aiohttp import web

from .faults import Faults
from .generation import Generation
from .record import Outcome
from .web import abort_connection, json_answer

_HEADERS: Final = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
_FINISH_REASONS: Final = {
    Outcome.DONE: "stop",
    Outcome.CANCELLED: "cancelled",
    Outcome.FAILED: "error",
}


async def answer_complete(generation: Generation) -> web.Response:
    """Return the complete answer once the generation has ended."""
    with _reader(generation):
        while not generation.has_ended:
            await generation.wait_beyond(generation.n_decoded)
    text = " ".join(generation.tokens[: generation.n_decoded])
    return json_answer(_last_event(generation) | {"text": text})


async def stream(
    request: web.Request,
    generation: Generation,
    *,
    faults: Faults,
    n_sent: int,
    is_cut: bool,
) -> web.StreamResponse:
    """Send the tokens after the first `n_sent` as they are decoded.

    Parameters
    ----------
    request : web.Request
        Request of the reader.
    generation : Generation
        Generation whose tokens are sent.
    faults : Faults
        Faults that are set; a pause stops the stream.
    n_sent : int
        Number of tokens that the reader already has.
    is_cut : bool
        True aborts the connection halfway; the generation continues.
    """
    response = web.StreamResponse(headers=_HEADERS)
    n_before_cut = len(generation.tokens) // 2 if is_cut else None
    with _reader(generation):
        await response.prepare(request)
        while n_sent < generation.n_decoded or not generation.has_ended:
            await generation.wait_beyond(n_sent)
            await faults.wait_unpaused()
            n_ready = generation.n_decoded
            if n_ready > n_sent:
                await response.write(_token_events(generation, n_sent, n_ready))
            n_sent = n_ready
            if n_before_cut is not None and n_sent >= n_before_cut:
                abort_connection(request)
                return response
        last = orjson.dumps(_last_event(generation))
        await response.write(b"data: " + last + b"\n\ndata: [DONE]\n\n")
        await response.write_eof()
    return response


@contextlib.contextmanager
def _reader(generation: Generation) -> Iterator[None]:
    generation.n_readers += 1
    try:
        yield
    finally:
        generation.n_readers -= 1
        generation.unread_since_s = time.monotonic()


def _token_events(generation: Generation, begin: int, end: int) -> bytes:
    events = []
    for i in range(begin, end):
        text = generation.tokens[i] if i == 0 else " " + generation.tokens[i]
        choice = {"index": 0, "text": text, "finish_reason": None}
        events.append(b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n")
    return b"".join(events)


def _last_event(generation: Generation) -> dict[str, object]:
    reason = _FINISH_REASONS[generation.run.outcome]
    return {
        "choices": [{"index": 0, "text": "", "finish_reason": reason}],
        "usage": {
            "prompt_tokens": generation.n_prompt_tokens,
            "completion_tokens": generation.n_decoded,
            "prompt_tokens_details": {"cached_tokens": generation.n_cached_tokens},
            "cost_s": round(generation.run.cost_s, 6),
        },
    }
