"""Replica of a key that is not its primary: backup, or replica of a former list."""

from ...protocol.gen.claims.ttypes import (
    Claim,
    ClaimAnswer,
    ClaimCopy,
    ClaimState,
    CopyAnswer,
    CopyKind,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.claim_table import ClaimPhase, ClaimRecord
from .claim_registry import ClaimRegistry, replicas_message


class ClaimReplica:
    """Answers copy, move and peek messages from the claims known here.

    A copy records a claim of the primary at its backup. A move ends the right of
    a former replica to grant the key. A peek reads what the backup knows.
    """

    __slots__ = ("_registry",)

    def __init__(self, *, registry: ClaimRegistry) -> None:
        self._registry = registry

    async def answer(self, copy: ClaimCopy, peer: Hello) -> CopyAnswer:
        """Apply `copy` and return what this process knows of the key."""
        claim = copy.claim or Claim()
        match copy.kind:
            case CopyKind.COPY:
                answer = self._copy(claim)
            case CopyKind.MOVE:
                answer = self._move(claim, peer)
            case _:
                answer = self._peek(claim)
        return CopyAnswer(
            answer=answer,
            complete=self._registry.is_complete(),
            learned_from=self._learned_from(claim),
            former=[
                replicas_message(pair)
                for pair in self._registry.pairs_of_other_lists(
                    claim.key, revision=claim.hosts_revision
                )
            ],
        )

    def _learned_from(self, claim: Claim) -> list[str]:
        """Return the other replicas of the key that have handed over their claims."""
        pairs = self._registry.pairs_of_other_lists(claim.key, revision=0)
        partners = {replica.process_id for pair in pairs for replica in pair}
        return sorted(partners & self._registry.learned_from)

    def _copy(self, claim: Claim) -> ClaimAnswer:
        if self._is_stale(claim):
            return self._registry.not_mine("the asking place has an older host list")
        record = self._registry.table.get(claim.key)
        if record is None:
            record = self._registry.record_claim(claim, phase=ClaimPhase.RUNNING)
            return _no_claim(claim) if record else self._full()
        answer = self._registry.evaluate(record, claim)
        if answer.state == ClaimState.NEW:
            record.grant = claim.grant
        return answer

    def _move(self, claim: Claim, peer: Hello) -> ClaimAnswer:
        record = self._registry.table.get(claim.key)
        if record is None:
            record = self._registry.record_claim(claim, phase=ClaimPhase.MOVED)
            if record is None:
                return self._full()
        elif not _may_move(record, peer):
            return self._registry.evaluate(record, claim)
        record.phase = ClaimPhase.MOVED
        record.gateway = peer.process_id
        record.gateway_incarnation = peer.incarnation
        self._registry.table.expire_after(record, for_s=self._registry.retention_s)
        return _no_claim(claim)

    def _peek(self, claim: Claim) -> ClaimAnswer:
        record = self._registry.table.get(claim.key)
        if record is None:
            return self._registry.unknown_outcome(
                "the second place has no record of the key"
            )
        answer = self._registry.evaluate(record, claim)
        if answer.state != ClaimState.NEW:
            return answer
        # The primary copied this try here and may have granted it. The gateway
        # sends the peek because it did not receive that answer.
        return self._registry.unknown_outcome("the first place did not answer in time")

    def _full(self) -> ClaimAnswer:
        return self._registry.unknown_outcome("a place of this key keeps no more keys")

    def _is_stale(self, claim: Claim) -> bool:
        """Return True if the sender decides under a replaced host list.

        Guards against two homes that act at the same time. A former home that is
        partitioned from the platform or has just resumed still grants under its
        old list. Its former backup knows a newer list in which it is not the
        backup, and rejects the copy.
        """
        active = self._registry.active_list
        if claim.hosts_revision >= active.revision:
            return False
        pair = active.pair(claim.key)
        return len(pair) < 2 or pair[1].process_id != self._registry.process_id


def _may_move(record: ClaimRecord, peer: Hello) -> bool:
    """Return True if the same incarnation of the same replica sent a move before.

    If it had granted the key, it would still know that and send no other move.
    """
    return (
        record.phase is ClaimPhase.MOVED
        and record.gateway == peer.process_id
        and record.gateway_incarnation == peer.incarnation
    )


def _no_claim(claim: Claim) -> ClaimAnswer:
    return ClaimAnswer(state=ClaimState.NEW, request_id=claim.request_id)
