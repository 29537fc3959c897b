"""Actions of a soak test and observations of its workers, for the checks."""

from dataclasses import dataclass, field
from typing import Final

from trefoilpaddle.standins.platform.worker import PlatformWorker

from .soak_actions import Action
from .soak_stalls import Stall

VERSIONS = ("v1", "v2")
"""Software versions of workers, in turn."""

GRACE_S: Final = 6.0
"""Time from the order to stop to the kill.

Streams may be interrupted in the last sixth of it. With this value that is not
shorter than the second that a gateway reserves to write its last answers.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ActionInterval:
    """The period in which an action was applied.

    Parameters
    ----------
    host : int or None
        Index of the affected gateway; None if all may be affected.
    worker_id : str
        The worker that states a need; empty for other actions.
    """

    action: Action
    host: int | None
    began_s: float
    ended_s: float
    worker_id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """A planned stop, from the order until the process has exited.

    The action interval of the stop starts earlier if the order had to wait for another
    action on the same gateway.
    """

    host: int
    ordered_s: float
    ended_s: float


@dataclass(slots=True, kw_only=True)
class Record:
    """Data of a run that the checks use."""

    workers: list[PlatformWorker]
    intervals: list[ActionInterval] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    orders: list[StopOrder] = field(default_factory=list)
    revoked_s: dict[str, float] = field(default_factory=dict)
    listed_s: dict[str, float] = field(default_factory=dict)
    left_s: dict[str, float] = field(default_factory=dict)
    left_by_word_s: dict[str, float] = field(default_factory=dict)
    part_crashed_s: list[float] = field(default_factory=list)
    healed_s: float = 0.0
    problems: list[str] = field(default_factory=list)
