"""Status of one process, and of all processes, for operators."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .tally import Use
from .timeline import Absence


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusals:
    """Number of refusals for one reason."""

    reason: str
    n_refused: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UseStatus:
    """Use by one owner or one stage in the last minute.

    See Also
    --------
    trefoilpaddle.state.tally.Use : meaning of the fields.
    """

    name: str
    n_accepted: int = 0
    n_answered: int = 0
    n_failed: int = 0
    n_calls: int = 0
    cost_s: float = 0.0
    queued_s: float = 0.0
    refused: tuple[Refusals, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadStatus:
    """Load of a target as seen by its sidecar; times in seconds."""

    n_running: int = 0
    n_queued: int = 0
    n_slots: int = 0
    queued_work_s: float = 0.0
    running_work_s: float = 0.0
    slowness: float = 1.0
    is_target_up: bool = True
    reported_age_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseStatus:
    """Part of one limit of an entry that this gateway holds."""

    entry: str
    kind: str
    granted: float
    used: float
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldBackStatus:
    """A published change that is not active, and why."""

    key: str
    revision: int
    stays_revision: int
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessStatus:
    """Status of one process.

    Parameters
    ----------
    process_id, role, failure_domain, region, service, target : str
        Identity of the process.
    incarnation : str
        Hexadecimal id of this start of the process.
    is_ready, is_leaving : bool
        Whether it accepts new work, and whether it is stopping.
    config_revision, hosts_revision : int
        Revisions of its active catalogue and host list.
    up_s : float
        Seconds since its start.
    n_peers_heard, n_peers : int
        Number of peers it connects to that responded recently, and of all of them.
    """

    process_id: str
    role: str
    failure_domain: str = ""
    region: str = ""
    service: str = ""
    target: str = ""
    incarnation: str = ""
    is_ready: bool = False
    is_leaving: bool = False
    config_revision: int = 0
    hosts_revision: int = 0
    up_s: float = 0.0
    n_peers_heard: int = 0
    n_peers: int = 0
    load: LoadStatus | None = None
    owners: tuple[UseStatus, ...] = ()
    stages: tuple[UseStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()
    held_back: tuple[HeldBackStatus, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """An active catalogue entry."""

    name: str
    owner: str
    class_of_work: str
    revision: int
    weight: float
    floor_share: float
    rate_per_s: float | None = None
    n_concurrent: int | None = None
    tokens_per_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """Status of all processes that responded to one process, and the others.

    Parameters
    ----------
    asked_of : str
        The process that gathered the status.
    leaving : tuple of str
        Processes that are leaving, by the host list or by their own report.
    """

    asked_of: str
    config_revision: int
    hosts_revision: int
    processes: tuple[ProcessStatus, ...] = ()
    silent: tuple[Absence, ...] = ()
    leaving: tuple[str, ...] = ()
    entries: tuple[EntryStatus, ...] = ()


PROCESS: Final = TypeAdapter(ProcessStatus)
FLEET: Final = TypeAdapter(FleetStatus)


def encode_process(status: ProcessStatus) -> bytes:
    """Return `status` as JSON."""
    return orjson.dumps(status)


def decode_process(data: bytes) -> Result[ProcessStatus, str]:
    """Return the status in `data`, or why it cannot be read."""
    try:
        return Ok(PROCESS.validate_json(data))
    except ValidationError as error:
        return Err(f"told something that is no status: {error.error_count()} faults")


def use_statuses(uses: dict[str, Use]) -> Iterator[UseStatus]:
    """Yield the status of each use, in order of name."""
    for name in sorted(uses):
        use = uses[name]
        yield UseStatus(
            name=name,
            n_accepted=use.n_accepted,
            n_answered=use.n_answered,
            n_failed=use.n_failed,
            n_calls=use.n_calls,
            cost_s=use.cost_s,
            queued_s=use.queued_s,
            refused=tuple(
                Refusals(reason=reason, n_refused=n_refused)
                for reason, n_refused in sorted(use.refused.items())
            ),
        )


def total(statuses: Iterable[UseStatus]) -> list[UseStatus]:
    """Return the sum of `statuses` for each name, in order of name."""
    uses: dict[str, Use] = {}
    for status in statuses:
        use = uses.setdefault(status.name, Use())
        use.n_accepted += status.n_accepted
        use.n_answered += status.n_answered
        use.n_failed += status.n_failed
        use.n_calls += status.n_calls
        use.cost_s += status.cost_s
        use.queued_s += status.queued_s
        for one in status.refused:
            use.refused[one.reason] += one.n_refused
    return list(use_statuses(uses))
