"""A position in the sequence of changes of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class StorePosition:
    """A revision of the store within an era.

    A store that is restored from a backup begins another era. Its revision falls back
    then, and the same revision numbers are used again. Positions are ordered by era
    first.

    Parameters
    ----------
    era : int
        Rises each time the store is restored from a backup.
    revision : int
        Rises with each change within an era; 0 if nothing in the era is known.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"

    @property
    def is_known(self) -> bool:
        """True if the changes of the era are known up to a revision."""
        return self.revision > 0
