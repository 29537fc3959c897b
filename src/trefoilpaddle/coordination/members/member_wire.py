"""Conversion of member records to and from messages between processes."""

import re
import time
from collections.abc import Iterable, Iterator
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.gen.membership.ttypes import DomainDigest, Member
from ...state.members import MemberRecord, MemberState, MemberTable

NAME: Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,79}")
ADDRESS: Final = re.compile(r"[0-9a-f.:\[\]]+:\d{1,5}")
STATES: Final = frozenset(int(state) for state in MemberState)
ROLES: Final = frozenset({"gateway", "sidecar"})

MAX_BEAT: Final = 2**62
"""Beats from this one on are not credible; a process raises its beat by one."""

MAX_LEAVING_MS: Final = 86_400_000
"""Longest time since a stop was announced that is kept, in milliseconds."""

MAX_TEXT_CHARS: Final = 256
"""Longest name of a service or a target; all records are sent in one message."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on records that are ignored."""


def to_wire(record: MemberRecord) -> Member:
    """Return the message that carries `record`."""
    return Member(
        process_id=record.process_id,
        incarnation=record.incarnation,
        address=record.address,
        role=record.role,
        failure_domain=record.failure_domain,
        region=record.region,
        service_name=record.service,
        target=record.target,
        state=int(record.state),
        beat=record.beat,
        millicores=record.millicores,
        leaving_ms=_leaving_ms(record),
    )


def from_wire(members: Iterable[Member]) -> Iterator[MemberRecord]:
    """Yield the record of each well-formed member; skip malformed ones."""
    n_ignored = 0
    for member in members:
        if not _is_well_formed(member):
            n_ignored += 1
            continue
        yield MemberRecord(
            process_id=member.process_id,
            incarnation=member.incarnation,
            address=member.address,
            role=member.role,
            failure_domain=member.failure_domain,
            region=member.region,
            service=member.service_name,
            target=member.target,
            state=MemberState(member.state),
            beat=member.beat,
            millicores=member.millicores,
            leaving_since_s=_leaving_since_s(member),
        )
    if n_ignored:
        logging.log_every_n_seconds(
            logging.WARNING,
            "ignored %d malformed records of members from a peer",
            LOG_PERIOD_S,
            n_ignored,
        )


def _leaving_ms(record: MemberRecord) -> int | None:
    """Return the age of a stop that was announced, in milliseconds."""
    if record.leaving_since_s is None:
        return None
    return int((time.monotonic() - record.leaving_since_s) * MS_PER_S)


def _leaving_since_s(member: Member) -> float | None:
    """Return the monotonic time at which a member announced its stop, if stated."""
    if member.leaving_ms is None:
        return None
    leaving_ms = min(MAX_LEAVING_MS, max(0, member.leaving_ms))
    return time.monotonic() - leaving_ms / MS_PER_S


def _is_well_formed(member: Member) -> bool:
    return bool(
        member.state in STATES
        and member.role in ROLES
        and NAME.fullmatch(member.process_id)
        and NAME.fullmatch(member.failure_domain)
        and NAME.fullmatch(member.region)
        and ADDRESS.fullmatch(member.address)
        and 0 <= member.beat < MAX_BEAT
        and len(member.service_name) <= MAX_TEXT_CHARS
        and len(member.target) <= MAX_TEXT_CHARS
    )


def digests_to_wire(table: MemberTable) -> list[DomainDigest]:
    """Return one message per failure domain with its digest."""
    return [
        DomainDigest(failure_domain=domain, digest=digest)
        for domain, digest in table.digests.items()
    ]


def digests_from_wire(digests: Iterable[DomainDigest]) -> dict[str, int]:
    """Return the received digests by failure domain."""
    return {item.failure_domain: item.digest for item in digests}
