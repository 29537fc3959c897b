"""Selection of the few processes that read the platform."""

import random
import time
from typing import Final

from ...state.journal import Decision, Event, Journal
from ...state.rendezvous import highest
from ..members.membership import Membership
from .config_state import ConfigState

READER_KEY: Final = "config reader"

FALLBACK_READ_AFTER_S: Final = 30.0
"""Time without a known read after which processes other than the readers read."""

FALLBACK_READ_PERIOD_S: Final = 45.0
"""Mean time between two such fallback reads of one process."""


class ReaderSelection:
    """Selects the readers of the own failure domain from the members known here.

    The members known to two processes differ for short times. This costs a few
    additional reads, or leaves a domain without a reader for a short time, in
    which it receives changes from other domains.

    Parameters
    ----------
    membership : Membership
        Provides the live members.
    state : ConfigState
        Provides the time of the last known read of the service.
    n_readers : int
        Readers per failure domain.
    journal : Journal
        Records when this process becomes a reader or ceases to be one.
    """

    __slots__ = (
        "_is_reader",
        "_journal",
        "_membership",
        "_n_readers",
        "_next_fallback_s",
        "_state",
        "_version",
    )

    def __init__(
        self,
        *,
        membership: Membership,
        state: ConfigState,
        n_readers: int,
        journal: Journal,
    ) -> None:
        self._membership = membership
        self._state = state
        self._n_readers = n_readers
        self._journal = journal
        self._is_reader = False
        self._version = -1
        self._next_fallback_s = time.monotonic() + _fallback_delay_s()

    def is_reader(self) -> bool:
        """Return True if this process is one of the readers of its domain."""
        if self._membership.table.version != self._version:
            self._version = self._membership.table.version
            self._choose()
        return self._is_reader

    def should_read(self) -> bool:
        """Return True if this process should read now."""
        return self.is_reader() or self._is_fallback_due()

    def _choose(self) -> None:
        own = self._membership.own
        candidates = [
            record.process_id
            for record in self._membership.live()
            if record.failure_domain == own.failure_domain
        ]
        readers = highest(READER_KEY, candidates, n=self._n_readers)
        is_reader = own.process_id in readers
        if is_reader == self._is_reader:
            return
        self._is_reader = is_reader
        self._journal.record(
            Decision(
                event=Event.READER_CHANGED,
                config_revision=self._state.items.revision,
                peer=own.process_id,
                detail="reads the platform" if is_reader else "hears from peers",
            )
        )

    def _is_fallback_due(self) -> bool:
        """Return True at random intervals while no read of the service is known.

        The fallback applies if all readers are disconnected from the service while
        other processes are not. It is rare enough that a service which is
        unavailable to all is not called by the whole fleet at once.
        """
        age_s = self._state.read_age_s()
        if age_s is not None and age_s < FALLBACK_READ_AFTER_S:
            return False
        now_s = time.monotonic()
        if now_s < self._next_fallback_s:
            return False
        self._next_fallback_s = now_s + _fallback_delay_s()
        return True


def _fallback_delay_s() -> float:
    return FALLBACK_READ_PERIOD_S * random.uniform(0.5, 1.5)
