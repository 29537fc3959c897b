"""Calls to the target, and what may have run when a call fails."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

import orjson
from aiohttp import ClientError, ClientPayloadError, ClientResponse
from result import Err, Ok, Result

from ...protocol.const import CHUNK_BYTES
from ...protocol.errors import Failed, NotRun, StageError, Unknown
from ...protocol.reasons import Reason
from ...transport.target_http import SendGuard, TargetHttp
from ..requests.streams import Sink

NOT_RUN_HEADER: Final = "X-Not-Run"
CONNECT_STEP: Final = "connect"
"""Step of errors which show that the target does not accept connections."""
COST_HEADER: Final = "X-Cost-S"
DOWN_RETRY_S: Final = 1.0
"""Retry delay for a target that does not answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCall:
    """One call to the target.

    Parameters
    ----------
    attempt_id : bytes
        The attempt.
    request_id : str
        Id of the request that the attempt belongs to.
    path : str
        Path at the target.
    body : bytes
        JSON to send.
    is_idempotent : bool
        True if the call may be repeated.
    deadline_ns : int
        Deadline of the whole request, on this process's monotonic clock.
    """

    attempt_id: bytes
    request_id: str
    path: str
    body: bytes
    is_idempotent: bool
    deadline_ns: int

    def headers(self) -> dict[str, str]:
        """Return the headers that identify the call to the target."""
        return {
            "X-Request-Id": self.request_id,
            "X-Attempt-Id": self.attempt_id.hex(),
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class CallOutcome:
    """What a target reports about a call that it answered completely."""

    cost_s: float = 0.0
    n_prompt_tokens: int = 0
    n_tokens: int = 0
    n_cached_tokens: int = 0


class TargetCaller(Protocol):
    """Calls one kind of target."""

    async def run(
        self, call: TargetCall, *, sink: Sink, guard: SendGuard
    ) -> Result[CallOutcome, StageError]:
        """Run `call`, write its answer to `sink` and return its outcome."""
        ...

    async def cancel(self, attempt_id: bytes) -> None:
        """Ask the target to stop working on an attempt; errors are ignored."""
        ...


class PlainCaller:
    """Calls pools and plain services: one POST, one complete JSON answer.

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
        """Run `call`, write its answer to `sink` and return its outcome."""
        try:
            async with self._http.guarded_post(
                call.path, body=call.body, headers=call.headers(), guard=guard
            ) as response:
                if response.status != 200:
                    return Err(await response_error(response, peer=self._name))
                await _read_complete(response, sink)
                return Ok(CallOutcome(cost_s=cost_s(response.headers)))
        except (ClientError, OSError) as error:
            return Err(broken_call_error(error, guard=guard, peer=self._name))

    async def cancel(self, attempt_id: bytes) -> None:
        """Do nothing: such targets are cancelled only by closing the connection."""


async def _read_complete(response: ClientResponse, sink: Sink) -> None:
    """Write the body of an answer to `sink`.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the connection closed before the end of the body.
    """
    size_bytes = response.content_length
    if size_bytes is not None and size_bytes <= CHUNK_BYTES:
        sink.append(await response.read())
        return
    ends_with_connection = _ends_with_connection(response)
    unframed: list[bytes] = []
    async for data in response.content.iter_any():
        for chunk in split_chunks(data):
            sink.append(chunk)
        if ends_with_connection:
            unframed.append(data)
        await sink.wait_for_space()
    if ends_with_connection and not _is_whole_json(b"".join(unframed)):
        raise ClientPayloadError("the connection closed before the end of the body")


def _ends_with_connection(response: ClientResponse) -> bool:
    """Return True if the body has neither a length nor chunks.

    The library takes any end of the connection, a reset as well, for its end.
    """
    codings = response.headers.get("Transfer-Encoding")
    if codings is not None:
        return not codings.lower().endswith("chunked")
    return response.content_length is None


def _is_whole_json(body: bytes) -> bool:
    """Return True if a body is a JSON object or array; a part of one is neither."""
    try:
        return isinstance(orjson.loads(body), dict | list)
    except orjson.JSONDecodeError:
        return False


def split_chunks(data: bytes) -> Iterator[bytes]:
    """Yield `data` in parts that fit into a chunk."""
    for start in range(0, len(data), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]


def cost_s(headers: Mapping[str, str]) -> float:
    """Return the target-seconds that the headers report, or 0."""
    try:
        return max(0.0, float(headers.get(COST_HEADER, "0")))
    except ValueError:
        return 0.0


async def response_error(response: ClientResponse, *, peer: str) -> StageError:
    """Return the error for a response with a status other than 200."""
    await response.read()
    status = response.status
    if response.headers.get(NOT_RUN_HEADER) == "1":
        is_bad = status in (400, 413)
        return NotRun(
            reason=Reason.BAD_REQUEST if is_bad else Reason.TARGET_DOWN,
            step="call",
            peer=peer,
            detail=f"the target answered {status} and did not start the call",
            retry_after_s=_retry_after_s(response.headers),
        )
    reason = Reason.BAD_REQUEST if 400 <= status < 500 else Reason.TARGET_FAILED
    return Failed(
        reason=reason,
        step="call",
        peer=peer,
        detail=f"the target answered {status}",
        cost_s=cost_s(response.headers),
    )


def _retry_after_s(headers: Mapping[str, str]) -> float:
    text = headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else DOWN_RETRY_S


def broken_call_error(error: Exception, *, guard: SendGuard, peer: str) -> StageError:
    """Return the error for a call whose connection broke.

    Once a byte was sent, the target may have run the call, idempotent or not,
    so the outcome is unknown. Before that, nothing can have run.
    """
    if guard.is_refused:
        return NotRun(
            reason=Reason.DEADLINE_PASSED,
            step="start",
            peer=peer,
            detail="the start-by time passed before the call could be sent",
        )
    if not guard.is_sent:
        return NotRun(
            reason=Reason.TARGET_DOWN,
            step=CONNECT_STEP,
            peer=peer,
            detail=f"the target cannot be reached: {type(error).__name__}",
            retry_after_s=DOWN_RETRY_S,
        )
    return Unknown(
        reason=Reason.CONNECTION_LOST,
        step="call",
        peer=peer,
        detail=f"the connection to the target broke: {type(error).__name__}",
    )
