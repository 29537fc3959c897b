"""Incremental parser of the event stream of a model engine."""

from typing import Any, Final

import orjson
from result import Err, Ok, Result

from .target_calls import CallOutcome

DATA_PREFIX: Final = b"data:"
DONE: Final = b"[DONE]"

MAX_LINE_BYTES: Final = 1024 * 1024
"""Longest incomplete line of an event that is buffered."""

VALID_FINISH_REASONS: Final = (None, "stop", "length")
"""Finish reasons of a stream that continues (None) or is complete."""


class EngineEvents:
    """Collects the text and the usage from the server-sent events of an engine.

    Attributes
    ----------
    n_tokens : int
        Tokens received so far, over all connections of the attempt.
    """

    __slots__ = ("_buffer", "is_done", "n_tokens", "outcome")

    def __init__(self) -> None:
        self._buffer = b""
        self.outcome: CallOutcome | None = None
        self.is_done = False
        self.n_tokens = 0

    def discard_partial_line(self) -> None:
        """Discard a line that a broken connection truncated."""
        self._buffer = b""

    def feed(self, data: bytes) -> Result[bytes, str]:
        """Return the text of the events that `data` completes, or a parse error."""
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_LINE_BYTES:
            return Err(f"an event is longer than {MAX_LINE_BYTES} bytes")
        texts: list[str] = []
        for line in lines:
            if not line.startswith(DATA_PREFIX):
                continue
            payload = line[len(DATA_PREFIX) :].strip()
            if payload == DONE:
                self.is_done = self.outcome is not None
                break
            try:
                self._add_event(orjson.loads(payload), texts)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                return Err(f"an event cannot be taken: {error}")
        return Ok("".join(texts).encode())

    def _add_event(self, event: Any, texts: list[str]) -> None:
        choice = event["choices"][0]
        finish = choice.get("finish_reason")
        if finish not in VALID_FINISH_REASONS:
            # The engine abandoned the run; the text so far would pass for an answer.
            raise ValueError(f"the engine ended the stream with {finish!r}")
        text = choice["text"]
        if text:
            texts.append(text)
            self.n_tokens += 1
        usage = event.get("usage")
        if usage is not None:
            cached = usage.get("prompt_tokens_details") or {}
            self.outcome = CallOutcome(
                cost_s=float(usage.get("cost_s", 0.0)),
                n_prompt_tokens=int(usage.get("prompt_tokens", 0)),
                n_tokens=int(usage.get("completion_tokens", self.n_tokens)),
                n_cached_tokens=int(cached.get("cached_tokens", 0)),
            )
