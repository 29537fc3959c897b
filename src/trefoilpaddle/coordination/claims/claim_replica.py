"""A place of a key as others ask it: second place, or place of a former list."""

from ...protocol.gen.claims.ttypes import (
    Claim,
    ClaimAnswer,
    ClaimCopy,
    ClaimState,
    CopyAnswer,
    CopyKind,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.claim_table import ClaimRecord, ClaimStage
from .claim_registry import ClaimRegistry, replicas_message


class ClaimReplica:
    """Answers copies, moves and peeks from what this process knows."""

    __slots__ = ("_registry",)

    def __init__(self, *, registry: ClaimRegistry) -> None:
        self._registry = registry

    async def answer(self, copy: ClaimCopy, peer: Hello) -> CopyAnswer:
        """Return what is known of a key here, having done what `copy` asks."""
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
        """Return the partners in this key that have handed over what they knew."""
        pairs = self._registry.pairs_of_other_lists(claim.key, revision=0)
        partners = {place.process_id for pair in pairs for place in pair}
        return sorted(partners & self._registry.learned_from)

    def _copy(self, claim: Claim) -> ClaimAnswer:
        if self._is_stale(claim):
            return self._registry.not_mine("the asking place has an older host list")
        record = self._registry.table.get(claim.key)
        if record is None:
            record = self._registry.record_claim(claim, stage=ClaimStage.RUNNING)
            return _none(claim) if record else self._full()
        answer = self._registry.evaluate(record, claim)
        if answer.state == ClaimState.NEW:
            record.grant = claim.grant
        return answer

    def _move(self, claim: Claim, peer: Hello) -> ClaimAnswer:
        record = self._registry.table.get(claim.key)
        if record is None:
            record = self._registry.record_claim(claim, stage=ClaimStage.MOVED)
            if record is None:
                return self._full()
        elif not _may_move(record, peer):
            return self._registry.evaluate(record, claim)
        record.stage = ClaimStage.MOVED
        record.gateway = peer.process_id
        record.gateway_incarnation = peer.incarnation
        self._registry.table.keep_until(record, for_s=self._registry.retention_s)
        return _none(claim)

    def _peek(self, claim: Claim) -> ClaimAnswer:
        record = self._registry.table.get(claim.key)
        if record is None:
            return self._registry.unknown_outcome(
                "the second place has no record of the key"
            )
        answer = self._registry.evaluate(record, claim)
        if answer.state != ClaimState.NEW:
            return answer
        # The first place copied this very try here and may have granted it;
        # the gateway asks because that answer did not arrive.
        return self._registry.unknown_outcome("the first place did not answer in time")

    def _full(self) -> ClaimAnswer:
        return self._registry.unknown_outcome("a place of this key keeps no more keys")

    def _is_stale(self, claim: Claim) -> bool:
        """Return True if the asker decides under a list that is replaced.

        Guards against two homes believed at once: the former one, cut off from
        the platform or just woken, still grants under its old list; its second
        place knows a newer one, in which it is not second, and stops it.
        """
        present = self._registry.active_list
        if claim.hosts_revision >= present.revision:
            return False
        pair = present.pair(claim.key)
        return len(pair) < 2 or pair[1].process_id != self._registry.process_id


def _may_move(record: ClaimRecord, peer: Hello) -> bool:
    """Return True if the same incarnation of the same place asked before.

    Had it granted the key, it would still know and not ask again.
    """
    return (
        record.stage is ClaimStage.MOVED
        and record.gateway == peer.process_id
        and record.gateway_incarnation == peer.incarnation
    )


def _none(claim: Claim) -> ClaimAnswer:
    return ClaimAnswer(state=ClaimState.NEW, request_id=claim.request_id)
