"""Claims on request keys that one process knows, and the replicas of each key.

A try is one submission of a request by its caller. The replicas of a key are its
primary and its backup, two sidecars that the host list determines.
"""

import secrets
import time
from collections.abc import Callable, Iterator
from typing import Final

from ...protocol.gen.claims.ttypes import Claim, ClaimAnswer, ClaimState, Places
from ...state.claim_table import ClaimPhase, ClaimRecord, ClaimTable
from ...state.published import Published
from ...state.replicas import Replica, ReplicaHistory, ReplicaList

FORMER_LIST_RETENTION_S: Final = 300.0
"""How long replicas of a replaced list are queried.

It is long enough for a partition of a few minutes.
"""

MIN_RETRY_AFTER_S: Final = 1.0
"""Shortest retry-after time for a caller when the outcome is unknown."""

TRY_BYTES: Final = 6
"""Number of random bytes in the id of a try."""

TRY_SEPARATOR: Final = "~"
"""Separates the request id from the random part of the id of a try."""

IncarnationOf = Callable[[str], int | None]


def _no_incarnation(_process_id: str) -> None:
    return None


class ClaimRegistry:
    """Claims known to this process, and whether it can lack any claim.

    Parameters
    ----------
    process_id : str
        Id of this process.
    published : Published
        Active host list and catalogue.
    table : ClaimTable
        The claims; its window is the retry window.
    incarnation_of : callable
        Returns the incarnation with which a process is currently connected, or
        None.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_incarnation_of",
        "_max_deadline_s",
        "_published",
        "_start_s",
        "history",
        "learned_from",
        "process_id",
        "table",
    )

    def __init__(
        self,
        *,
        process_id: str,
        published: Published,
        table: ClaimTable,
        incarnation_of: IncarnationOf = _no_incarnation,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.process_id = process_id
        self.table = table
        self.learned_from: set[str] = set()
        self._published = published
        self._incarnation_of = incarnation_of
        self._clock = clock
        self._start_s = clock()
        self._max_deadline_s = 0.0
        self.history = ReplicaHistory(keep_s=FORMER_LIST_RETENTION_S, clock=clock)
        published.subscribe(self._on_published)
        self._on_published()

    def now_s(self) -> float:
        """Return the current time on this process's monotonic clock, in seconds."""
        return self._clock()

    def _on_published(self) -> None:
        self.history.set_hosts(self._published.hosts)
        entries = self._published.catalogue.entries.values()
        self._max_deadline_s = max(
            [self._max_deadline_s, *(e.deadline_s for e in entries)]
        )

    @property
    def active_list(self) -> ReplicaList:
        """The replicas of the active host list."""
        return self.history.current

    @property
    def retention_s(self) -> float:
        """Longest time for which any claim must be kept, in seconds."""
        return self.table.window_s + self._max_deadline_s

    def time_to_complete_s(self) -> float:
        """Return for how many seconds this process may still lack a claim.

        A process loses its claims when it restarts. Until every request granted
        before its start has ended and its retry window is over, it cannot
        confirm that a key is new.
        """
        known_since_s = max(self._start_s, self.history.complete_since_s)
        return max(0.0, known_since_s + self.retention_s - self._clock())

    def is_complete(self) -> bool:
        """Return True if this process still knows every claim recorded here."""
        return self.time_to_complete_s() == 0.0

    def is_complete_with(self, partner: str) -> bool:
        """Return True if no claim on a key shared with `partner` can be missing.

        Either this process still knows every claim, or `partner` has handed over
        all of its claims. Each claim on such a key is recorded at both replicas.
        """
        return self.is_complete() or partner in self.learned_from

    def pairs_of_other_lists(
        self, key: str, *, revision: int
    ) -> Iterator[tuple[Replica, ...]]:
        """Yield the distinct replica pairs of `key`, except under list `revision`.

        These are the pairs under the recently replaced lists, and under the
        active list if the sender decides under a newer one. Other processes may
        still decide under any of them.
        """
        seen: set[tuple[str, ...]] = set()
        for replicas in (self.active_list, *self.history.former()):
            if replicas.revision == revision:
                continue
            pair = replicas.pair(key)
            names = tuple(replica.process_id for replica in pair)
            if names and names not in seen:
                seen.add(names)
                yield pair

    def evaluate(self, record: ClaimRecord, claim: Claim) -> ClaimAnswer:
        """Return the answer to the try in `claim`, given the `record` of its key.

        An idempotent request whose gateway was lost is taken over by the try.
        """
        if record.phase is ClaimPhase.MOVED:
            return self.not_mine("this key has moved to another place")
        if record.fingerprint != claim.fingerprint:
            detail = "the key was used with another body or pipeline"
            return answer_for(record, ClaimState.MISMATCH, detail=detail)
        if record.phase is ClaimPhase.DONE:
            return answer_for(record, ClaimState.DONE)
        if is_same_try(record, claim) and record.phase is ClaimPhase.RUNNING:
            return answer_for(record, ClaimState.NEW)
        if not self._is_holder_lost(record):
            return answer_for(record, ClaimState.IN_PROGRESS)
        if not record.is_idempotent:
            detail = f"{record.gateway} was lost while it ran the request"
            return answer_for(record, ClaimState.UNKNOWN, detail=detail)
        self._take_over(record, claim)
        return answer_for(record, ClaimState.NEW)

    def _is_holder_lost(self, record: ClaimRecord) -> bool:
        if self._clock() > record.overdue_s:
            return True
        incarnation = self._incarnation_of(record.gateway)
        return incarnation is not None and incarnation != record.gateway_incarnation

    def _take_over(self, record: ClaimRecord, claim: Claim) -> None:
        record.request_id = claim.request_id
        record.gateway = claim.gateway
        record.gateway_incarnation = claim.gateway_incarnation
        record.overdue_s = self._clock() + claim.budget_ms / 1000

    def record_claim(self, claim: Claim, *, phase: ClaimPhase) -> ClaimRecord | None:
        """Record a claim on a new key; return None if the table is full."""
        record = record_of(claim, phase=phase)
        is_kept = self.table.add(record, budget_s=claim.budget_ms / 1000)
        return record if is_kept else None

    def not_mine(self, detail: str) -> ClaimAnswer:
        """Return the answer of a process that is not the home of the key."""
        return ClaimAnswer(
            state=ClaimState.NOT_MINE,
            hosts_revision=self.active_list.revision,
            detail=detail,
        )

    def unknown_outcome(self, detail: str) -> ClaimAnswer:
        """Return the answer when it is unknown whether an earlier try ran."""
        wait_s = max(MIN_RETRY_AFTER_S, self.time_to_complete_s())
        return ClaimAnswer(
            state=ClaimState.UNKNOWN, detail=detail, retry_after_ms=int(1000 * wait_s)
        )


def record_of(
    claim: Claim, *, phase: ClaimPhase, result: bytes | None = None
) -> ClaimRecord:
    """Return the record of a claim from a message."""
    return ClaimRecord(
        key=claim.key,
        request_id=claim.request_id,
        gateway=claim.gateway,
        gateway_incarnation=claim.gateway_incarnation,
        fingerprint=claim.fingerprint,
        is_idempotent=claim.idempotent,
        grant=claim.grant,
        phase=phase,
        result=result,
    )


def answer_for(record: ClaimRecord, state: int, *, detail: str = "") -> ClaimAnswer:
    """Return an answer with `state` and the data of `record`."""
    return ClaimAnswer(
        state=state,
        request_id=record.request_id,
        gateway=record.gateway,
        result=record.result or b"",
        has_result=record.result is not None,
        detail=detail,
    )


def is_same_try(record: ClaimRecord, claim: Claim) -> bool:
    """Return True if `claim` is from the same try as `record`."""
    return (
        record.request_id == claim.request_id
        and record.gateway == claim.gateway
        and record.gateway_incarnation == claim.gateway_incarnation
    )


def new_try_id(request_id: str) -> str:
    """Return a unique id for one try; a retry can carry the same request id."""
    return f"{request_id}{TRY_SEPARATOR}{secrets.token_hex(TRY_BYTES)}"


def request_id_of(try_id: str) -> str:
    """Return the request id that the id of a try contains."""
    return try_id.partition(TRY_SEPARATOR)[0]


def replicas_message(pair: tuple[Replica, ...]) -> Places:
    """Return the message for the replicas in `pair`."""
    return Places(
        process_ids=[replica.process_id for replica in pair],
        addresses=[replica.address for replica in pair],
    )


def replicas_of(message: Places) -> tuple[Replica, ...]:
    """Return the replicas in `message`, which carries no failure domains."""
    named = zip(message.process_ids, message.addresses, strict=False)
    return tuple(
        Replica(process_id=name, failure_domain="", address=address)
        for name, address in named
    )
