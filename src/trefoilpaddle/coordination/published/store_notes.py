"""Journal lines on what a gateway knows of the store."""

from ...protocol.reasons import Reason
from ...state.chain.workers import Worker
from ...state.journal import Decision, Event, Figure, Journal
from .published_store import UnreadableEntry


class StoreNotes:
    """Writes these lines, each with how far this gateway's view has got.

    Parameters
    ----------
    journal : Journal
        Takes the lines.

    Attributes
    ----------
    version : int
        Of the route table in force; 0 before the first.
    revision : int
        Of the store, up to which its changes are known; 0 if a list is needed.
    """

    __slots__ = ("_journal", "revision", "version")

    def __init__(self, *, journal: Journal) -> None:
        self._journal = journal
        self.version = 0
        self.revision = 0

    def table_in_force(self) -> None:
        """Note that another route table is in force."""
        self._note(Event.CONFIG_IN_FORCE)

    def listed(self, reason: str) -> None:
        """Note that the whole store is asked for."""
        self._note(Event.STORE_LISTED, detail=reason)

    def source(self, event: Event, detail: str, *, age_s: float) -> None:
        """Note that the store is gone or back, and how old the view is."""
        age = Figure(name="age_s", value=age_s)
        self._note(event, detail=detail, figures=(self._at_revision(), age))

    def unreadable(self, entry: UnreadableEntry) -> None:
        """Note an entry that names no worker to use."""
        self._note(
            Event.ENTRY_UNREADABLE,
            peer=entry.worker_id,
            detail=entry.problem,
            figures=(self._at_revision(),),
        )

    def worker(
        self, event: Event, worker_id: str, known: Worker | None, *, is_leaving: bool
    ) -> None:
        """Note that a worker came, changed or went."""
        self._note(
            event,
            peer=worker_id,
            stage="" if known is None else known.service,
            reason=Reason.LEAVING if is_leaving else Reason.NONE,
            figures=(self._at_revision(),),
        )

    def _at_revision(self) -> Figure:
        return Figure(name="store_revision", value=self.revision)

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
