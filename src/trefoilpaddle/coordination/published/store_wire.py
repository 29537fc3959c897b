"""Conversion of listed workers to and from the messages between gateways."""

import time
from collections.abc import Iterable, Mapping
from typing import Final

from absl import logging

from ...protocol.const import MS_PER_S
from ...protocol.gen.chain.ttypes import (
    EarlierList,
    ListedWorker,
    StoreNews,
    StorePull,
    StoreState,
)
from ...state.chain.list_digest import ListDigest
from ...state.chain.workers import Worker
from .published_store import StoreChanges, UnreadableEntry
from .store_position import StorePosition

MAX_ERA: Final = 10**13
MAX_REVISION: Final = 2**53
MAX_VERSION: Final = 10**13
"""Largest credible numbers of an era, a revision and a table.

What is earlier is ignored, so greater ones would hide all that is published.
"""

MAX_BORN_MS: Final = 10**13
"""Latest credible start of a worker; a later one would hide its later starts."""

MAX_COLD_MS: Final = 3_600_000
"""Longest credible time for which a worker stays cold, in milliseconds."""

MAX_SLOTS: Final = 100_000
"""Largest credible number of requests that a worker runs at the same time."""

MAX_TEXT_CHARS: Final = 256
"""Longest text of an entry; it is sent to other gateways again."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on entries that are ignored."""


def is_credible(message: StoreNews | StoreState) -> bool:
    """Return True if the store and its table may be at what a peer states."""
    return (
        0 <= message.era <= MAX_ERA
        and 0 <= message.revision <= MAX_REVISION
        and 0 <= (message.table_revision or 0) <= MAX_REVISION
        and 0 <= message.version <= MAX_VERSION
    )


def position_of(message: StoreNews | StorePull | StoreState) -> StorePosition:
    """Return the position up to which a peer knows the store's changes."""
    return StorePosition(era=message.era, revision=message.revision)


def table_position_of(message: StoreNews | StoreState) -> StorePosition:
    """Return up to where a peer knows that its version is the newest."""
    if message.table_revision is None:
        return position_of(message)
    return StorePosition(era=message.era, revision=message.table_revision)


def digest_of(message: StoreNews | StorePull | StoreState | EarlierList) -> ListDigest:
    """Return the digest of a peer's list."""
    return ListDigest(
        entries=message.digest,
        domains=message.domain_digest,
        versions=message.version_digest,
        slots=message.slot_digest,
    )


def changes_from_state(state: StoreState) -> StoreChanges:
    """Return the workers that the store lists according to a peer, without a table.

    Workers with expired entries are left out. If this gateway knows them, it gives
    them the grace period itself, as the peer does.
    """
    listed = {worker.worker_id: worker for worker in state.workers}
    for worker_id in state.lapsed:
        listed.pop(worker_id, None)
    listed |= {worker.worker_id: worker for worker in state.doubted}
    return StoreChanges(
        position=position_of(state),
        workers=listed_workers(listed.values()),
    )


def list_from_update(update: StoreNews, base: Mapping[str, Worker]) -> StoreChanges:
    """Return the complete list, from an update that contains what differs from `base`.

    Parameters
    ----------
    update : StoreNews
        An update whose base is the list `base`.
    base : mapping of str to Worker
        The list known before, by worker id.
    """
    listed = dict(base)
    for worker_id in update.removed:
        listed.pop(worker_id, None)
    listed |= {worker.worker_id: worker for worker in listed_workers(update.workers)}
    return StoreChanges(position=position_of(update), workers=tuple(listed.values()))


def unconfirmed_from(message: StoreNews | StoreState) -> tuple[Worker, ...]:
    """Return the entries that a peer ignores."""
    return listed_workers(message.doubted or ())


def difference(
    base: Mapping[str, Worker], listed: Mapping[str, Worker]
) -> StoreChanges:
    """Return what changes `base` into `listed`, without position and table."""
    return StoreChanges(
        position=StorePosition(),
        workers=tuple(w for i, w in listed.items() if base.get(i) != w),
        removed=tuple(worker_id for worker_id in base if worker_id not in listed),
    )


def changes_from_update(update: StoreNews) -> StoreChanges:
    """Return the changes that a reader reports, without its table."""
    return StoreChanges(
        position=position_of(update),
        workers=listed_workers(update.workers),
        removed=tuple(update.removed),
        unreadable=tuple(
            UnreadableEntry(worker_id=worker_id, problem="a reader says so")
            for worker_id in update.withdrawn or ()
        ),
    )


def listed_to_wire(worker: Worker) -> ListedWorker:
    """Convert a listed worker to a message."""
    return ListedWorker(
        worker_id=worker.worker_id,
        service_name=worker.service,
        address=worker.address,
        failure_domain=worker.failure_domain,
        is_leaving=worker.is_leaving,
        born_ms=worker.born_ms,
        cold_ms=_cold_ms(worker),
        software_version=worker.software_version,
        n_slots=worker.n_slots,
    )


def _cold_ms(worker: Worker) -> int:
    left_s = worker.cold_until_s - time.monotonic()
    return max(0, int(left_s * MS_PER_S))


def listed_workers(workers: Iterable[ListedWorker]) -> tuple[Worker, ...]:
    """Convert messages to listed workers; leave out those that cannot be used."""
    received = tuple(workers)
    usable = tuple(listed_from_wire(each) for each in received if _is_usable(each))
    if len(usable) < len(received):
        logging.log_every_n_seconds(
            logging.WARNING,
            "ignored %d entries of workers from a peer",
            LOG_PERIOD_S,
            len(received) - len(usable),
        )
    return usable


def _is_usable(worker: ListedWorker) -> bool:
    """Return True if a worker can be named in a header and be sent on."""
    texts = (
        worker.worker_id,
        worker.service_name,
        worker.address,
        worker.failure_domain,
        worker.software_version,
    )
    is_id = worker.worker_id.isascii() and worker.worker_id.isprintable()
    return (
        bool(worker.worker_id)
        and is_id
        and 0 <= worker.born_ms <= MAX_BORN_MS
        and all(len(text) <= MAX_TEXT_CHARS for text in texts)
    )


def listed_from_wire(worker: ListedWorker) -> Worker:
    """Convert a message to a listed worker."""
    is_cold = 0 < worker.cold_ms <= MAX_COLD_MS
    return Worker(
        worker_id=worker.worker_id,
        service=worker.service_name,
        address=worker.address,
        failure_domain=worker.failure_domain,
        is_leaving=worker.is_leaving,
        born_ms=worker.born_ms,
        cold_until_s=(time.monotonic() + worker.cold_ms / MS_PER_S if is_cold else 0.0),
        software_version=worker.software_version,
        n_slots=worker.n_slots if 0 < worker.n_slots <= MAX_SLOTS else 0,
    )
