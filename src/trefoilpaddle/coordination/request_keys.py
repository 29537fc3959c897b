"""Runs requests that carry a key at most once, for the gateway's lifecycle."""

import asyncio
import secrets
import time
from typing import Final

from result import Err, Ok, Result

from ..protocol.checksum import checksum
from ..protocol.errors import NotRun, StageError, Unknown
from ..protocol.ids import RequestId
from ..protocol.reasons import Reason
from .claim_book import TRY_MARK
from .claims import (
    Answered,
    Claimer,
    ClaimOutcome,
    InProgress,
    Key,
    KeyGranted,
    account_key,
)
from .request import Request
from .request_guards import AlreadyAnswered, Grant, Granted

TRY_BYTES: Final = 6
WAIT_MARGIN_S: Final = 0.25
"""Time kept to tell a caller that its earlier try still runs."""


class RequestKeys:
    """Claims the keys of requests and settles them; keyless requests pass.

    Parameters
    ----------
    claimer : Claimer
        Asks the places of a key.
    """

    __slots__ = ("_claimer", "_held", "_settling")

    def __init__(self, *, claimer: Claimer) -> None:
        self._claimer = claimer
        self._held: dict[int, KeyGranted] = {}
        self._settling: set[asyncio.Task[bool]] = set()

    async def claim(self, request: Request) -> Result[Grant, StageError]:
        """Return whether the request may run, or what became of an earlier try.

        An earlier try that still runs is waited for within the deadline.
        """
        if not request.key:
            return Ok(Granted())
        left_s = request.deadline_s - time.monotonic()
        outcome = await self._claimer.claim(
            key=_key_of(request),
            request_id=_try_id(request),
            fingerprint=_fingerprint(request),
            is_idempotent=all(stage.idempotent for stage in request.pipeline.stages),
            budget_s=max(0.0, left_s),
            wait_s=max(0.0, left_s - WAIT_MARGIN_S),
        )
        if isinstance(outcome, KeyGranted):
            self._held[id(request)] = outcome
        return _grant_of(outcome)

    def settle(self, request: Request, *, was_started: bool, result: bytes) -> None:
        """Report the end of a granted request.

        Parameters
        ----------
        request : Request
            As given to `claim`.
        was_started : bool
            True if a stage that must run at most once may have been started;
            without an answer the key is free again only if not.
        result : bytes
            The answer; empty without one.
        """
        granted = self._held.pop(id(request), None)
        if granted is None:
            return
        settling = self._claimer.settle(
            granted, is_run=was_started or bool(result), result=result or None
        )
        task = asyncio.create_task(settling)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def finish(self) -> None:
        """Wait until the ends of all requests are reported."""
        await asyncio.gather(*self._settling, return_exceptions=True)


def _key_of(request: Request) -> Key:
    match RequestId.parse(request.key):
        case Ok(minted) if request.key == request.request_id:
            return Key(text=request.key, minted=minted)
        case _:
            return account_key(request.account, request.key)


def _try_id(request: Request) -> str:
    """Return an id of this try alone; a retry can carry the same request id."""
    return f"{request.request_id}{TRY_MARK}{secrets.token_hex(TRY_BYTES)}"


def _fingerprint(request: Request) -> int:
    """Return what must be equal in a retry: account, pipeline and body."""
    return checksum(f"{request.account}\0{request.fingerprint}".encode())


def _grant_of(outcome: ClaimOutcome) -> Result[Grant, StageError]:
    match outcome:
        case KeyGranted():
            return Ok(Granted())
        case Answered(result=bytes(result)):
            return Ok(AlreadyAnswered(result=result))
        case Answered():
            return Err(_unknown(Reason.RESULT_GONE, "", detail=ENDED))
        case InProgress(gateway=gateway):
            detail = "An earlier try of this request still runs."
            return Err(_unknown(Reason.IN_PROGRESS, gateway, detail=detail))
        case NotRun() | Unknown():
            return Err(outcome)


ENDED: Final = (
    "An earlier try of this request has run; its answer is not kept, or it had none."
)


def _unknown(reason: Reason, peer: str, *, detail: str) -> Unknown:
    retry_after_s = 1.0 if reason is Reason.IN_PROGRESS else 0.0
    return Unknown(
        reason=reason,
        step="claim",
        peer=peer,
        detail=detail,
        retry_after_s=retry_after_s,
    )
