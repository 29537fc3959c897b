"""Failure domains whose workers must receive nothing, by order of operators."""

import time
from collections.abc import Iterable

from ...state.chain.workers import WorkerTable
from .published_store import StoreChanges
from .store_journal import StoreJournal
from .store_position import StorePosition


class Evacuations:
    """The evacuated failure domains, as known up to a position of the store.

    There are few, so messages between gateways contain all of them: a gateway that has
    missed earlier messages needs only the latest one.

    Parameters
    ----------
    workers : WorkerTable
        Excludes the workers of evacuated failure domains.
    store_journal : StoreJournal
        Records orders and their ends.

    Attributes
    ----------
    position : StorePosition
        Position up to which the orders are known.
    """

    __slots__ = ("_known_s", "_store_journal", "_workers", "position")

    def __init__(self, *, workers: WorkerTable, store_journal: StoreJournal) -> None:
        self._workers = workers
        self._store_journal = store_journal
        self._known_s = time.monotonic()
        self.position = StorePosition()

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self._workers.evacuated

    def apply_list(self, changes: StoreChanges) -> None:
        """Apply a complete list.

        In the first list of an era, orders that were known before stand as well: the
        backup may be from before they were written.
        """
        is_first_of_era = changes.position.era > self.position.era
        kept = self.domains if is_first_of_era else frozenset()
        self.apply_all(changes.evacuated | kept, changes.position)

    def apply_changes(self, changes: StoreChanges) -> None:
        """Apply what has changed since a position that was known here."""
        domains = (self.domains - changes.returned) | changes.evacuated
        self.apply_all(domains, changes.position)

    def apply_all(self, domains: Iterable[str], position: StorePosition) -> None:
        """Replace all orders, unless later ones are known."""
        if position < self.position:
            return
        now_s = time.monotonic()
        known, self.position = self.domains, position
        ordered = frozenset(domains)
        for domain in sorted(known ^ ordered):
            self._store_journal.record_evacuation(
                domain, is_ordered=domain in ordered, age_s=now_s - self._known_s
            )
        self._known_s = now_s
        if ordered != known:
            self._workers.evacuate(ordered)
