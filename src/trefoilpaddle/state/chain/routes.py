"""The configuration published last: routes, services, accounts and limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from .send_quota import ColdStart

DEFAULT_HEALTH_PATH: Final = "/health"
"""Path at which workers report their health, unless their service names another."""


@unique
class RepeatPolicy(Enum):
    """Whether a request that may have run already may be repeated."""

    IDEMPOTENT = "idempotent"
    """The request may run any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """The request runs at most once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StagePlan:
    """One stage of a route's pipeline, run before the request itself.

    Parameters
    ----------
    service : str
        Service whose workers run the stage's pieces.
    after : tuple of int
        Indices of the stages whose results are the inputs of this one.
    result_bytes : float
        Published estimate of the size of one piece's result in bytes.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Split:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests of one host and path prefix are handled.

    Parameters
    ----------
    name, host, prefix : str
        Name, host and path prefix; the prefix begins and ends with a slash.
    splits : tuple of Split
        Services that run the request; usually one with all of the weight.
    repeat : RepeatPolicy
        Whether the request may run more than once.
    is_stream : bool
        True if the answer is a series of numbered events.
    is_resumable : bool
        True if an interrupted stream may continue at another worker.
    max_attempts : int
        Largest number of workers to which one request may be sent.
    timeout_s : float
        Longest time that a caller waits for the complete answer.
    target_latency_s : float
        Latency objective, from the caller's sending to the answer or its first event;
        an answer within it has its full value.
    event_timeout_s : float
        Longest time that the caller of a stream waits for the next event, including the
        first. Infinite for other answers.
    priority : int
        0 is the most urgent.
    stages : tuple of StagePlan
        Stages in the order of their indices.
    is_public : bool
        True if callers need no key.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    repeat: RepeatPolicy
    is_stream: bool = False
    is_resumable: bool = False
    max_attempts: int = 1
    timeout_s: float
    target_latency_s: float
    event_timeout_s: float = float("inf")
    priority: int = 0
    stages: tuple[StagePlan, ...] = ()
    is_public: bool = False

    def last_stages(self) -> tuple[int, ...]:
        """Return the stages whose results the request itself reads."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """A service whose workers answer single requests, without batching.

    Parameters
    ----------
    health_path : str
        Path at which its workers report their health.
    cold_start : ColdStart or None
        What its workers bear after their start; None if they bear everything.
    """

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineService:
    """A service of model workers that run many requests in one batch.

    Parameters
    ----------
    n_slots : int
        Requests that one worker runs at the same time.
    cache_tokens : int
        Capacity of one worker for prompts and generated output, in tokens.
    health_path : str
        Path at which its workers report their health.
    cold_start : ColdStart or None
        What its workers bear after their start; None if they bear everything.
    """

    name: str
    n_slots: int
    cache_tokens: int
    health_path: str = DEFAULT_HEALTH_PATH
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PieceService:
    """A service whose workers run pieces of many requests in one call.

    Parameters
    ----------
    n_slots : int
        Calls that one worker accepts at the same time.
    batch : int
        Largest number of pieces in one call.
    call_s, piece_s : float
        Fixed time of a call, and additional time of each piece in it, in seconds.
    memory_bytes : float
        Memory of one worker for results that are not read yet.
    retention_s : float
        Time after its call for which a result is kept unless it is freed earlier.
    health_path : str
        Path at which its workers report their health.
    cold_start : ColdStart or None
        What its workers bear after their start; None if they bear everything.
    """

    name: str
    n_slots: int
    batch: int
    call_s: float
    piece_s: float
    memory_bytes: float
    retention_s: float
    health_path: str = DEFAULT_HEALTH_PATH
    cold_start: ColdStart | None = None


Service = PlainService | EngineService | PieceService


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and the duration of a caller's requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account and its priority, if it has one."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One complete version of the published configuration.

    Parameters
    ----------
    version : int
        Rises with each change; 0 while nothing is known.
    by_host : mapping of str to tuple of Route
        Routes by host, those with the longest prefix first.
    services : mapping of str to Service
        Services by name.
    account_of_key : mapping of str to Account
        Client accounts by caller key; empty if no keys are required.
    has_accounts : bool
        True if keys are required, even if none is valid now.
    limits : CallerLimits
        Limits for all callers.
    """

    version: int = 0
    by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    account_of_key: Mapping[str, Account] = field(default_factory=dict)
    has_accounts: bool = False
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def health_path(self, service: str) -> str:
        """Return the path at which workers of a service report their health."""
        known = self.services.get(service)
        return DEFAULT_HEALTH_PATH if known is None else known.health_path


def table_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda route: -len(route.prefix)))
        for host, of_host in by_host.items()
    }
