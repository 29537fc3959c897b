"""Records a sidecar's decisions about attempts in its journal."""

from ...protocol.errors import Failed, StageError
from ...protocol.gen.stage.ttypes import Start
from ...protocol.reasons import Reason
from ...state.journal import Decision, Event, Figure, Journal
from ..requests.attempts import Attempt


class StageJournal:
    """Records decisions with the fields that all decisions about attempts have.

    Parameters
    ----------
    journal : Journal
        Receives the decisions.
    target : str
        The target's name.
    """

    __slots__ = ("_journal", "_target")

    def __init__(self, *, journal: Journal, target: str) -> None:
        self._journal = journal
        self._target = target

    def record(self, event: Event, attempt: Attempt, **figures: float) -> None:
        """Record a decision with the figures that it was based on."""
        self._record(event, attempt.start, figures=figures)

    def record_error(self, event: Event, attempt: Attempt, error: StageError) -> None:
        """Record the error with which an attempt ended."""
        self.record_refusal(event, attempt.start, error)

    def record_refusal(self, event: Event, start: Start, error: StageError) -> None:
        """Record why the attempt of a start message got no answer."""
        figures = {"retry_after_s": error.retry_after_s}
        if isinstance(error, Failed):
            figures["cost_s"] = error.cost_s
        self._record(
            event, start, reason=error.reason, detail=error.detail, figures=figures
        )

    def record_expired(self, attempt: Attempt) -> None:
        """Record that a held answer was dropped before it was acknowledged."""
        self._record(
            Event.RESULT_EXPIRED,
            attempt.start,
            reason=Reason.RESULT_GONE,
            detail="no gateway acknowledged the answer in time",
            figures={"n_bytes": attempt.stream.answer.n_bytes},
        )

    def record_target_state(self, *, is_up: bool) -> None:
        """Record that the target answers, or has stopped answering."""
        event = Event.TARGET_UP if is_up else Event.TARGET_DOWN
        self._journal.record(Decision(event=event, peer=self._target))

    def record_slots(self, *, n_before: int, n_slots: int) -> None:
        """Record that the number of calls that may run at once has changed."""
        self._journal.record(
            Decision(
                event=Event.CONCURRENCY_CHANGED,
                peer=self._target,
                figures=(
                    Figure(name="n_before", value=n_before),
                    Figure(name="n_slots", value=n_slots),
                ),
            )
        )

    def _record(
        self,
        event: Event,
        start: Start,
        *,
        figures: dict[str, float],
        reason: Reason = Reason.NONE,
        detail: str = "",
    ) -> None:
        self._journal.record(
            Decision(
                event=event,
                request_id=start.request_id,
                attempt_id=start.attempt_id.hex(),
                entry=start.entry,
                owner=start.owner,
                config_revision=start.config_revision,
                stage=start.stage,
                peer=self._target,
                reason=reason,
                detail=detail,
                figures=tuple(
                    Figure(name=name, value=value) for name, value in figures.items()
                ),
            )
        )
