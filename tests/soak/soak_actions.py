"""What a soak does to the system, drawn from a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

SERVICES = ("stock", "model", "encode", "retrieve")


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseGateway:
    """SIGSTOP, and SIGCONT after a while."""

    number: int
    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class KillGateway:
    """SIGKILL, and a new start after a while."""

    number: int
    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopGateway:
    """SIGTERM, and a new start once it has ended."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HangUpGateway:
    """SIGHUP."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DisturbWorker:
    """Delay, silence or cut the connections to one worker of a service.

    Parameters
    ----------
    delay_s, delay_back_s : float
        Added on the way there and back; the latter alone is a cut one way.
    is_silent : bool
        Nothing passes, nothing is closed.
    is_cut : bool
        All connections are reset, and new ones refused.
    """

    service: str
    for_s: float
    delay_s: float = 0.0
    delay_back_s: float = 0.0
    is_silent: bool = False
    is_cut: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakAnswers:
    """One worker of a service runs requests and resets their connections."""

    service: str
    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaceWorker:
    """A new worker of a service is listed and an old one drained, or just gone."""

    service: str
    says_so: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class DisturbStore:
    """One gateway's way to the store is silent, or cut; every way if it is None."""

    number: int | None
    for_s: float
    is_silent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseReads:
    """The store answers every gateway that it does not serve it."""

    for_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ForgetHistory:
    """The store loses the changes that readers have not asked for yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnStore:
    """The store is away for every gateway, and comes back from a copy.

    Parameters
    ----------
    age_s : float
        How old the copy is as the store goes away.
    """

    for_s: float
    age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishTable:
    """A new version: one key is revoked, another is valid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RestartWorker:
    """A worker crashes and starts again under its id; it holds nothing of before."""

    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteEntry:
    """Another writer overwrites a worker's entry, or writes one of its own.

    Parameters
    ----------
    is_own : bool
        True under a key of its own; else the worker writes its entry again soon.
    """

    service: str
    value: object
    is_own: bool


Action = (
    PauseGateway
    | KillGateway
    | StopGateway
    | HangUpGateway
    | DisturbWorker
    | BreakAnswers
    | ReplaceWorker
    | DisturbStore
    | RefuseReads
    | ForgetHistory
    | ReturnStore
    | PublishTable
    | RestartWorker
    | WriteEntry
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """An action and when it begins, in seconds from the start."""

    at_s: float
    action: Action


FOREIGN: tuple[object, ...] = (
    None,
    [1],
    {"service": {}, "address": 4},
    {"service": "model", "address": "nowhere", "zone": "a", "state": "ready"},
    {"service": "model", "address": "127.0.0.1:1", "zone": "a", "state": "resting"},
)


def schedule(
    seed: int,
    *,
    length_s: float,
    n_gateways: int,
    with_entries: bool = True,
    with_returns: bool = True,
) -> list[Step]:
    """Return what a seed stands for; single actions, and series that overlap.

    Restarts of workers under their ids and entries of other writers are drawn apart,
    and so are returns of the store from copies: what else a seed stands for is what
    it always did.
    """
    steps = _base_schedule(seed, length_s=length_s, n_gateways=n_gateways)
    if with_entries:
        steps += _entry_schedule(seed, length_s=length_s)
    if with_returns:
        steps += _return_schedule(seed, length_s=length_s)
    return sorted(steps, key=lambda step: step.at_s)


def _return_schedule(seed: int, *, length_s: float) -> list[Step]:
    """Return single returns, and some that follow one another closely."""
    rng = random.Random(f"returns {seed}")
    steps: list[Step] = []
    at_s = rng.uniform(2.0, 5.0)
    while at_s < length_s:
        action = ReturnStore(for_s=rng.uniform(0.05, 2.0), age_s=rng.uniform(0.5, 6.0))
        steps.append(Step(at_s=at_s, action=action))
        at_s += rng.choice((0.5, 2.5, 6.0)) + rng.expovariate(0.5)
    return steps


def _entry_schedule(seed: int, *, length_s: float) -> list[Step]:
    rng = random.Random(f"entries {seed}")
    steps: list[Step] = []
    at_s = rng.uniform(0.5, 3.0)
    while at_s < length_s:
        service = rng.choice(SERVICES)
        action: Action = RestartWorker(service=service)
        if rng.random() < 0.5:
            value, is_own = rng.choice(FOREIGN), rng.random() < 0.5
            action = WriteEntry(service=service, value=value, is_own=is_own)
        steps.append(Step(at_s=at_s, action=action))
        at_s += rng.uniform(0.5, 4.0)
    return steps


def _base_schedule(seed: int, *, length_s: float, n_gateways: int) -> list[Step]:
    rng = random.Random(seed)
    makers: list[Callable[[], Action]] = [
        lambda: PauseGateway(number=rng.randrange(n_gateways), for_s=rng.uniform(1, 4)),
        lambda: KillGateway(
            number=rng.randrange(n_gateways), for_s=rng.uniform(0.1, 2)
        ),
        lambda: StopGateway(number=rng.randrange(n_gateways)),
        lambda: HangUpGateway(number=rng.randrange(n_gateways)),
        lambda: _disturb_worker(rng),
        lambda: _disturb_worker(rng),
        lambda: BreakAnswers(service=rng.choice(SERVICES), for_s=rng.uniform(0.3, 2)),
        lambda: ReplaceWorker(service=rng.choice(SERVICES), says_so=rng.random() < 0.5),
        lambda: DisturbStore(
            number=rng.choice([None, *range(n_gateways)]),
            for_s=rng.uniform(0.5, 4),
            is_silent=rng.random() < 0.5,
        ),
        lambda: RefuseReads(for_s=rng.uniform(0.5, 4)),
        ForgetHistory,
        PublishTable,
        PublishTable,
    ]
    steps: list[Step] = []
    at_s = 0.5
    while at_s < length_s:
        maker = rng.choice(makers)
        n_times = rng.choice((1, 1, 1, 2, 3))
        for number in range(n_times):
            steps.append(Step(at_s=at_s + number * rng.uniform(0, 0.5), action=maker()))
        at_s += rng.expovariate(1.0) + 0.1
    return sorted(steps, key=lambda step: step.at_s)


def _disturb_worker(rng: random.Random) -> DisturbWorker:
    service = rng.choice(SERVICES)
    for_s = rng.uniform(0.3, 3)
    match rng.randrange(4):
        case 0:
            return DisturbWorker(
                service=service, for_s=for_s, delay_s=rng.uniform(0.05, 1)
            )
        case 1:
            return DisturbWorker(service=service, for_s=for_s, delay_back_s=for_s)
        case 2:
            return DisturbWorker(service=service, for_s=for_s, is_silent=True)
        case _:
            return DisturbWorker(service=service, for_s=for_s, is_cut=True)
