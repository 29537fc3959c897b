"""Whether a sidecar accepts new work, and further state for its load report."""

from ...protocol.reasons import Reason


class Intake:
    """State for which a sidecar refuses all new work, regardless of its queue.

    It also has the state of the load report that the dispatcher does not measure.
    """

    __slots__ = (
        "is_configured",
        "is_leaving",
        "is_target_up",
        "reported_age_ms",
        "reports_load",
        "revision",
    )

    def __init__(self) -> None:
        self.is_configured = True
        self.is_leaving = False
        self.is_target_up = True
        self.reported_age_ms = -1
        self.reports_load = False
        self.revision = 0

    def refusal(self) -> Reason:
        """Return why all new work is refused, or ``Reason.NONE``."""
        if self.is_leaving:
            return Reason.LEAVING
        if not self.is_configured:
            return Reason.NO_CONFIGURATION
        if not self.is_target_up:
            return Reason.TARGET_DOWN
        return Reason.NONE
