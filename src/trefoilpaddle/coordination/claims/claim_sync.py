"""Hands the claims that two places share to the one that has started anew.

Without it, replacing one host after the other would leave keys whose two places
were both replaced within a retry window, and nobody could vouch for them.
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
from ...state.claim_table import ClaimRecord, ClaimStage
from ...state.places import Place, PlaceList
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .claim_book import ClaimBook, record_of

MAX_PAGE_BYTES: Final = 512 * 1024
"""Size at which a page ends; the claim that exceeds it is still sent.

With the largest result it stays below ``MAX_FRAME_BYTES``.
"""

MAX_LISTS_BYTES: Final = 1024 * 1024
"""A place whose lists are larger, many changes in a large fleet, hands over none;
the other one then waits until it is old enough to vouch."""

PLACE_BYTES: Final = 100
"""Taken as the size of a place in a list."""

CLAIM_BYTES: Final = 512
"""Taken as the size of a claim besides its result."""

MAX_PAGES: Final = 1000
"""Pages taken from one place; bounds one that never comes to its end."""

SYNC_TIMEOUT_S: Final = 1.0
"""Longest wait for one page."""

RETRY_S: Final = 0.5
"""Pause before the places that have not handed over are asked again."""


class ClaimSyncs:
    """Asks other places for shared claims after a start, and answers them.

    Parameters
    ----------
    book : ClaimBook
        What this process knows.
    asker : PeerClient
        Reaches the other places.
    """

    __slots__ = ("_asker", "_book")

    def __init__(self, *, book: ClaimBook, asker: PeerClient) -> None:
        self._book = book
        self._asker = asker

    def mount(self, server: PeerServer) -> None:
        """Answer places that ask at `server`."""
        server.answer(ClaimSync, self.answer)

    async def run(self) -> None:
        """Learn from every place of the list, until nothing can be missing."""
        while not self._book.is_complete():
            await self.learn()
            await asyncio.sleep(RETRY_S)

    async def learn(self) -> None:
        """Ask each place that has not handed over yet, once."""
        for place in self._book.present.places:
            is_own = place.process_id == self._book.process_id
            if not is_own and place.process_id not in self._book.learned_from:
                await self._learn_from(place)

    async def _learn_from(self, place: Place) -> None:
        after_key, is_complete = "", True
        for _ in range(MAX_PAGES):
            question = ClaimSync(after_key=after_key)
            reply = await query_address(
                self._asker, place.address, question, timeout_s=SYNC_TIMEOUT_S
            )
            match reply:
                case Ok(SyncAnswer() as page):
                    pass
                case _:
                    return
            is_complete = is_complete and page.complete and self._keep(page.claims)
            for known in page.lists:
                self._book.history.learn(
                    _list_of(known), replaced_ago_s=known.replaced_ago_ms / MS_PER_S
                )
            if not page.more or not page.claims:
                if is_complete:
                    self._book.learned_from.add(place.process_id)
                return
            last = page.claims[-1].claim
            after_key = last.key if last is not None else ""

    def _keep(self, claims: list[KnownClaim]) -> bool:
        """Record what is not known here; return False if there is no room."""
        for known in claims:
            claim = known.claim
            if claim is None or self._book.table.get(claim.key) is not None:
                continue
            is_kept = self._book.table.copy_in(
                record_of(
                    claim,
                    stage=_stage_of(known),
                    result=known.result if known.has_result else None,
                ),
                overdue_in_s=known.overdue_in_ms / MS_PER_S,
                expires_in_s=known.expires_in_ms / MS_PER_S,
            )
            if not is_kept:
                return False
        return True

    async def answer(self, sync: ClaimSync, peer: Hello) -> SyncAnswer:
        """Return a page of the claims on keys that `peer` decides too."""
        answer = SyncAnswer(
            claims=[], complete=self._book.vouches_with(peer.process_id)
        )
        n_bytes = 0
        if not sync.after_key:
            answer.lists = [_known_list(a, p) for a, p in self._book.history.dated()]
            n_bytes = PLACE_BYTES * sum(len(k.process_ids) for k in answer.lists)
        if n_bytes > MAX_LISTS_BYTES:
            return SyncAnswer(complete=False)
        for record in self._shared(sync.after_key, peer.process_id):
            if n_bytes > MAX_PAGE_BYTES:
                answer.more = True
                break
            answer.claims.append(_known(record, now_s=self._book.now_s()))
            n_bytes += CLAIM_BYTES + len(record.result or b"")
        return answer

    def _shared(self, after_key: str, partner: str) -> Iterator[ClaimRecord]:
        for record in self._book.table.after(after_key):
            pairs = self._book.other_pairs(record.key, revision=0)
            if any(partner == place.process_id for pair in pairs for place in pair):
                yield record


def _known(record: ClaimRecord, *, now_s: float) -> KnownClaim:
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
        done=record.stage is ClaimStage.DONE,
        moved=record.stage is ClaimStage.MOVED,
        result=record.result or b"",
        has_result=record.result is not None,
        overdue_in_ms=int(MS_PER_S * max(0.0, record.overdue_s - now_s)),
        expires_in_ms=int(MS_PER_S * max(0.0, record.expires_s - now_s)),
    )


def _stage_of(known: KnownClaim) -> ClaimStage:
    if known.moved:
        return ClaimStage.MOVED
    return ClaimStage.DONE if known.done else ClaimStage.RUNNING


def _known_list(replaced_ago_s: float, places: PlaceList) -> KnownList:
    return KnownList(
        hosts_revision=places.revision,
        process_ids=[place.process_id for place in places.places],
        addresses=[place.address for place in places.places],
        failure_domains=[place.failure_domain for place in places.places],
        replaced_ago_ms=int(MS_PER_S * replaced_ago_s),
    )


def _list_of(known: KnownList) -> PlaceList:
    columns = zip(
        known.process_ids, known.addresses, known.failure_domains, strict=False
    )
    return PlaceList(
        revision=known.hosts_revision,
        places=tuple(
            Place(process_id=name, address=address, failure_domain=domain)
            for name, address, domain in columns
        ),
    )
