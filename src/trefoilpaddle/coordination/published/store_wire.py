"""Listed workers as gateways send them to one another."""

from collections.abc import Mapping

from ...protocol.gen.chain.ttypes import ListedWorker, StoreNews, StorePull, StoreState
from ...state.chain.workers import Worker
from .published_store import StoreChanges, UnreadableEntry
from .store_position import StorePosition


def position_of(message: StoreNews | StorePull | StoreState) -> StorePosition:
    """Return up to where a peer knows the store's changes."""
    return StorePosition(era=message.era, revision=message.revision)


def changes_from_state(state: StoreState) -> StoreChanges:
    """Return the workers that the store lists as a peer knows it, without a table.

    Those whose entries ran out are left out: who has them gives them the time to
    come back, as the peer does.
    """
    listed = {worker.worker_id: worker for worker in state.workers}
    for worker_id in state.lapsed:
        listed.pop(worker_id, None)
    listed |= {worker.worker_id: worker for worker in state.doubted}
    return StoreChanges(
        position=position_of(state),
        workers=tuple(map(listed_from_wire, listed.values())),
    )


def list_from_update(news: StoreNews, base: Mapping[str, Worker]) -> StoreChanges:
    """Return all that is listed, from news that tell what differs from `base`."""
    listed = dict(base)
    for worker_id in news.removed:
        listed.pop(worker_id, None)
    for worker in news.workers:
        listed[worker.worker_id] = listed_from_wire(worker)
    return StoreChanges(position=position_of(news), workers=tuple(listed.values()))


def unconfirmed_from(message: StoreNews | StoreState) -> tuple[Worker, ...]:
    """Return the entries that a peer ignores."""
    return tuple(map(listed_from_wire, message.doubted or ()))


def difference(
    base: Mapping[str, Worker], listed: Mapping[str, Worker]
) -> StoreChanges:
    """Return what makes `listed` out of `base`, without position and table."""
    return StoreChanges(
        position=StorePosition(),
        workers=tuple(w for i, w in listed.items() if base.get(i) != w),
        removed=tuple(worker_id for worker_id in base if worker_id not in listed),
    )


def changes_from_update(news: StoreNews) -> StoreChanges:
    """Return what a reader says has changed, without its table."""
    return StoreChanges(
        position=position_of(news),
        workers=tuple(listed_from_wire(worker) for worker in news.workers),
        removed=tuple(news.removed),
        unreadable=tuple(
            UnreadableEntry(worker_id=worker_id, problem="a reader says so")
            for worker_id in news.withdrawn or ()
        ),
    )


def listed_to_wire(worker: Worker) -> ListedWorker:
    """Return a listed worker as it is sent."""
    return ListedWorker(
        worker_id=worker.worker_id,
        service_name=worker.service,
        address=worker.address,
        failure_domain=worker.failure_domain,
        is_leaving=worker.is_leaving,
        born_ms=worker.born_ms,
    )


def listed_from_wire(worker: ListedWorker) -> Worker:
    """Return the worker that was sent."""
    return Worker(
        worker_id=worker.worker_id,
        service=worker.service_name,
        address=worker.address,
        failure_domain=worker.failure_domain,
        is_leaving=worker.is_leaving,
        born_ms=worker.born_ms,
    )
