"""Calls to a model engine: streaming, resumption and cancellation."""

import asyncio
import contextlib
import time
from typing import Final

import orjson
from aiohttp import ClientError, ClientResponse
from result import Err, Ok, Result

from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.reasons import Reason
from ...transport.target_http import SendGuard, TargetHttp
from ..requests.streams import Sink
from .engine_events import EngineEvents
from .target_calls import (
    CallOutcome,
    TargetCall,
    broken_call_error,
    response_error,
    split_chunks,
)

COMPLETIONS_PATH: Final = "/v1/completions"
RESUME_PAUSES_S: Final = (0.01, 0.05, 0.2, 0.4)
"""Pauses before the requests to resume a stream.

The call fails after that many requests in a row that brought no new token.
"""


class EngineCaller:
    """Calls one model engine.

    Parameters
    ----------
    http : TargetHttp
        Session to the target.
    name : str
        The target's name, for errors.
    """

    __slots__ = ("_http", "_name")

    def __init__(self, *, http: TargetHttp, name: str) -> None:
        self._http = http
        self._name = name

    async def run(
        self, call: TargetCall, *, sink: Sink, guard: SendGuard
    ) -> Result[CallOutcome, StageError]:
        """Run `call`, write its tokens to `sink` and return its outcome.

        A stream that breaks is resumed while the deadline allows. Resuming
        requests the rest of the same run and starts no second run.
        """
        body = _streaming_body(call.body)
        if body is None:
            return Err(self._bad_request_error())
        events = EngineEvents()
        try:
            async with self._http.guarded_post(
                COMPLETIONS_PATH, body=body, headers=call.headers(), guard=guard
            ) as response:
                if response.status != 200:
                    return Err(await response_error(response, peer=self._name))
                await _read_stream(response, events, sink)
        except (ClientError, OSError) as error:
            if not guard.is_sent:
                return Err(broken_call_error(error, guard=guard, peer=self._name))
        except ValueError as error:
            return Err(self._unreadable_stream_error(str(error)))
        if events.is_done and events.outcome is not None:
            return Ok(events.outcome)
        return await self._resume(call, events=events, sink=sink)

    async def cancel(self, attempt_id: bytes) -> None:
        """Ask the engine to stop working on an attempt; errors are ignored."""
        with contextlib.suppress(ClientError, OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                await self._http.post(f"/v1/cancel/{attempt_id.hex()}")

    async def _resume(
        self, call: TargetCall, *, events: EngineEvents, sink: Sink
    ) -> Result[CallOutcome, StageError]:
        n_tries = 0
        while n_tries < len(RESUME_PAUSES_S) and time.monotonic_ns() < call.deadline_ns:
            await asyncio.sleep(RESUME_PAUSES_S[n_tries])
            n_tokens = events.n_tokens
            events.discard_partial_line()
            try:
                is_known = await self._read_rest(call, events, sink)
            except (ClientError, OSError):
                is_known = True
            except ValueError as error:
                return Err(self._unreadable_stream_error(str(error)))
            if events.is_done and events.outcome is not None:
                return Ok(events.outcome)
            if not is_known:
                break
            n_tries = 0 if events.n_tokens > n_tokens else n_tries + 1
        return Err(self._lost_stream_error(call, n_tokens=events.n_tokens))

    async def _read_rest(
        self, call: TargetCall, events: EngineEvents, sink: Sink
    ) -> bool:
        """Read the rest; return False if the engine does not know the attempt."""
        path = f"/v1/resume/{call.attempt_id.hex()}?from_token={events.n_tokens}"
        async with self._http.get(path, headers=call.headers()) as response:
            if response.status == 404:
                return False
            if response.status == 200:
                await _read_stream(response, events, sink)
        return True

    def _lost_stream_error(self, call: TargetCall, *, n_tokens: int) -> StageError:
        detail = f"the stream broke after {n_tokens} tokens and cannot be resumed"
        if call.is_idempotent and n_tokens:
            return Failed(
                reason=Reason.TARGET_FAILED,
                step="resume",
                peer=self._name,
                detail=detail,
            )
        return Unknown(
            reason=Reason.CONNECTION_LOST,
            step="resume",
            peer=self._name,
            detail=detail,
        )

    def _bad_request_error(self) -> StageError:
        return NotRun(
            reason=Reason.BAD_REQUEST,
            step="call",
            peer=self._name,
            detail="the body for an engine is not a JSON object",
        )

    def _unreadable_stream_error(self, detail: str) -> StageError:
        return Failed(
            reason=Reason.TARGET_FAILED, step="call", peer=self._name, detail=detail
        )


def _streaming_body(body: bytes) -> bytes | None:
    """Return `body` with streaming enabled, or None if it is no JSON object."""
    try:
        fields = orjson.loads(body)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    fields["stream"] = True
    return orjson.dumps(fields)


async def _read_stream(
    response: ClientResponse, events: EngineEvents, sink: Sink
) -> None:
    """Write tokens from `response` to `sink` until the stream ends or breaks.

    Raises
    ------
    ValueError
        If the engine sends an event that cannot be read.
    """
    async for data in response.content.iter_any():
        match events.feed(data):
            case Ok(text):
                for chunk in split_chunks(text):
                    sink.append(chunk)
            case Err(problem):
                raise ValueError(problem)
        await sink.wait_for_space()
