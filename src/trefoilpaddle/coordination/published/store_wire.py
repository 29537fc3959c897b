"""Listed workers as gateways send them to one another."""

from ...protocol.gen.chain.ttypes import ListedWorker, StoreNews, StoreState
from ...state.chain.workers import Worker
from .published_store import StoreChanges, UnreadableEntry


def changes_of_state(state: StoreState) -> StoreChanges:
    """Return the workers that a peer lists, without its table.

    Those whose entries ran out are left out: who has them gives them the time to
    come back, as the peer does. Taken as listed, they were kept for good.
    """
    lapsed = set(state.lapsed)
    return StoreChanges(
        revision=state.revision,
        workers=tuple(
            listed_from_wire(worker)
            for worker in state.workers
            if worker.worker_id not in lapsed
        ),
    )


def changes_of_news(news: StoreNews) -> StoreChanges:
    """Return what a reader says has changed, without its table."""
    return StoreChanges(
        revision=news.revision,
        workers=tuple(listed_from_wire(worker) for worker in news.workers),
        removed=tuple(news.removed),
        unreadable=tuple(
            UnreadableEntry(worker_id=worker_id, problem="a reader says so")
            for worker_id in news.withdrawn
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
