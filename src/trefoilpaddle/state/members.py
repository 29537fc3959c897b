"""What this process has heard of each other process, and digests over it."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum, unique

from ..protocol.checksum import checksum


@unique
class MemberState(IntEnum):
    """What is said of a member; of equal beats the higher state overrules."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """What is said of one process.

    Parameters
    ----------
    process_id : str
        Stable over restarts.
    incarnation : int
        Of the start that is meant; random, so two cannot be ordered by it.
    address : str
        ``ip:port`` for peers.
    role, failure_domain, region, service, target : str
        As in the host list.
    state : MemberState
        What is said of it.
    beat : int
        Raised only by the process itself, to overrule what is said of it.
    millicores : int
        Processor that the process may use, in thousandths of a core; 0 if untold.
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

    def supersedes(self, other: "MemberRecord") -> bool:
        """Return True if this is to be believed rather than `other`."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, int]:
        return (self.beat, self.state, self.incarnation)

    def fingerprint(self) -> int:
        """Return a number that differs when anything said of it does."""
        return checksum(
            f"{self.process_id}\0{self.incarnation}\0{self.beat}\0{self.state}".encode()
        )


class MemberTable:
    """The newest record of each process.

    Dead members are kept for a while, so that an old record cannot bring them
    back, but they count in no digest: two processes forget them at different
    times and must not remind each other for ever.

    Attributes
    ----------
    records : dict of str to MemberRecord
        By process id.
    digests : dict of str to int
        By failure domain, over the members that are not dead.
    version : int
        Rises with each change.
    """

    __slots__ = ("digests", "records", "version")

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.digests: dict[str, int] = {}
        self.version = 0

    @property
    def digest(self) -> int:
        """One digest over all failure domains."""
        total = 0
        for digest in self.digests.values():
            total ^= digest
        return total

    def merge(self, records: Iterable[MemberRecord]) -> list[MemberRecord]:
        """Take in `records` and return those that were news."""
        return [record for record in records if self._merge_one(record)]

    def forget(self, process_id: str) -> None:
        """Drop the record of `process_id`, if there is one."""
        record = self.records.pop(process_id, None)
        if record is not None:
            self._count(record)
            self.version += 1

    def set_state(self, process_id: str, state: MemberState) -> MemberRecord | None:
        """Set what is said of a process; return the record if that was news."""
        record = self.records.get(process_id)
        if record is None:
            return None
        said = replace(record, state=state)
        return said if self._merge_one(said) else None

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
        """Return the failure domains whose digest is not the one in `digests`."""
        domains = self.digests.keys() | digests.keys()
        return {
            domain
            for domain in domains
            if self.digests.get(domain, 0) != digests.get(domain, 0)
        }

    def _merge_one(self, record: MemberRecord) -> bool:
        was = self.records.get(record.process_id)
        if was is not None and not record.supersedes(was):
            return False
        if was is None and record.state is MemberState.DEAD:
            return False
        if was is not None:
            self._count(was)
        self.records[record.process_id] = record
        self._count(record)
        self.version += 1
        return True

    def _count(self, record: MemberRecord) -> None:
        if record.state is MemberState.DEAD:
            return
        domain = record.failure_domain
        self.digests[domain] = self.digests.get(domain, 0) ^ record.fingerprint()
