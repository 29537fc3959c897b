"""Streaming of an answer to a caller as server-sent events."""

import asyncio
import codecs
import contextlib
from typing import Final

import orjson
from aiohttp import web
from result import Err, Ok, Result

from ..coordination.requests.request import Answer, Refusal, Request
from ..coordination.targets.stage_body import Json, text_checksum
from .caller_input import SSE_TYPE
from .error_body import answer_headers, error_json

FINISH_TIMEOUT_S: Final = 1.0
"""Longest time in seconds to send the end of the stream to a slow caller."""


class EventStream:
    """Event stream of one answer; the first event opens it.

    Parameters
    ----------
    http : web.Request
        The caller's request.
    request : Request
        The validated request.

    Attributes
    ----------
    is_open : bool
        True once the headers of the stream are sent.
    """

    __slots__ = ("_decoder", "_http", "_is_closed", "_request", "is_open", "response")

    def __init__(self, *, http: web.Request, request: Request) -> None:
        headers = answer_headers(
            governing=request.governing, request_id=request.request_id
        )
        headers["X-Reason"] = "served"
        headers["Cache-Control"] = "no-store"
        self.response = web.StreamResponse(headers=headers)
        self.response.content_type = SSE_TYPE
        self.is_open = False
        self._is_closed = False
        self._http = http
        self._request = request
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    async def token(self, data: bytes) -> None:
        """Send the text of `data`; return once the send buffer has space for more.

        The wait delays the flow-control credit of this answer only, so a slow caller
        uses bounded memory in each process on the path.
        """
        text = self._decoder.decode(data)
        if text:
            await self._send(b"token", {"text": text})

    async def finish(self, outcome: Result[Answer, Refusal]) -> None:
        """Send the last event, ``end`` or ``error``, and close the stream.

        If the caller does not accept it in time, the connection is aborted.
        """
        try:
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                await self._finish(outcome)
        except TimeoutError:
            # The caller is too slow to get the last event. Its connection is
            # aborted, so that the answer cannot look complete.
            if self._http.transport is not None:
                self._http.transport.abort()
        # The request may still run for the sake of a retry; this stream has ended.
        self._is_closed = True

    async def _finish(self, outcome: Result[Answer, Refusal]) -> None:
        match outcome:
            case Ok(answer):
                await self._end(answer)
            case Err(refusal):
                await self._error(refusal)
        if not self._is_closed:
            with contextlib.suppress(ConnectionError):
                await self.response.write_eof()

    async def _end(self, answer: Answer) -> None:
        text, n_tokens = _text_of(answer.output)
        if not self.is_open:
            await self._send(b"token", {"text": text})
        end = {
            "n_tokens": n_tokens,
            "text_checksum": text_checksum(text.encode()),
            "request_id": self._request.request_id,
            "cost_s": answer.cost_s,
        }
        await self._send(b"end", end)

    async def _error(self, refusal: Refusal) -> None:
        body = error_json(
            refusal,
            governing=self._request.governing,
            request_id=self._request.request_id,
        )
        await self._write(b"error", body)

    async def _send(self, name: bytes, fields: dict[str, Json]) -> None:
        await self._write(name, orjson.dumps(fields))

    async def _write(self, name: bytes, data: bytes) -> None:
        if self._is_closed:
            return
        try:
            if not self.is_open:
                await self.response.prepare(self._http)
                self.is_open = True
            await self.response.write(b"event: %b\ndata: %b\n\n" % (name, data))
        except ConnectionError:
            # The cancellation of the handler decides whether the stage call continues.
            self._is_closed = True


def _text_of(output: Json) -> tuple[str, int]:
    """Return the text of an output and its number of tokens."""
    match output:
        case {"text": str() as text, "n_tokens": int() as n_tokens}:
            return text, n_tokens
        case _:
            return orjson.dumps(output).decode(), 0
