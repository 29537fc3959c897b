"""How many calls the target is given at once."""

from typing import Protocol


class SlotLimit(Protocol):
    """Says how many calls may run, and learns from each that ended."""

    @property
    def n_slots(self) -> int:
        """Calls that may run at once."""
        ...

    def set_base(self, n_slots: int) -> None:
        """Take the number that the catalogue names."""
        ...

    def note(self, *, service_s: float, predicted_s: float, n_running: int) -> bool:
        """Learn from one ended call; return True if the limit changed."""
        ...


class FixedSlots:
    """The number that the catalogue names, whatever happens."""

    __slots__ = ("n_slots",)

    def __init__(self, *, n_slots: int) -> None:
        self.n_slots = n_slots

    def set_base(self, n_slots: int) -> None:
        """Take the number that the catalogue names."""
        self.n_slots = n_slots

    def note(self, *, service_s: float, predicted_s: float, n_running: int) -> bool:
        """Learn nothing."""
        return False
