"""What was done in a soak and what its workers saw, for the checks."""

from dataclasses import dataclass, field
from typing import Final

from trefoilpaddle.standins.platform.worker import PlatformWorker

from .soak_actions import Action
from .soak_stalls import Stall

GRACE_S: Final = 6.0
"""From the order to stop to the kill.

The sixth of it in which a stream may be broken off is then longer than the second
that a gateway keeps to write its last answers.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """Something that was done, from when to when.

    Parameters
    ----------
    host : int or None
        The gateway that it was done to; None for all.
    """

    action: Action
    host: int | None
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """A planned stop, from the order until the process was gone.

    A mark begins earlier where another action has the gateway still.
    """

    host: int
    ordered_s: float
    ended_s: float


@dataclass(slots=True, kw_only=True)
class Record:
    """What checks need of a run."""

    workers: list[PlatformWorker]
    marks: list[Mark] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    orders: list[StopOrder] = field(default_factory=list)
    revoked_s: dict[str, float] = field(default_factory=dict)
    left_s: dict[str, float] = field(default_factory=dict)
    healed_s: float = 0.0
    problems: list[str] = field(default_factory=list)
