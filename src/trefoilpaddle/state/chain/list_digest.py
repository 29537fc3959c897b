"""Digests by which gateways compare their lists of workers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ListDigest:
    """Digest of a list of workers; equal for equal lists, whatever their order.

    Parameters
    ----------
    entries : int
        Over all workers, without their failure domains; 0 if no list is known.
    domains : int or None
        Over the workers with their failure domains; None from a gateway of an earlier
        build, which does not compare them.
    versions : int or None
        Over the workers with their software versions; None as for `domains`.
    slots : int or None
        Over the workers with their published slots; None as for `domains`.
    """

    entries: int = 0
    domains: int | None = 0
    versions: int | None = 0
    slots: int | None = 0

    def __xor__(self, other: "ListDigest") -> "ListDigest":
        """Return the digest after a worker was added or removed."""
        return ListDigest(
            entries=self.entries ^ other.entries,
            domains=(self.domains or 0) ^ (other.domains or 0),
            versions=(self.versions or 0) ^ (other.versions or 0),
            slots=(self.slots or 0) ^ (other.slots or 0),
        )

    @property
    def is_known(self) -> bool:
        """True unless no list is known."""
        return bool(self.entries)

    def matches(self, other: "ListDigest") -> bool:
        """Return True if two lists are the same, as far as both digests tell."""
        return (
            self.entries == other.entries
            and _agree(self.domains, other.domains)
            and _agree(self.versions, other.versions)
            and _agree(self.slots, other.slots)
        )


def _agree(one: int | None, other: int | None) -> bool:
    """Return True if two digests are equal, or one gateway does not compute them."""
    return None in (one, other) or one == other
