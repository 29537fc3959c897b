"""Latest membership record of each process, and digests over the records."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum, unique

from ..protocol.checksum import checksum


@unique
class MemberState(IntEnum):
    """State of a member; with equal beats, the higher state takes precedence."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """Membership record of one process.

    Parameters
    ----------
    process_id : str
        Stable over restarts.
    incarnation : int
        Random id of one start of the process; says nothing about which of two
        starts is newer.
    address : str
        ``ip:port`` on which the process listens for peers.
    role, failure_domain, region, service, target : str
        As in `trefoilpaddle.state.hosts.Host`.
    state : MemberState
        State of the process as reported.
    beat : int
        Counter that only the process itself raises, to supersede reports about it.
    millicores : int
        CPU that the process may use, in thousandths of a core; 0 if not reported.
    leaving_since_s : float or None
        Monotonic time at which the process announced that it leaves; None if it did
        not, or if that time is unknown.
    """

    process_id: str
    incarnation: int
    address: str
    role: str
    failure_domain: str
    region: str
    service: str
    target: str
    state: MemberState
    beat: int
    millicores: int = 0
    leaving_since_s: float | None = field(default=None, compare=False)

    def supersedes(self, other: "MemberRecord") -> bool:
        """Return True if this record takes precedence over `other`."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, int]:
        return (self.beat, self.state, self.incarnation)

    def fingerprint(self) -> int:
        """Return a checksum of process id, incarnation, beat and state."""
        return checksum(
            f"{self.process_id}\0{self.incarnation}\0{self.beat}\0{self.state}".encode()
        )


class MemberTable:
    """The newest record of each process.

    Dead members are kept for a while, so that an old record cannot add them
    again. They are left out of the digests: processes remove them at different
    times, and would otherwise keep sending them to each other.

    Attributes
    ----------
    records : dict of str to MemberRecord
        By process id.
    digests : dict of str to int
        Digest for each failure domain, over the members that are not dead.
    version : int
        Increases with each change.
    """

    __slots__ = ("digests", "records", "version")

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.digests: dict[str, int] = {}
        self.version = 0

    @property
    def digest(self) -> int:
        """Digest over all failure domains."""
        total = 0
        for digest in self.digests.values():
            total ^= digest
        return total

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Merge `records` and return those that changed the table."""
        return [record for record in records if self._merge_one(record)]

    def forget(self, process_id: str) -> None:
        """Remove the record of `process_id`, if there is one."""
        record = self.records.pop(process_id, None)
        if record is not None:
            self._toggle_in_digest(record)
            self.version += 1

    def set_state(self, process_id: str, state: MemberState) -> MemberRecord | None:
        """Set the state of a process; return the new record if it changed the table."""
        record = self.records.get(process_id)
        if record is None:
            return None
        changed = replace(record, state=state)
        return changed if self._merge_one(changed) else None

    def present(self) -> Iterator[MemberRecord]:
        """Yield the members that are not dead."""
        for record in self.records.values():
            if record.state is not MemberState.DEAD:
                yield record

    def in_domains(self, failure_domains: set[str]) -> list[MemberRecord]:
        """Return the members in these failure domains, dead ones included."""
        return [
            record
            for record in self.records.values()
            if record.failure_domain in failure_domains
        ]

    def differing(self, digests: dict[str, int]) -> set[str]:
        """Return the failure domains whose digest differs from that in `digests`."""
        domains = self.digests.keys() | digests.keys()
        return {
            domain
            for domain in domains
            if self.digests.get(domain, 0) != digests.get(domain, 0)
        }

    def _merge_one(self, record: MemberRecord) -> bool:
        former = self.records.get(record.process_id)
        if former is not None and not record.supersedes(former):
            return False
        if former is None and record.state is MemberState.DEAD:
            return False
        if former is not None:
            self._toggle_in_digest(former)
        self.records[record.process_id] = record
        self._toggle_in_digest(record)
        self.version += 1
        return True

    def _toggle_in_digest(self, record: MemberRecord) -> None:
        if record.state is MemberState.DEAD:
            return
        domain = record.failure_domain
        self.digests[domain] = self.digests.get(domain, 0) ^ record.fingerprint()
