"""What the operators published last: routes, services, accounts, limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class RepeatPolicy(Enum):
    """What may be done with a request that may have run already."""

    IDEMPOTENT = "idempotent"
    """It may run any number of times."""
    NON_IDEMPOTENT = "non_idempotent"
    """It runs once at most."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StagePlan:
    """One stage of a route's pipeline, run before the request itself.

    Parameters
    ----------
    service : str
        Service whose workers make the stage's pieces.
    after : tuple of int
        Numbers of the stages whose results it takes as inputs.
    result_bytes : float
        Size of one piece's result, as published; an estimate.
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
        The prefix begins and ends with a slash.
    splits : tuple of Split
        Services that run the request; one with all of the weight usually.
    repeat : Repeat
        Whether it may run twice.
    is_stream : bool
        The answer is a series of numbered events.
    is_resumable : bool
        A broken stream may go on at another worker.
    max_attempts : int
        Most workers to which one request may be sent.
    timeout_s : float
        Longest time that a caller is kept waiting for the whole answer.
    target_latency_s : float
        Time from the caller's sending within which the answer, or the first
        event of it, is worth its full value.
    event_timeout_s : float
        Time after which callers of a stream have left if no event came; they wait as
        long for the first. Endless for other answers.
    priority : int
        0 is the most urgent.
    stages : tuple of StagePlan
        Numbered by their place.
    is_public : bool
        No key is needed.
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
        """Return the stages whose results the request itself takes."""
        followed = {number for stage in self.stages for number in stage.after}
        return tuple(n for n in range(len(self.stages)) if n not in followed)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """A service whose workers answer requests one by one."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineService:
    """A service of model workers that run many requests in one batch.

    Parameters
    ----------
    n_slots : int
        Requests that one worker runs at once.
    cache_tokens : int
        Memory of one worker for prompts and what was generated.
    """

    name: str
    n_slots: int
    cache_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PieceService:
    """A service whose workers make pieces of many requests in one call.

    Parameters
    ----------
    n_slots : int
        Calls that one worker works on at once.
    batch : int
        Most pieces in one call.
    call_s, piece_s : float
        Time of a call, whatever it carries, and of each piece in it.
    memory_bytes : float
        Memory of one worker for results that wait to be read.
    retention_s : float
        How long after its call a result is kept unless it is freed before.
    """

    name: str
    n_slots: int
    batch: int
    call_s: float
    piece_s: float
    memory_bytes: float
    retention_s: float


Service = PlainService | EngineService | PieceService


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what one caller may send, and how long it may stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account and its place in the order of urgency, if it has one."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One published version, whole.

    Parameters
    ----------
    version : int
        Rises with each change; 0 while nothing is known.
    by_host : mapping of str to tuple of Route
        The routes of a host, longest prefix first.
    services : mapping of str to Service
        By name.
    account_of_key : mapping of str to Account
        Empty where no keys are asked for.
    has_accounts : bool
        Keys are asked for, even if none is valid now.
    limits : CallerLimits
        For all callers.
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


def table_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda route: -len(route.prefix)))
        for host, of_host in by_host.items()
    }
