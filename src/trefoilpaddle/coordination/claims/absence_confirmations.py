"""Places that vouch for a key: they hold no claim on it and cannot lack one."""

from ...protocol.gen.claims.ttypes import CopyAnswer
from ...state.places import Place
from .claim_registry import ClaimRegistry


class AbsenceConfirmations:
    """What the places asked about one key can vouch for."""

    __slots__ = ("_complete", "_learned")

    def __init__(self) -> None:
        self._complete: set[str] = set()
        self._learned: dict[str, frozenset[str]] = {}

    def add_own(self, registry: ClaimRegistry) -> None:
        """Add this process, which holds no claim on the key."""
        if registry.is_complete():
            self._complete.add(registry.process_id)
        self._learned[registry.process_id] = frozenset(registry.learned_from)

    def add(self, place: Place, answer: CopyAnswer) -> None:
        """Add a place that has answered that it held no claim on the key."""
        if answer.complete:
            self._complete.add(place.process_id)
        self._learned[place.process_id] = frozenset(answer.learned_from)

    def covers(self, pair: tuple[Place, ...]) -> bool:
        """Return True if one of `pair` vouches that they never granted the key.

        A place that has started lately vouches if it holds all that the other
        one knew when it asked: both record every claim that either grants.
        """
        names = {place.process_id for place in pair}
        if names & self._complete:
            return True
        return any(self._learned.get(name, frozenset()) & names for name in names)
