"""Replicas that confirm that a key is new.

Such a replica has no claim on the key and cannot have lost one.
"""

from ...protocol.gen.claims.ttypes import CopyAnswer
from ...state.replicas import Replica
from .claim_registry import ClaimRegistry


class AbsenceConfirmations:
    """Collects what the replicas of one key can confirm."""

    __slots__ = ("_complete", "_learned")

    def __init__(self) -> None:
        self._complete: set[str] = set()
        self._learned: dict[str, frozenset[str]] = {}

    def add_own(self, registry: ClaimRegistry) -> None:
        """Add this process, which has no claim on the key."""
        if registry.is_complete():
            self._complete.add(registry.process_id)
        self._learned[registry.process_id] = frozenset(registry.learned_from)

    def add(self, replica: Replica, answer: CopyAnswer) -> None:
        """Add a replica that has answered that it had no claim on the key."""
        if answer.complete:
            self._complete.add(replica.process_id)
        self._learned[replica.process_id] = frozenset(answer.learned_from)

    def covers(self, pair: tuple[Replica, ...]) -> bool:
        """Return True if one of `pair` confirms that they never granted the key.

        A recently started replica can confirm it if the other replica has handed
        over all of its claims, because both record every claim that either grants.
        """
        names = {replica.process_id for replica in pair}
        if names & self._complete:
            return True
        return any(self._learned.get(name, frozenset()) & names for name in names)
