"""A gateway's side of request keys: claims a key before it runs a request."""

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
from ...state.places import place_list
from ...state.published import Published
from ..members.directory import Directory
from ..requests.peer_client import PeerClient, query_address
from .claim_outcomes import Answered, ClaimOutcome, InProgress, Key, KeyGranted
from .minted import MintedClaims

CLAIM_TIMEOUT_S: Final = 1.5
"""Wait for the first place, which itself may wait for three others."""

PEEK_TIMEOUT_S: Final = 0.5
"""Longest wait for the second place, asked where the first is silent."""

POLL_MIN_S: Final = 0.05
"""First pause before a place is asked again; doubled each time."""

POLL_MAX_S: Final = 0.5
"""Longest pause before a place is asked again."""

NOT_MINE_S: Final = 3.0
"""How long gateway and place may differ about the list; it is read each second."""

STEP: Final = "claim"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Home:
    """Where a key is decided now; no address means in this process."""

    process_id: str
    address: str
    second_address: str
    hosts_revision: int
    incarnation: int = 0


class Claimer:
    """Claims keys for one gateway.

    Parameters
    ----------
    hello : callable
        Returns what this process says of itself.
    published : Published
        The host list on which places are chosen.
    directory : Directory
        Finds the gateway that minted an id.
    asker : PeerClient
        Reaches the places.
    minted : MintedClaims
        Decides about the ids of this gateway.
    clock, sleep : callable
        Monotonic seconds, and a wait of seconds.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_directory",
        "_drops",
        "_hello",
        "_minted",
        "_published",
        "_sleep",
    )

    def __init__(
        self,
        *,
        hello: Callable[[], Hello],
        published: Published,
        directory: Directory,
        asker: PeerClient,
        minted: MintedClaims,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._hello = hello
        self._published = published
        self._directory = directory
        self._asker = asker
        self._minted = minted
        self._clock = clock
        self._sleep = sleep
        self._drops: set[asyncio.Task[bool]] = set()

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
        """Return whether this try may run the request, or what became of another.

        Parameters
        ----------
        key : Key
            What the caller gave.
        request_id : str
            This try; unique, never used for a second claim.
        fingerprint : int
            Signed 64 bits over pipeline and body.
        is_idempotent : bool
            True if every stage may run more than once.
        budget_s : float
            Seconds that the request has.
        wait_s : float
            Seconds to wait for an earlier try that still runs, to hand its
            answer to this caller too.
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
            # The caller left; a place may have granted what nobody will run.
            self._drop(key, claim, self._home(key))
            raise

    async def _claim(
        self, key: Key, claim: Claim, *, budget_s: float, wait_s: float
    ) -> ClaimOutcome:
        begin_s = self._clock()
        pause_s = POLL_MIN_S
        while True:
            home = self._home(key)
            answer = await self._ask(home, claim) if home else None
            passed_s = self._clock() - begin_s
            if not _is_worth_asking_again(answer, passed_s=passed_s, wait_s=wait_s):
                break
            await self._sleep(min(pause_s, max(0.0, budget_s - passed_s)))
            if self._clock() - begin_s >= budget_s:
                break
            pause_s = min(POLL_MAX_S, 2 * pause_s)
        return self._outcome(key, claim, home, answer)

    def _home(self, key: Key) -> _Home | None:
        if key.minted is not None:
            return self._minting_home(key.minted)
        hosts = self._published.hosts
        pair = place_list(hosts).pair(key.text)
        if not pair:
            return None
        return _Home(
            process_id=pair[0].process_id,
            address=pair[0].address,
            second_address=pair[1].address if len(pair) > 1 else "",
            hosts_revision=hosts.revision,
        )

    def _minting_home(self, minted: RequestId) -> _Home | None:
        address = ""
        if minted.process_id != self._hello().process_id:
            host = self._directory.host(minted.process_id)
            if host is None:
                return None
            address = host.peer_address
        return _Home(
            process_id=minted.process_id,
            address=address,
            second_address="",
            hosts_revision=0,
            incarnation=minted.incarnation,
        )

    async def _ask(self, home: _Home, claim: Claim) -> ClaimAnswer | None:
        claim.hosts_revision = home.hosts_revision
        claim.home_incarnation = home.incarnation
        if not home.address:
            return await self._minted.answer_claim(claim, self._hello())
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
        """Ask the second place what the silent first one may have granted."""
        if not home.second_address:
            return None
        question = ClaimCopy(kind=CopyKind.PEEK, claim=claim)
        reply = await query_address(
            self._asker, home.second_address, question, timeout_s=PEEK_TIMEOUT_S
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
                    peer=_peer_of(home),
                    detail=f"{answer.detail}; choose another key",
                )
        if claim.idempotent:
            # Running it twice does no harm; refusing it would.
            return KeyGranted(key=key, request_id=claim.request_id)
        self._drop(key, claim, home)
        return Unknown(
            reason=Reason.HOME_GONE,
            step=STEP,
            peer=_peer_of(home),
            detail=f"this try was not run; of earlier ones: {answer.detail}",
            retry_after_s=max(1.0, answer.retry_after_ms / 1000),
        )

    def _granted(self, key: Key, claim: Claim, home: _Home | None) -> KeyGranted:
        addresses = (home.address, home.second_address) if home else ()
        return KeyGranted(
            key=key,
            request_id=claim.request_id,
            addresses=tuple(address for address in addresses if address),
        )

    def _drop(self, key: Key, claim: Claim, home: _Home | None) -> None:
        """Tell the places that this try never runs; the caller need not wait."""
        granted = self._granted(key, claim, home)
        task = asyncio.create_task(self.settle(granted, is_run=False))
        self._drops.add(task)
        task.add_done_callback(self._drops.discard)

    async def settle(
        self, granted: KeyGranted, *, is_run: bool, result: bytes | None = None
    ) -> bool:
        """Report the end of a claimed request; return True if a place noted it.

        Parameters
        ----------
        granted : KeyGranted
            What `claim` returned.
        is_run : bool
            False if nothing of the request was run, so that the key is free.
        result : bytes, optional
            The answer to hand to retries; left out when it is too large.
        """
        kept = result if result is None or len(result) <= MAX_RESULT_BYTES else None
        settle = Settle(
            key=granted.key.text,
            request_id=granted.request_id,
            run=is_run,
            result=kept or b"",
            has_result=kept is not None,
        )
        if granted.key.minted is not None and not granted.addresses:
            noted = await self._minted.answer_settle(settle, self._hello())
            return noted.known
        for address in granted.addresses:
            if _is_noted(await self._send(address, settle)):
                return True
        return False

    async def _send(self, address: str, settle: Settle) -> Result[Message, PeerError]:
        return await query_address(
            self._asker, address, settle, timeout_s=CLAIM_TIMEOUT_S
        )


def _is_noted(reply: Result[Message, PeerError]) -> bool:
    match reply:
        case Ok(SettleAnswer(known=known)):
            return bool(known)
        case _:
            return False


def _is_worth_asking_again(
    answer: ClaimAnswer | None, *, passed_s: float, wait_s: float
) -> bool:
    if answer is None:
        return False
    if answer.state == ClaimState.NOT_MINE:
        return passed_s < NOT_MINE_S
    return answer.state == ClaimState.IN_PROGRESS and passed_s < wait_s


def _peer_of(home: _Home | None) -> str:
    return home.process_id if home else ""
