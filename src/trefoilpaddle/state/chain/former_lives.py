"""For how long streams could be resumed that began under an earlier route table."""

import time
from dataclasses import dataclass
from typing import Final

APPLY_LAG_S: Final = 10.0
"""Time for which another gateway may use a table that this one has replaced."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FormerLife:
    """A life of streams that a later table has shortened.

    Parameters
    ----------
    life_s : float
        Seconds for which a stream could be resumed.
    until_s : float
        Monotonic time at which the last of these streams ends.
    """

    life_s: float
    until_s: float


class FormerLives:
    """The lives of streams that may go on although a later table shortened them."""

    __slots__ = ("_lives",)

    def __init__(self) -> None:
        self._lives: dict[str, list[FormerLife]] = {}

    def learn(self, service: str, life_s: float) -> None:
        """Learn that streams of a service began until now with a longer life."""
        now_s = time.monotonic()
        life = FormerLife(life_s=life_s, until_s=now_s + life_s + APPLY_LAG_S)
        # A life that is no longer than this one ends no later.
        longer = [each for each in self._lives.get(service, ()) if each.life_s > life_s]
        self._lives[service] = [*(e for e in longer if e.until_s > now_s), life]

    def longest_s(self, service: str) -> float:
        """Return the longest such life of a service in seconds; 0 if there is none."""
        now_s = time.monotonic()
        lives = self._lives.get(service, ())
        return max((e.life_s for e in lives if e.until_s > now_s), default=0.0)
