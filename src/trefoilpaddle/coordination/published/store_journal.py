"""Journal lines on what a gateway knows of the store."""

from collections.abc import Sequence
from typing import Final

from ...protocol.reasons import Reason
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal
from .published_store import UnreadableEntry
from .store_position import StorePosition

N_NAMED: Final = 8
"""Workers that one line names."""


class StoreJournal:
    """Writes these lines, each with how far this gateway's view has got.

    Parameters
    ----------
    journal : Journal
        Takes the lines.

    Attributes
    ----------
    version : int
        Of the route table in force; 0 before the first.
    position : StorePosition
        Up to which the store's changes are known; revision 0 if a list is needed.
    """

    __slots__ = ("_journal", "position", "version")

    def __init__(self, *, journal: Journal) -> None:
        self._journal = journal
        self.version = 0
        self.position = StorePosition()

    def record_active_table(self) -> None:
        """Note that another route table is in force."""
        self._note(Event.CONFIG_IN_FORCE)

    def record_list_request(self, reason: str) -> None:
        """Note that the whole store is asked for."""
        self._note(Event.STORE_LISTED, detail=reason)

    def record_source_change(self, event: Event, detail: str, *, age_s: float) -> None:
        """Note that the store is gone or back, and how old the view is."""
        age = Figure(name="age_s", value=age_s)
        self._note(event, detail=detail, figures=(*self._at_position(), age))

    def record_unreadable(self, entry: UnreadableEntry) -> None:
        """Note an entry that names no worker to use."""
        self._note(
            Event.ENTRY_UNREADABLE,
            peer=entry.worker_id,
            detail=entry.problem,
            figures=self._at_position(),
        )

    def record_worker_change(
        self, event: Event, worker_id: str, known: Worker | None, *, is_leaving: bool
    ) -> None:
        """Note that a worker came, changed or went."""
        self._note(
            event,
            peer=worker_id,
            stage="" if known is None else known.service,
            reason=Reason.LEAVING if is_leaving else Reason.NONE,
            figures=self._at_position(),
        )

    def record_recovery(
        self,
        earlier: StorePosition,
        *,
        n_kept: int,
        doubted: Sequence[str],
        for_s: float,
    ) -> None:
        """Note that the store came back from a copy, and what is held against it.

        Parameters
        ----------
        earlier : StorePosition
            Up to which its changes were known before.
        n_kept : int
            Workers that the copy does not list.
        doubted : sequence of str
            Workers whose entries in the copy are ignored until they write again.
        for_s : float
            How long the former stay in use, unless they are listed again.
        """
        named = ", ".join(doubted[:N_NAMED]) or "none"
        self._note(
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

    def _note(
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
