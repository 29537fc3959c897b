"""A request on its way to a worker, with all that governs it."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ...state.chain.fingerprint import stage_fingerprint
from ...state.chain.requests import CallerRequest
from ...state.chain.routes import Account, PlainService, RepeatPolicy, Route, Service


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request with all that governs it.

    Parameters
    ----------
    request : CallerRequest
        What the caller sent.
    route : Route
        How it is handled.
    account : Account
        Whose it is.
    service : str
        Where it runs.
    services : mapping of str to Service
        What was in force when it came.
    deadline_s : float
        Monotonic time of its last answer.
    fingerprint : str
        The same for all attempts of the request.
    """

    request: CallerRequest
    route: Route
    account: Account
    service: str
    services: Mapping[str, Service]
    deadline_s: float
    fingerprint: str

    @property
    def begins_by_s(self) -> float:
        """Monotonic time after which its caller takes no answer that then begins.

        Callers of streams leave long before their deadlines if no event comes. What
        was made for one that is gone then took the places of others.
        """
        return min(
            self.deadline_s, self.request.received_s + self.route.event_timeout_s
        )

    @property
    def may_repeat(self) -> bool:
        """True if it may run again after it has, or may have, run."""
        return self.route.repeat is RepeatPolicy.IDEMPOTENT or self.route.is_resumable

    def worker_service(self) -> Service:
        """Return what is published of its service; a plain one if nothing is."""
        return self.services.get(self.service) or PlainService(name=self.service)

    @property
    def must_finish(self) -> bool:
        """True if a worker is to finish it even if its caller leaves."""
        return not self.may_repeat and not self.route.is_stream

    def fingerprints(self) -> Iterator[str]:
        """Yield what stands for the request at each service that it passes."""
        yield self.fingerprint
        for service in {stage.service for stage in self.route.stages}:
            yield stage_fingerprint(self.fingerprint, service)

    @property
    def priority(self) -> int:
        """Its rank, 0 first; the account's goes before the route's."""
        if self.account.priority is not None:
            return self.account.priority
        return self.route.priority
