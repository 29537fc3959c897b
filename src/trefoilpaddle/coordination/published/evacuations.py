"""Failure domains whose workers must receive nothing, by order of operators."""

import time
from collections.abc import Iterable, Sequence
from typing import Final

from absl import logging

from ...state.chain.workers import Worker, WorkerTable
from .published_store import StoreChanges
from .store_journal import StoreJournal
from .store_position import StorePosition

MAX_DOMAINS: Final = 256
"""Most evacuated failure domains; each update to other gateways names all of them."""

MAX_NAME_CHARS: Final = 256
"""Longest name of a failure domain."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on orders that are ignored."""


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
        self.apply_all(changes.evacuated | kept, changes.position, changes.workers)

    def apply_changes(self, changes: StoreChanges) -> None:
        """Apply what has changed since a position that was known here."""
        domains = (self.domains - changes.returned) | changes.evacuated
        self.apply_all(domains, changes.position, changes.workers)

    def apply_all(
        self,
        domains: Iterable[str],
        position: StorePosition,
        listed: Sequence[Worker] = (),
    ) -> None:
        """Replace all orders, unless later ones are known.

        Parameters
        ----------
        domains : iterable of str
            The failure domains whose evacuation is ordered.
        position : StorePosition
            Position up to which these orders are known.
        listed : sequence of Worker
            Workers that are listed together with the orders.
        """
        if position < self.position:
            return
        now_s = time.monotonic()
        known, self.position = self.domains, position
        ordered = self._bounded(frozenset(domains), listed)
        for domain in sorted(known ^ ordered):
            self._store_journal.record_evacuation(
                domain, is_ordered=domain in ordered, age_s=now_s - self._known_s
            )
        self._known_s = now_s
        if ordered != known:
            self._workers.evacuate(ordered)

    def _bounded(
        self, domains: frozenset[str], listed: Sequence[Worker]
    ) -> frozenset[str]:
        """Return the orders that are kept, those that concern listed workers first."""
        usable = {domain for domain in domains if len(domain) <= MAX_NAME_CHARS}
        if len(usable) > MAX_DOMAINS:
            known = (*self._workers.all(), *listed)
            used = {worker.failure_domain for worker in known}
            ranked = sorted(usable, key=lambda domain: (domain not in used, domain))
            usable = set(ranked[:MAX_DOMAINS])
        if len(usable) < len(domains):
            logging.log_every_n_seconds(
                logging.WARNING,
                "ignored %d of %d orders to evacuate a failure domain",
                LOG_PERIOD_S,
                len(domains) - len(usable),
                len(domains),
            )
        return frozenset(usable)
