"""Transfers the claims that two replicas share to the one that has restarted.

Without it, replacing one host after the other could replace both replicas of a key
within one retry window, and no process could confirm that the key is new.
"""

import asyncio
from collections.abc import Iterator
from typing import Final

from result import Ok

from ...protocol.const import MS_PER_S
from ...protocol.gen.claims.ttypes import (
    Claim,
    ClaimSync,
    KnownClaim,
    KnownList,
    SyncAnswer,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.claim_table import ClaimPhase, ClaimRecord
from ...state.replicas import Replica, ReplicaList
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .claim_registry import ClaimRegistry, record_of

MAX_PAGE_BYTES: Final = 512 * 1024
"""Size at which a page ends; the claim that exceeds it is still sent.

Even with the largest result, a page stays below ``MAX_FRAME_BYTES``.
"""

MAX_LISTS_BYTES: Final = 1024 * 1024
"""A replica whose lists are larger hands over no claims.

This takes many list changes in a large fleet. The restarted process then waits
until it can no longer lack a claim.
"""

REPLICA_BYTES: Final = 100
"""Assumed size of one replica in a list."""

CLAIM_BYTES: Final = 512
"""Assumed size of a claim without its result."""

MAX_PAGES: Final = 1000
"""Most pages read from one replica; bounds a transfer that never completes."""

SYNC_TIMEOUT_S: Final = 1.0
"""Longest wait for one page."""

RETRY_S: Final = 0.5
"""Pause before replicas that have not handed over their claims are queried again."""


class ClaimSynchroniser:
    """Fetches shared claims from other replicas after a start, and serves them.

    Parameters
    ----------
    registry : ClaimRegistry
        Claims that this process knows.
    asker : PeerClient
        Sends messages to the other replicas.
    """

    __slots__ = ("_asker", "_registry")

    def __init__(self, *, registry: ClaimRegistry, asker: PeerClient) -> None:
        self._registry = registry
        self._asker = asker

    def mount(self, server: PeerServer) -> None:
        """Answer the replicas that query `server`."""
        server.add_handler(ClaimSync, self.answer)

    async def run(self) -> None:
        """Fetch claims from every replica in the list until none can be missing."""
        while not self._registry.is_complete():
            await self.fetch_once()
            await asyncio.sleep(RETRY_S)

    async def fetch_once(self) -> None:
        """Query each replica that has not handed over its claims yet, once."""
        for replica in self._registry.active_list.replicas:
            is_own = replica.process_id == self._registry.process_id
            if not is_own and replica.process_id not in self._registry.learned_from:
                await self._fetch_from(replica)

    async def _fetch_from(self, replica: Replica) -> None:
        after_key, is_complete = "", True
        for _ in range(MAX_PAGES):
            query = ClaimSync(after_key=after_key)
            reply = await query_address(
                self._asker, replica.address, query, timeout_s=SYNC_TIMEOUT_S
            )
            match reply:
                case Ok(SyncAnswer() as page):
                    pass
                case _:
                    return
            is_complete = (
                is_complete and page.complete and self._record_claims(page.claims)
            )
            for known in page.lists:
                self._registry.history.add_former(
                    _replica_list(known),
                    replaced_ago_s=known.replaced_ago_ms / MS_PER_S,
                )
            if not page.more or not page.claims:
                if is_complete:
                    self._registry.learned_from.add(replica.process_id)
                return
            last = page.claims[-1].claim
            after_key = last.key if last is not None else ""

    def _record_claims(self, claims: list[KnownClaim]) -> bool:
        """Record the claims that are new here; return False if the table is full."""
        for known in claims:
            claim = known.claim
            if claim is None or self._registry.table.get(claim.key) is not None:
                continue
            is_kept = self._registry.table.add_copy(
                record_of(
                    claim,
                    phase=_phase_of(known),
                    result=known.result if known.has_result else None,
                ),
                overdue_in_s=known.overdue_in_ms / MS_PER_S,
                expires_in_s=known.expires_in_ms / MS_PER_S,
            )
            if not is_kept:
                return False
        return True

    async def answer(self, sync: ClaimSync, peer: Hello) -> SyncAnswer:
        """Return a page of the claims on keys of which `peer` is a replica too."""
        answer = SyncAnswer(
            claims=[], complete=self._registry.is_complete_with(peer.process_id)
        )
        n_bytes = 0
        if not sync.after_key:
            answer.lists = [
                _known_list(a, p) for a, p in self._registry.history.lists_with_ages()
            ]
            n_bytes = REPLICA_BYTES * sum(len(k.process_ids) for k in answer.lists)
        if n_bytes > MAX_LISTS_BYTES:
            return SyncAnswer(complete=False)
        for record in self._shared_with(sync.after_key, peer.process_id):
            if n_bytes > MAX_PAGE_BYTES:
                answer.more = True
                break
            answer.claims.append(_known_claim(record, now_s=self._registry.now_s()))
            n_bytes += CLAIM_BYTES + len(record.result or b"")
        return answer

    def _shared_with(self, after_key: str, partner: str) -> Iterator[ClaimRecord]:
        for record in self._registry.table.records_after(after_key):
            pairs = self._registry.pairs_of_other_lists(record.key, revision=0)
            if any(partner == replica.process_id for pair in pairs for replica in pair):
                yield record


def _known_claim(record: ClaimRecord, *, now_s: float) -> KnownClaim:
    return KnownClaim(
        claim=Claim(
            key=record.key,
            request_id=record.request_id,
            gateway=record.gateway,
            gateway_incarnation=record.gateway_incarnation,
            fingerprint=record.fingerprint,
            idempotent=record.is_idempotent,
            grant=record.grant,
        ),
        done=record.phase is ClaimPhase.DONE,
        moved=record.phase is ClaimPhase.MOVED,
        result=record.result or b"",
        has_result=record.result is not None,
        overdue_in_ms=int(MS_PER_S * max(0.0, record.overdue_s - now_s)),
        expires_in_ms=int(MS_PER_S * max(0.0, record.expires_s - now_s)),
    )


def _phase_of(known: KnownClaim) -> ClaimPhase:
    if known.moved:
        return ClaimPhase.MOVED
    return ClaimPhase.DONE if known.done else ClaimPhase.RUNNING


def _known_list(replaced_ago_s: float, replicas: ReplicaList) -> KnownList:
    return KnownList(
        hosts_revision=replicas.revision,
        process_ids=[replica.process_id for replica in replicas.replicas],
        addresses=[replica.address for replica in replicas.replicas],
        failure_domains=[replica.failure_domain for replica in replicas.replicas],
        replaced_ago_ms=int(MS_PER_S * replaced_ago_s),
    )


def _replica_list(known: KnownList) -> ReplicaList:
    columns = zip(
        known.process_ids, known.addresses, known.failure_domains, strict=False
    )
    return ReplicaList(
        revision=known.hosts_revision,
        replicas=tuple(
            Replica(process_id=name, address=address, failure_domain=domain)
            for name, address, domain in columns
        ),
    )
