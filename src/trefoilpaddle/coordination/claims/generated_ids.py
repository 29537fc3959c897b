"""Request ids that this gateway generates and decides about itself.

An id names the gateway and its incarnation, so every other gateway sends the claim
of a retry here. The table keeps each id from its generation. An id that is not in
it was used and has expired, or is not an id of this incarnation.
"""

import time
from collections.abc import Callable
from typing import Final

from ...protocol.gen.claims.ttypes import (
    Claim,
    ClaimAnswer,
    Settle,
    SettleAnswer,
)
from ...protocol.gen.stage.ttypes import Hello
from ...protocol.ids import RequestId
from ...state.claim_table import ClaimPhase
from ...transport.server import PeerServer
from .claim_registry import ClaimRegistry

UNUSED_ID_TTL_S: Final = 300.0
"""How long an unused id stays valid."""

MAX_UNUSED_IDS: Final = 100_000
"""Most unused ids that are kept; beyond it the oldest one becomes invalid."""


class GeneratedIdClaims:
    """Generates request ids and decides about claims on them.

    Parameters
    ----------
    registry : ClaimRegistry
        Claims known to this gateway.
    process_id : str
        Id of this gateway.
    incarnation : int
        Incarnation of this gateway.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = ("_clock", "_incarnation", "_process_id", "_registry", "_unused")

    def __init__(
        self,
        *,
        registry: ClaimRegistry,
        process_id: str,
        incarnation: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._registry = registry
        self._process_id = process_id
        self._incarnation = incarnation
        self._clock = clock
        self._unused: dict[str, float] = {}

    def mount(self, server: PeerServer) -> None:
        """Answer claims on generated ids and their settlements at `server`."""
        server.add_handler(Claim, self.answer_claim)
        server.add_handler(Settle, self.answer_settle)

    def generate(self) -> RequestId:
        """Return a new id.

        Beyond ``MAX_UNUSED_IDS`` ids, the oldest unused one becomes invalid.
        """
        self._drop_expired()
        generated = RequestId.generate(
            process_id=self._process_id, incarnation=self._incarnation
        )
        self._unused[str(generated)] = self._clock() + UNUSED_ID_TTL_S
        return generated

    def _drop_expired(self) -> None:
        while self._unused:
            oldest = next(iter(self._unused))
            is_expired = self._unused[oldest] < self._clock()
            if not is_expired and len(self._unused) < MAX_UNUSED_IDS:
                return
            del self._unused[oldest]

    async def answer_claim(self, claim: Claim, _peer: Hello) -> ClaimAnswer:
        """Return whether the try that `claim` describes may run."""
        if claim.home_incarnation != self._incarnation:
            return self._registry.unknown_outcome(
                "the gateway that made this id has restarted"
            )
        record = self._registry.table.get(claim.key)
        if record is not None:
            return self._registry.evaluate(record, claim)
        self._drop_expired()
        if claim.key not in self._unused:
            return self._registry.unknown_outcome(
                "this id was used before, or is too old"
            )
        record = self._registry.record_claim(claim, phase=ClaimPhase.RUNNING)
        if record is None:
            return self._registry.unknown_outcome("this gateway keeps no more ids")
        del self._unused[claim.key]
        return self._registry.evaluate(record, claim)

    async def answer_settle(self, settle: Settle, _peer: Hello) -> SettleAnswer:
        """Record the outcome of a request."""
        record = self._registry.table.get(settle.key)
        if record is None or record.request_id != settle.request_id:
            return SettleAnswer(known=False)
        if settle.run:
            result = settle.result if settle.has_result else None
            self._registry.table.finish(record, result=result)
        elif record.phase is ClaimPhase.RUNNING:
            self._registry.table.remove(settle.key)
            self._unused[settle.key] = self._clock() + UNUSED_ID_TTL_S
        return SettleAnswer(known=True)
