"""A moment in what the store has published."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class StorePosition:
    """A revision of the store, within the era that gave it out.

    A store that comes back from a copy begins another era, in which revisions go
    back and are given out again. Positions compare as a whole.

    Parameters
    ----------
    era : int
        Rises each time the store comes back from a copy.
    revision : int
        Rises with each change within an era; 0 if nothing of the era is known.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"

    @property
    def is_known(self) -> bool:
        """True if it says up to where the changes of its era are known."""
        return self.revision > 0
