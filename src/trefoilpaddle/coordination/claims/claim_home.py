"""The first place of a request key: grants it to one try, tells the others.

A non-idempotent key is granted only when both of its places, under the list of
the first, have recorded the claim. So either place alone can tell that a key
was never granted under that list, and a stale first place cannot grant without
the second, which refuses when it knows a newer list with other places.
"""

from typing import Final

from result import Ok

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
from ...protocol.ids import new_incarnation
from ...state.claim_table import ClaimRecord, ClaimStage
from ...state.journal import Decision, Event, Figure, Journal
from ...state.places import Place
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .claim_book import ClaimBook, answer_for, places_of, request_of
from .claim_copy import ClaimCopies
from .vouchers import Vouchers

COPY_TIMEOUT_S: Final = 0.4
"""Wait for another place; shorter than the gateway's wait for this one."""

Pair = tuple[Place, ...]


class ClaimHome:
    """Decides about the keys whose first place this process is.

    Parameters
    ----------
    book : ClaimBook
        What this process knows.
    asker : PeerClient
        Reaches the other places.
    journal : Journal
        Takes each decision.
    """

    __slots__ = ("_asker", "_book", "_copies", "_journal")

    def __init__(self, *, book: ClaimBook, asker: PeerClient, journal: Journal) -> None:
        self._book = book
        self._asker = asker
        self._journal = journal
        self._copies = ClaimCopies(book=book)

    def mount(self, server: PeerServer) -> None:
        """Answer claims, copies and settlements that arrive at `server`."""
        server.answer(Claim, self.answer_claim)
        server.answer(ClaimCopy, self.answer_copy)
        server.answer(Settle, self.answer_settle)

    async def answer_copy(self, copy: ClaimCopy, peer: Hello) -> CopyAnswer:
        """Answer as second place or place of a former list."""
        return await self._copies.answer(copy, peer)

    async def answer_claim(self, claim: Claim, _peer: Hello) -> ClaimAnswer:
        """Return whether the try that `claim` describes may run."""
        answer = await self._decide(claim)
        is_granted = answer.state == ClaimState.NEW
        self._journal.record(
            Decision(
                event=Event.CLAIM_GRANTED if is_granted else Event.CLAIM_ANSWERED,
                request_id=request_of(claim.request_id),
                peer=claim.gateway,
                detail=" ".join(
                    [ClaimState._VALUES_TO_NAMES[answer.state], answer.detail]
                ).strip(),
                figures=(Figure(name="n_keys", value=len(self._book.table)),),
            )
        )
        return answer

    async def _decide(self, claim: Claim) -> ClaimAnswer:
        present = self._book.present
        if claim.hosts_revision > present.revision:
            return self._book.not_mine("this place has an older host list")
        pair = present.pair(claim.key)
        if not pair or pair[0].process_id != self._book.process_id:
            return self._book.not_mine("another place decides about this key")
        record = self._book.table.get(claim.key)
        if record is not None:
            return self._book.known(record, claim)
        record = self._book.note(claim, stage=ClaimStage.PENDING)
        if record is None:
            return self._book.unsure("the place of this key keeps no more keys")
        if claim.idempotent:
            record.stage = ClaimStage.RUNNING
            return answer_for(record, ClaimState.NEW)
        return await self._ask_others(record, claim, pair)

    async def _ask_others(
        self, record: ClaimRecord, claim: Claim, pair: Pair
    ) -> ClaimAnswer:
        """Grant a pending claim if no other place objects, else withdraw it."""
        passed_on = _passed_on(claim, hosts_revision=self._book.present.revision)
        answer = await self._objection(passed_on, pair)
        is_ours = self._book.table.get(claim.key) is record
        if answer is None and is_ours and record.stage is ClaimStage.PENDING:
            record.stage = ClaimStage.RUNNING
            return answer_for(record, ClaimState.NEW)
        await self._withdraw(pair[1:], passed_on)
        if is_ours and record.stage is ClaimStage.PENDING:
            self._book.table.remove(claim.key)
        return answer or self._book.not_mine("the key was taken over meanwhile")

    async def _objection(self, claim: Claim, pair: Pair) -> ClaimAnswer | None:
        """Return what speaks against granting, or None.

        One place of each pair, present and former, must vouch that it never
        recorded the key: it holds no record, and cannot lack one.
        """
        vouchers = Vouchers()
        vouchers.add_own(self._book)
        revision = claim.hosts_revision
        former = list(self._book.other_pairs(claim.key, revision=revision))
        for second in pair[1:]:
            copied = await self._ask_place(second, claim, CopyKind.COPY)
            if copied is None or copied.answer is None:
                detail = f"the second place {second.process_id} did not answer"
                return self._book.unsure(detail)
            if copied.answer.state != ClaimState.NEW:
                return copied.answer
            former += [places_of(places) for places in copied.former]
            vouchers.add(second, copied)
        if not vouchers.has_for(pair):
            return self._book.unsure("the places of this key have started lately")
        return await self._former_objection(claim, former, vouchers)

    async def _former_objection(
        self, claim: Claim, former: list[Pair], vouchers: Vouchers
    ) -> ClaimAnswer | None:
        for pair in former:
            if vouchers.has_for(pair):
                continue
            answer = await self._pair_objection(claim, pair, vouchers)
            if answer is not None:
                return answer
        return None

    async def _pair_objection(
        self, claim: Claim, pair: Pair, vouchers: Vouchers
    ) -> ClaimAnswer | None:
        """Return what a former pair objects, or None once one of it vouches."""
        for place in pair:
            if place.process_id == self._book.process_id:
                continue
            moved = await self._ask_place(place, claim, CopyKind.MOVE)
            if moved is None or moved.answer is None:
                continue
            if moved.answer.state != ClaimState.NEW:
                return moved.answer
            vouchers.add(place, moved)
            if vouchers.has_for(pair):
                return None
        return self._book.unsure("no earlier place of this key could vouch for it")

    async def _ask_place(
        self, place: Place, claim: Claim, kind: int
    ) -> CopyAnswer | None:
        question = ClaimCopy(kind=kind, claim=claim)
        reply = await query_address(
            self._asker, place.address, question, timeout_s=COPY_TIMEOUT_S
        )
        match reply:
            case Ok(CopyAnswer() as answer):
                return answer
            case _:
                return None

    async def _withdraw(self, places: Pair, claim: Claim) -> None:
        """Free the key at a second place that recorded a claim never granted."""
        settle = Settle(key=claim.key, request_id=claim.request_id, grant=claim.grant)
        for place in places:
            await query_address(
                self._asker, place.address, settle, timeout_s=COPY_TIMEOUT_S
            )

    async def answer_settle(self, settle: Settle, _peer: Hello) -> SettleAnswer:
        """Note the end of a request, here and at the key's second place."""
        is_known = self._settle(settle)
        pair = self._book.present.pair(settle.key)
        if len(pair) > 1 and pair[0].process_id == self._book.process_id:
            await query_address(
                self._asker, pair[1].address, settle, timeout_s=COPY_TIMEOUT_S
            )
        return SettleAnswer(known=is_known)

    def _settle(self, settle: Settle) -> bool:
        record = self._book.table.get(settle.key)
        if record is None or record.request_id != settle.request_id:
            return False
        # A withdrawal that was delayed must not free the key after the same
        # try was copied here once more and granted.
        if settle.grant and settle.grant != record.grant:
            return False
        if settle.run:
            result = settle.result if settle.has_result else None
            self._book.table.finish(record, result=result)
        elif record.stage in (ClaimStage.PENDING, ClaimStage.RUNNING):
            self._book.table.remove(settle.key)
        return True


def _passed_on(claim: Claim, *, hosts_revision: int) -> Claim:
    """Return `claim` as the first place passes it on, under its own list."""
    return Claim(
        key=claim.key,
        request_id=claim.request_id,
        gateway=claim.gateway,
        gateway_incarnation=claim.gateway_incarnation,
        hosts_revision=hosts_revision,
        fingerprint=claim.fingerprint,
        idempotent=claim.idempotent,
        budget_ms=claim.budget_ms,
        grant=new_incarnation(),
    )
