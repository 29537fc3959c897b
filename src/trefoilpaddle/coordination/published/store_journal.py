"""Journal records about a gateway's view of the store."""

import time
from collections.abc import Sequence
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.routes import CallerLimits
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal
from .published_store import UnreadableEntry
from .store_position import StorePosition

N_NAMED: Final = 8
"""Largest number of workers named in one record."""


class StoreJournal:
    """Writes journal records, each with the position of this gateway's view.

    Parameters
    ----------
    journal : Journal
        Receives the records.

    Attributes
    ----------
    version : int
        Version of the active route table; 0 before the first.
    position : StorePosition
        Position up to which the store's changes are known; revision 0 if the complete
        list is needed.
    """

    __slots__ = ("_journal", "position", "version")

    def __init__(self, *, journal: Journal) -> None:
        self._journal = journal
        self.version = 0
        self.position = StorePosition()

    def record_active_table(
        self, *, source: str, n_bytes: int, limits: CallerLimits
    ) -> None:
        """Record that another route table is active.

        Parameters
        ----------
        source : str
            Where the table came from.
        n_bytes : int
            Size of the published table.
        limits : CallerLimits
            Its limits on what callers may send.
        """
        figures = (
            Figure(name="table_bytes", value=n_bytes),
            Figure(name="max_header_bytes", value=limits.max_header_bytes),
            Figure(name="max_body_bytes", value=limits.max_body_bytes),
            Figure(name="header_timeout_s", value=limits.header_timeout_s),
            Figure(name="idle_timeout_s", value=limits.idle_timeout_s),
        )
        self._record(Event.CONFIG_IN_FORCE, detail=source, figures=figures)

    def record_named_table(self, version: int, *, source: str) -> None:
        """Record that a peer names a newer route table than the active one.

        Parameters
        ----------
        version : int
            The version that the peer names.
        source : str
            In which message the peer names it.
        """
        named = Figure(name="named_version", value=version)
        self._record(
            Event.CONFIG_NAMED, detail=source, figures=(*self._at_position(), named)
        )

    def record_list_request(self, reason: str) -> None:
        """Record that the complete list is requested from the store."""
        self._record(Event.STORE_LISTED, detail=reason)

    def record_source_change(self, event: Event, detail: str, *, age_s: float) -> None:
        """Record that the store became unavailable or recovered.

        Parameters
        ----------
        event : Event
            Which of the two happened.
        detail : str
            Why the store is unavailable; empty after a recovery.
        age_s : float
            Age of this gateway's view in seconds.
        """
        age = Figure(name="age_s", value=age_s)
        self._record(event, detail=detail, figures=(*self._at_position(), age))

    def record_unreadable(self, entry: UnreadableEntry) -> None:
        """Record an entry that does not describe a usable worker."""
        self._record(
            Event.ENTRY_UNREADABLE,
            peer=entry.worker_id,
            detail=entry.problem,
            figures=self._at_position(),
        )

    def record_evacuation(self, domain: str, *, is_ordered: bool, age_s: float) -> None:
        """Record that an order to evacuate a failure domain is in force, or has ended.

        Parameters
        ----------
        domain : str
            The failure domain.
        is_ordered : bool
            True if the order is in force; False if it was removed.
        age_s : float
            Seconds since the orders were last known; the change is not older.
        """
        event = Event.DOMAIN_EVACUATED if is_ordered else Event.DOMAIN_RETURNED
        age = Figure(name="age_s", value=age_s)
        self._record(event, detail=domain, figures=(*self._at_position(), age))

    def record_worker_change(
        self, event: Event, worker_id: str, known: Worker | None, *, is_leaving: bool
    ) -> None:
        """Record that a worker was added, changed or removed."""
        self._record(
            event,
            peer=worker_id,
            stage="" if known is None else known.service,
            reason=Reason.LEAVING if is_leaving else Reason.NONE,
            detail="" if known is None else known.software_version,
            figures=(*self._at_position(), *_cold_figures(known)),
        )

    def record_outage_end(self, *, source: str, kept_s: float) -> None:
        """Record that the store is said to answer again after an outage.

        Parameters
        ----------
        source : str
            How that is known.
        kept_s : float
            Seconds for which removed workers stay in use; 0 if the store answered
            others all along.
        """
        kept = Figure(name="kept_s", value=kept_s)
        figures = (*self._at_position(), kept)
        self._record(Event.STORE_OUTAGE_OVER, detail=source, figures=figures)

    def record_recovery(
        self,
        earlier: StorePosition,
        *,
        n_kept: int,
        doubted: Sequence[str],
        for_s: float,
    ) -> None:
        """Record that the store was restored from a backup, and what is ignored of it.

        Parameters
        ----------
        earlier : StorePosition
            Position up to which the store's changes were known before.
        n_kept : int
            Number of known workers that the backup does not list.
        doubted : sequence of str
            Workers whose entries in the backup are ignored until they write again.
        for_s : float
            Time in seconds for which the workers that are not listed stay in use.
        """
        named = ", ".join(doubted[:N_NAMED]) or "none"
        self._record(
            Event.STORE_RETURNED,
            detail=(
                f"{earlier} to {self.position}; ignored until written again: {named}"
            ),
            figures=(
                Figure(name="n_kept", value=n_kept),
                Figure(name="kept_s", value=for_s),
                Figure(name="n_doubted", value=len(doubted)),
            ),
        )

    def _at_position(self) -> tuple[Figure, ...]:
        return (
            Figure(name="store_era", value=self.position.era),
            Figure(name="store_revision", value=self.position.revision),
        )

    def _record(
        self,
        event: Event,
        *,
        peer: str = "",
        stage: str = "",
        reason: Reason = Reason.NONE,
        detail: str = "",
        figures: tuple[Figure, ...] = (),
    ) -> None:
        self._journal.record(
            Decision(
                event=event,
                config_revision=self.version,
                peer=peer,
                stage=stage,
                reason=reason,
                detail=detail,
                figures=figures,
            )
        )


def _cold_figures(worker: Worker | None) -> tuple[Figure, ...]:
    """Return how long a worker stays cold, in seconds; nothing if it is warm."""
    left_s = 0.0 if worker is None else worker.cold_until_s - time.monotonic()
    return (Figure(name="cold_s", value=left_s),) if left_s > 0.0 else ()
