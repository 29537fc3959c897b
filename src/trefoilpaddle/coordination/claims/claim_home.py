"""Primary of a request key: grants the key to one try.

A non-idempotent key is granted only after both of its replicas, under the host
list of the primary, have recorded the claim. So either replica alone can tell that
a key was never granted under that list. A stale primary cannot grant without its
backup, which refuses if it knows a newer list with other replicas.
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
from ...state.claim_table import ClaimPhase, ClaimRecord
from ...state.journal import Decision, Event, Figure, Journal
from ...state.replicas import Replica
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .absence_confirmations import AbsenceConfirmations
from .claim_registry import ClaimRegistry, answer_for, replicas_of, request_id_of
from .claim_replica import ClaimReplica

REPLICA_TIMEOUT_S: Final = 0.4
"""Longest wait for another replica; shorter than the gateway's wait for this one."""

ReplicaPair = tuple[Replica, ...]


class ClaimHome:
    """Decides about the keys that have their primary in this process.

    Parameters
    ----------
    registry : ClaimRegistry
        Claims that this process knows.
    asker : PeerClient
        Sends messages to the other replicas.
    journal : Journal
        Records each decision.
    """

    __slots__ = ("_asker", "_journal", "_registry", "_replica")

    def __init__(
        self, *, registry: ClaimRegistry, asker: PeerClient, journal: Journal
    ) -> None:
        self._registry = registry
        self._asker = asker
        self._journal = journal
        self._replica = ClaimReplica(registry=registry)

    def mount(self, server: PeerServer) -> None:
        """Answer claims, copies and settlements that arrive at `server`."""
        server.add_handler(Claim, self.answer_claim)
        server.add_handler(ClaimCopy, self.answer_copy)
        server.add_handler(Settle, self.answer_settle)

    async def answer_copy(self, copy: ClaimCopy, peer: Hello) -> CopyAnswer:
        """Answer as the backup or as a replica of a former list."""
        return await self._replica.answer(copy, peer)

    async def answer_claim(self, claim: Claim, _peer: Hello) -> ClaimAnswer:
        """Return whether the try that `claim` describes may run."""
        answer = await self._decide(claim)
        is_granted = answer.state == ClaimState.NEW
        self._journal.record(
            Decision(
                event=Event.CLAIM_GRANTED if is_granted else Event.CLAIM_ANSWERED,
                request_id=request_id_of(claim.request_id),
                peer=claim.gateway,
                detail=" ".join(
                    [ClaimState._VALUES_TO_NAMES[answer.state], answer.detail]
                ).strip(),
                figures=(Figure(name="n_keys", value=len(self._registry.table)),),
            )
        )
        return answer

    async def _decide(self, claim: Claim) -> ClaimAnswer:
        active = self._registry.active_list
        if claim.hosts_revision > active.revision:
            return self._registry.not_mine("this place has an older host list")
        pair = active.pair(claim.key)
        if not pair or pair[0].process_id != self._registry.process_id:
            return self._registry.not_mine("another place decides about this key")
        record = self._registry.table.get(claim.key)
        if record is not None:
            return self._registry.evaluate(record, claim)
        record = self._registry.record_claim(claim, phase=ClaimPhase.PENDING)
        if record is None:
            return self._registry.unknown_outcome(
                "the place of this key keeps no more keys"
            )
        if claim.idempotent:
            record.phase = ClaimPhase.RUNNING
            return answer_for(record, ClaimState.NEW)
        return await self._confirm_grant(record, claim, pair)

    async def _confirm_grant(
        self, record: ClaimRecord, claim: Claim, pair: ReplicaPair
    ) -> ClaimAnswer:
        """Grant a pending claim if no other replica objects, else withdraw it."""
        forwarded = _forwarded(
            claim, hosts_revision=self._registry.active_list.revision
        )
        answer = await self._grant_objection(forwarded, pair)
        is_ours = self._registry.table.get(claim.key) is record
        if answer is None and is_ours and record.phase is ClaimPhase.PENDING:
            record.phase = ClaimPhase.RUNNING
            return answer_for(record, ClaimState.NEW)
        await self._withdraw(pair[1:], forwarded)
        if is_ours and record.phase is ClaimPhase.PENDING:
            self._registry.table.remove(claim.key)
        return answer or self._registry.not_mine("the key was taken over meanwhile")

    async def _grant_objection(
        self, claim: Claim, pair: ReplicaPair
    ) -> ClaimAnswer | None:
        """Return the answer that prevents the grant, or None if there is none.

        One replica of each pair, active and former, must confirm that it never
        recorded the key: it has no record of it and cannot have lost one.
        """
        confirmations = AbsenceConfirmations()
        confirmations.add_own(self._registry)
        revision = claim.hosts_revision
        former = list(self._registry.pairs_of_other_lists(claim.key, revision=revision))
        for backup in pair[1:]:
            copied = await self._query_replica(backup, claim, CopyKind.COPY)
            if copied is None or copied.answer is None:
                detail = f"the second place {backup.process_id} did not answer"
                return self._registry.unknown_outcome(detail)
            if copied.answer.state != ClaimState.NEW:
                return copied.answer
            former += [replicas_of(replicas) for replicas in copied.former]
            confirmations.add(backup, copied)
        if not confirmations.covers(pair):
            return self._registry.unknown_outcome(
                "the places of this key have started lately"
            )
        return await self._former_objection(claim, former, confirmations)

    async def _former_objection(
        self,
        claim: Claim,
        former: list[ReplicaPair],
        confirmations: AbsenceConfirmations,
    ) -> ClaimAnswer | None:
        for pair in former:
            if confirmations.covers(pair):
                continue
            answer = await self._pair_objection(claim, pair, confirmations)
            if answer is not None:
                return answer
        return None

    async def _pair_objection(
        self, claim: Claim, pair: ReplicaPair, confirmations: AbsenceConfirmations
    ) -> ClaimAnswer | None:
        """Return the objection of a former pair, or None if one replica confirms."""
        for replica in pair:
            if replica.process_id == self._registry.process_id:
                continue
            moved = await self._query_replica(replica, claim, CopyKind.MOVE)
            if moved is None or moved.answer is None:
                continue
            if moved.answer.state != ClaimState.NEW:
                return moved.answer
            confirmations.add(replica, moved)
            if confirmations.covers(pair):
                return None
        return self._registry.unknown_outcome(
            "no earlier place of this key could vouch for it"
        )

    async def _query_replica(
        self, replica: Replica, claim: Claim, kind: int
    ) -> CopyAnswer | None:
        query = ClaimCopy(kind=kind, claim=claim)
        reply = await query_address(
            self._asker, replica.address, query, timeout_s=REPLICA_TIMEOUT_S
        )
        match reply:
            case Ok(CopyAnswer() as answer):
                return answer
            case _:
                return None

    async def _withdraw(self, replicas: ReplicaPair, claim: Claim) -> None:
        """Free the key at replicas that recorded a claim that was not granted."""
        settle = Settle(key=claim.key, request_id=claim.request_id, grant=claim.grant)
        for replica in replicas:
            await query_address(
                self._asker, replica.address, settle, timeout_s=REPLICA_TIMEOUT_S
            )

    async def answer_settle(self, settle: Settle, _peer: Hello) -> SettleAnswer:
        """Record the outcome of a request, here and at the backup of the key."""
        is_known = self._settle(settle)
        pair = self._registry.active_list.pair(settle.key)
        if len(pair) > 1 and pair[0].process_id == self._registry.process_id:
            await query_address(
                self._asker, pair[1].address, settle, timeout_s=REPLICA_TIMEOUT_S
            )
        return SettleAnswer(known=is_known)

    def _settle(self, settle: Settle) -> bool:
        record = self._registry.table.get(settle.key)
        if record is None or record.request_id != settle.request_id:
            return False
        # A delayed withdrawal must not free the key after the same try was
        # copied here again and granted.
        if settle.grant and settle.grant != record.grant:
            return False
        if settle.run:
            result = settle.result if settle.has_result else None
            self._registry.table.finish(record, result=result)
        elif record.phase in (ClaimPhase.PENDING, ClaimPhase.RUNNING):
            self._registry.table.remove(settle.key)
        return True


def _forwarded(claim: Claim, *, hosts_revision: int) -> Claim:
    """Return `claim` as the primary forwards it, under its own host list."""
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
