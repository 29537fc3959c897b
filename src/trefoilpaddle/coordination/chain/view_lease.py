"""How far this gateway's list of workers can be relied on."""

from collections.abc import Callable, Collection

from ...state.members import MemberRecord, MemberState
from ..published.view_age import ViewAge


class ViewLease:
    """How old the list is, and with how many known gateways this one is in touch.

    Parameters
    ----------
    age : ViewAge
        How old the list may be.
    members : callable
        Returns the records of all known gateways, this one included.
    """

    __slots__ = ("_age", "_members")

    def __init__(
        self, *, age: ViewAge, members: Callable[[], Collection[MemberRecord]]
    ) -> None:
        self._age = age
        self._members = members

    @property
    def age_s(self) -> float:
        """Seconds since the list was known to be the store's; infinite before that."""
        return self._age.age_s

    def describe(self) -> str:
        """Return the age of the list and the gateways in touch, for the log."""
        states = [record.state for record in self._members()]
        n_known = sum(state is not MemberState.LEAVING for state in states)
        n_live = sum(state is MemberState.LIVE for state in states)
        age = f"{self._age.age_s:.1f} s ago" if self._age.is_known else "never"
        return f"list confirmed {age}, {n_live} of {n_known} gateways live"
