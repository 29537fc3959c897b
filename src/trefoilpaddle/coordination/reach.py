"""Whether the gateways that will send work here have found this sidecar."""

import time
from typing import Final

from ..state.members import MemberState
from .membership import Membership
from .own_process import OwnProcess
from .subset import N_SUBSET

REACH_WAIT_S: Final = 3.0
"""After so long ready all the same; a gateway may be cut off from here."""


class Reach:
    """Watches which gateways have opened a link to this sidecar.

    A rolling replacement stops the next sidecar when this one says ready. Were
    it to say so before the gateways have linked to it, a request whose first
    stages have run could find no target for the next and be lost.

    Parameters
    ----------
    process : OwnProcess
        The sidecar.
    membership : Membership
        Knows gateways and other sidecars.
    """

    __slots__ = ("_from_s", "_is_reached", "_membership", "_process")

    def __init__(self, *, process: OwnProcess, membership: Membership) -> None:
        self._process = process
        self._membership = membership
        self._is_reached = False
        self._from_s: float | None = None

    def is_reached(self) -> bool:
        """Return True once enough gateways have linked, or after a while."""
        if self._is_reached:
            return True
        if self._from_s is None:
            self._from_s = time.monotonic()
        waited_s = time.monotonic() - self._from_s
        self._is_reached = waited_s > REACH_WAIT_S or self._has_enough()
        return self._is_reached

    def _has_enough(self) -> bool:
        linked = {
            connection.peer.process_id
            for connection in self._process.server.connections
        }
        gateways = {
            record.process_id
            for record in self._membership.live()
            if record.role == "gateway"
        }
        if self._is_in_every_subset():
            return gateways <= linked
        return bool(gateways & linked) or not gateways

    def _is_in_every_subset(self) -> bool:
        service = self._process.identity.service
        n_targets = sum(
            record.role == "sidecar" and record.service == service
            for record in self._membership.table.records.values()
            if record.state is not MemberState.DEAD
        )
        return n_targets <= N_SUBSET
