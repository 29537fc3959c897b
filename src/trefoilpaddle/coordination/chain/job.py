"""A request to be sent to a worker, with the settings that apply to it."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ...state.chain.fingerprint import stage_fingerprint
from ...state.chain.requests import CallerRequest
from ...state.chain.routes import Account, PlainService, RepeatPolicy, Route, Service


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request with the settings that apply to it.

    Parameters
    ----------
    request : CallerRequest
        The request as the caller sent it.
    route : Route
        The route that it matches.
    account : Account
        Client account of the caller.
    service : str
        Service that runs the request.
    services : mapping of str to Service
        The services that were active when the request arrived.
    deadline_s : float
        Monotonic time by which the caller must have the answer.
    fingerprint : str
        Identifies the request; the same for all of its attempts.
    parts : tuple of str
        Fingerprints of the parts of its prompt that other requests may share.
    """

    request: CallerRequest
    route: Route
    account: Account
    service: str
    services: Mapping[str, Service]
    deadline_s: float
    fingerprint: str
    parts: tuple[str, ...] = ()

    @property
    def begins_by_s(self) -> float:
        """Latest monotonic time at which an answer may begin and is still accepted.

        Callers of streams leave long before their deadlines if no event arrives.
        Results computed for a caller that had left took the capacity of others.
        """
        return min(
            self.deadline_s, self.request.received_s + self.route.event_timeout_s
        )

    @property
    def may_repeat(self) -> bool:
        """True if the request may be sent again after it may have run."""
        return self.route.repeat is RepeatPolicy.IDEMPOTENT or self.route.is_resumable

    def worker_service(self) -> Service:
        """Return the published service; a plain one if none is published."""
        return self.services.get(self.service) or PlainService(name=self.service)

    @property
    def must_finish(self) -> bool:
        """True if a worker must finish the request even if its caller leaves."""
        return not self.may_repeat and not self.route.is_stream

    def fingerprints(self) -> Iterator[str]:
        """Yield the fingerprints of the request at each service that it passes."""
        yield self.fingerprint
        for service in {stage.service for stage in self.route.stages}:
            yield stage_fingerprint(self.fingerprint, service)

    @property
    def priority(self) -> int:
        """Priority of the request, 0 first; the account's overrides the route's."""
        if self.account.priority is not None:
            return self.account.priority
        return self.route.priority
