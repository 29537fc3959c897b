"""Claims the key of a request for a gateway before the request runs."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from result import Ok, Result

from ...protocol.errors import NotRun, PeerError, Unknown
from ...protocol.frames import Message
from ...protocol.gen.claims.ttypes import (
    Claim,
    ClaimAnswer,
    ClaimCopy,
    ClaimState,
    CopyAnswer,
    CopyKind,
    Settle,
    SettleAnswer,
)
from ...protocol.gen.stage.ttypes import Hello
from ...protocol.ids import RequestId
from ...protocol.reasons import Reason
from ...state.claim_table import MAX_RESULT_BYTES
from ...state.published import Published
from ...state.replicas import replica_list
from ..members.directory import Directory
from ..requests.peer_client import PeerClient, query_address
from .claim_outcomes import Answered, ClaimOutcome, InProgress, Key, KeyGranted
from .generated_ids import GeneratedIdClaims

CLAIM_TIMEOUT_S: Final = 1.5
"""Longest wait for the primary, which may itself wait for three other replicas."""

PEEK_TIMEOUT_S: Final = 0.5
"""Longest wait for the backup, which is queried if the primary is unresponsive."""

POLL_MIN_S: Final = 0.05
"""First pause before a claim is sent again; doubled each time."""

POLL_MAX_S: Final = 0.5
"""Longest pause before a claim is sent again."""

LIST_SKEW_S: Final = 3.0
"""How long a gateway and a replica may have different lists.

The list is read every second.
"""

STEP: Final = "claim"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Home:
    """The home of a key now; it is in this process if `address` is empty."""

    process_id: str
    address: str
    backup_address: str
    hosts_revision: int
    incarnation: int = 0


class Claimer:
    """Claims keys for one gateway.

    Parameters
    ----------
    hello : callable
        Returns the identity of this process.
    published : Published
        The host list that determines the replicas.
    directory : Directory
        Finds the gateway that generated an id.
    asker : PeerClient
        Sends messages to the replicas.
    generated_ids : GeneratedIdClaims
        Decides about the ids of this gateway.
    clock, sleep : callable
        `clock` returns monotonic seconds; `sleep` waits for the given seconds.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_directory",
        "_generated_ids",
        "_hello",
        "_published",
        "_sleep",
        "_withdrawals",
    )

    def __init__(
        self,
        *,
        hello: Callable[[], Hello],
        published: Published,
        directory: Directory,
        asker: PeerClient,
        generated_ids: GeneratedIdClaims,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._hello = hello
        self._published = published
        self._directory = directory
        self._asker = asker
        self._generated_ids = generated_ids
        self._clock = clock
        self._sleep = sleep
        self._withdrawals: set[asyncio.Task[bool]] = set()

    async def claim(
        self,
        *,
        key: Key,
        request_id: str,
        fingerprint: int,
        is_idempotent: bool,
        budget_s: float,
        wait_s: float = 0.0,
    ) -> ClaimOutcome:
        """Return whether this try may run the request, or the outcome of another.

        Parameters
        ----------
        key : Key
            Key that the caller sent.
        request_id : str
            Id of this try; unique, never used for a second claim.
        fingerprint : int
            Signed 64-bit hash of pipeline and body.
        is_idempotent : bool
            True if every stage may run more than once.
        budget_s : float
            Time budget of the request, in seconds.
        wait_s : float
            Longest wait for an earlier try that still runs, in seconds, so that
            this caller receives its answer too.
        """
        own = self._hello()
        claim = Claim(
            key=key.text,
            request_id=request_id,
            gateway=own.process_id,
            gateway_incarnation=own.incarnation,
            fingerprint=fingerprint,
            idempotent=is_idempotent,
            budget_ms=int(1000 * budget_s),
        )
        try:
            return await self._claim(key, claim, budget_s=budget_s, wait_s=wait_s)
        except asyncio.CancelledError:
            # The caller left; a replica may have granted a try that never runs.
            self._withdraw(key, claim, self._home(key))
            raise

    async def _claim(
        self, key: Key, claim: Claim, *, budget_s: float, wait_s: float
    ) -> ClaimOutcome:
        begin_s = self._clock()
        pause_s = POLL_MIN_S
        while True:
            home = self._home(key)
            answer = await self._send_claim(home, claim) if home else None
            elapsed_s = self._clock() - begin_s
            if not _is_retryable(answer, elapsed_s=elapsed_s, wait_s=wait_s):
                break
            await self._sleep(min(pause_s, max(0.0, budget_s - elapsed_s)))
            if self._clock() - begin_s >= budget_s:
                break
            pause_s = min(POLL_MAX_S, 2 * pause_s)
        return self._outcome(key, claim, home, answer)

    def _home(self, key: Key) -> _Home | None:
        if key.generated_id is not None:
            return self._home_of_generated_id(key.generated_id)
        hosts = self._published.hosts
        pair = replica_list(hosts).pair(key.text)
        if not pair:
            return None
        return _Home(
            process_id=pair[0].process_id,
            address=pair[0].address,
            backup_address=pair[1].address if len(pair) > 1 else "",
            hosts_revision=hosts.revision,
        )

    def _home_of_generated_id(self, generated: RequestId) -> _Home | None:
        address = ""
        if generated.process_id != self._hello().process_id:
            host = self._directory.host(generated.process_id)
            if host is None:
                return None
            address = host.peer_address
        return _Home(
            process_id=generated.process_id,
            address=address,
            backup_address="",
            hosts_revision=0,
            incarnation=generated.incarnation,
        )

    async def _send_claim(self, home: _Home, claim: Claim) -> ClaimAnswer | None:
        claim.hosts_revision = home.hosts_revision
        claim.home_incarnation = home.incarnation
        if not home.address:
            return await self._generated_ids.answer_claim(claim, self._hello())
        reply = await query_address(
            self._asker,
            home.address,
            claim,
            timeout_s=min(CLAIM_TIMEOUT_S, claim.budget_ms / 1000),
        )
        match reply:
            case Ok(ClaimAnswer() as answer):
                return answer
            case _:
                return await self._peek(home, claim)

    async def _peek(self, home: _Home, claim: Claim) -> ClaimAnswer | None:
        """Query the backup for what the unresponsive primary may have granted."""
        if not home.backup_address:
            return None
        query = ClaimCopy(kind=CopyKind.PEEK, claim=claim)
        reply = await query_address(
            self._asker, home.backup_address, query, timeout_s=PEEK_TIMEOUT_S
        )
        match reply:
            case Ok(CopyAnswer(answer=ClaimAnswer() as answer)):
                return answer
            case _:
                return None

    def _outcome(
        self, key: Key, claim: Claim, home: _Home | None, answer: ClaimAnswer | None
    ) -> ClaimOutcome:
        state = ClaimState.UNKNOWN if answer is None else answer.state
        answer = answer or ClaimAnswer(detail="the place of this key is not reached")
        match state:
            case ClaimState.NEW:
                return self._granted(key, claim, home)
            case ClaimState.DONE:
                result = answer.result if answer.has_result else None
                return Answered(request_id=answer.request_id, result=result)
            case ClaimState.IN_PROGRESS:
                return InProgress(request_id=answer.request_id, gateway=answer.gateway)
            case ClaimState.MISMATCH:
                return NotRun(
                    reason=Reason.KEY_REUSED,
                    step=STEP,
                    peer=_home_id(home),
                    detail=f"{answer.detail}; choose another key",
                )
        if claim.idempotent:
            # An idempotent request may run twice without harm, whereas a refusal
            # would fail it without need.
            return KeyGranted(key=key, request_id=claim.request_id)
        self._withdraw(key, claim, home)
        return Unknown(
            reason=Reason.HOME_GONE,
            step=STEP,
            peer=_home_id(home),
            detail=f"this try was not run; of earlier ones: {answer.detail}",
            retry_after_s=max(1.0, answer.retry_after_ms / 1000),
        )

    def _granted(self, key: Key, claim: Claim, home: _Home | None) -> KeyGranted:
        addresses = (home.address, home.backup_address) if home else ()
        return KeyGranted(
            key=key,
            request_id=claim.request_id,
            addresses=tuple(address for address in addresses if address),
        )

    def _withdraw(self, key: Key, claim: Claim, home: _Home | None) -> None:
        """Notify the replicas in the background that this try never runs."""
        granted = self._granted(key, claim, home)
        task = asyncio.create_task(self.settle(granted, is_run=False))
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    async def settle(
        self, granted: KeyGranted, *, is_run: bool, result: bytes | None = None
    ) -> bool:
        """Report the outcome of a claimed request; return True if it was recorded.

        Parameters
        ----------
        granted : KeyGranted
            Grant that `claim` returned.
        is_run : bool
            False if no part of the request ran, which frees the key.
        result : bytes, optional
            Answer for retries; omitted from the message if it is too large.
        """
        kept = result if result is None or len(result) <= MAX_RESULT_BYTES else None
        settle = Settle(
            key=granted.key.text,
            request_id=granted.request_id,
            run=is_run,
            result=kept or b"",
            has_result=kept is not None,
        )
        if granted.key.generated_id is not None and not granted.addresses:
            settled = await self._generated_ids.answer_settle(settle, self._hello())
            return settled.known
        for address in granted.addresses:
            if _is_recorded(await self._send_settle(address, settle)):
                return True
        return False

    async def _send_settle(
        self, address: str, settle: Settle
    ) -> Result[Message, PeerError]:
        return await query_address(
            self._asker, address, settle, timeout_s=CLAIM_TIMEOUT_S
        )


def _is_recorded(reply: Result[Message, PeerError]) -> bool:
    match reply:
        case Ok(SettleAnswer(known=known)):
            return bool(known)
        case _:
            return False


def _is_retryable(
    answer: ClaimAnswer | None, *, elapsed_s: float, wait_s: float
) -> bool:
    if answer is None:
        return False
    if answer.state == ClaimState.NOT_MINE:
        return elapsed_s < LIST_SKEW_S
    return answer.state == ClaimState.IN_PROGRESS and elapsed_s < wait_s


def _home_id(home: _Home | None) -> str:
    return home.process_id if home else ""
