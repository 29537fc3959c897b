"""Loads of a modelled cell: requests, services with workers, and bursts."""

from dataclasses import dataclass, replace

from trefoilpaddle.state.chain.routes import PieceService, StagePlan


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request.

    Parameters
    ----------
    per_s : float
        Mean number of requests per second.
    objective_s : float
        Latency objective of the answer's first event.
    event_timeout_s : float
        Time after which a caller leaves if its answer has not begun.
    value : float
        Value of an answer in time.
    engine_s : float
        Mean time from the end of the last stage to the first event.
    n_pieces : tuple of float
        Mean number of pieces of each stage.
    work : tuple of float
        Share of the published time that a piece of each stage takes.
    """

    name: str
    per_s: float
    objective_s: float
    deadline_s: float
    event_timeout_s: float
    value: float
    priority: int
    engine_s: float
    stages: tuple[StagePlan, ...]
    n_pieces: tuple[float, ...]
    work: tuple[float, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """A temporary increase of one kind of request, or of all if `kind` is empty.

    Parameters
    ----------
    account : int
        Account whose requests increase; 0 for all.
    """

    kind: str
    at_s: float
    duration_s: float
    factor: float
    account: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests of a modelled cell, and the services and workers that run them.

    Parameters
    ----------
    size_spread : float
        Largest relative difference between the actual and published size of results.
    account_parts : tuple of float
        Parts of all requests that the accounts send, from account 1 on; without any,
        requests state no account.
    has_shares : bool
        False if the scheduler is not told the accounts.
    """

    kinds: tuple[Kind, ...]
    services: tuple[PieceService, ...]
    n_workers: dict[str, int]
    bursts: tuple[Burst, ...] = ()
    length_s: float = 30.0
    size_spread: float = 0.0
    account_parts: tuple[float, ...] = ()
    has_shares: bool = True


def plan(service: str, result_bytes: float, *after: int) -> StagePlan:
    """Return one stage; `after` are the indices of the stages that it reads."""
    return StagePlan(service=service, after=after, result_bytes=result_bytes)


SERVICES = (
    PieceService(
        name="read",
        n_slots=1,
        batch=10,
        call_s=0.2,
        piece_s=0.017,
        memory_bytes=22e6,
        retention_s=4.0,
    ),
    PieceService(
        name="check",
        n_slots=1,
        batch=43,
        call_s=0.2,
        piece_s=0.004,
        memory_bytes=5.6e6,
        retention_s=4.0,
    ),
    PieceService(
        name="draw",
        n_slots=1,
        batch=64,
        call_s=0.2,
        piece_s=0.0027,
        memory_bytes=0.84e6,
        retention_s=4.0,
    ),
)
LONG = Kind(
    name="long",
    per_s=34.0,
    objective_s=1.1,
    deadline_s=6.0,
    event_timeout_s=4.4,
    value=4.0,
    priority=1,
    engine_s=0.3,
    stages=(plan("read", 1.5e6),),
    n_pieces=(1.75,),
    work=(1.0,),
)
URGENT = Kind(
    name="urgent",
    per_s=48.0,
    objective_s=1.9,
    deadline_s=6.0,
    event_timeout_s=7.6,
    value=2.0,
    priority=0,
    engine_s=0.25,
    stages=(plan("read", 8e3), plan("check", 6e4, 0), plan("draw", 6e3, 1)),
    n_pieces=(1, 6, 10),
    work=(0.3, 1.0, 1.0),
)
CHAT = Kind(
    name="chat",
    per_s=42.0,
    objective_s=1.9,
    deadline_s=20.0,
    event_timeout_s=7.6,
    value=0.5,
    priority=2,
    engine_s=0.15,
    stages=(
        plan("read", 1.5e6),
        plan("read", 8e3),
        plan("check", 6e4, 1),
        plan("draw", 6e3, 2),
    ),
    n_pieces=(0.6, 1, 6, 10),
    work=(1.0, 0.3, 1.0, 1.0),
)
BUSY_DAY = Load(
    kinds=(LONG, URGENT, CHAT),
    services=SERVICES,
    n_workers={"read": 10, "check": 8, "draw": 8},
    bursts=(
        Burst(kind="long", at_s=6, duration_s=6, factor=2.5),
        Burst(kind="urgent", at_s=15, duration_s=5.5, factor=2.3),
        Burst(kind="", at_s=26, duration_s=4, factor=1.7),
    ),
)
SMALL_SERVICES = (
    PieceService(
        name="read",
        n_slots=1,
        batch=4,
        call_s=0.24,
        piece_s=0.05,
        memory_bytes=4.8e6,
        retention_s=4.0,
    ),
    PieceService(
        name="check",
        n_slots=1,
        batch=13,
        call_s=0.24,
        piece_s=0.015,
        memory_bytes=1.4e6,
        retention_s=4.0,
    ),
    PieceService(
        name="draw",
        n_slots=1,
        batch=19,
        call_s=0.24,
        piece_s=0.011,
        memory_bytes=0.2e6,
        retention_s=4.0,
    ),
)
CASE = Kind(
    name="long",
    per_s=3.3,
    objective_s=1.4,
    deadline_s=15.0,
    event_timeout_s=5.6,
    value=6.0,
    priority=1,
    engine_s=0.2,
    stages=(plan("read", 0.8e6),),
    n_pieces=(1.75,),
    work=(1.0,),
)
LETTER = Kind(
    name="urgent",
    per_s=9.2,
    objective_s=1.9,
    deadline_s=15.0,
    event_timeout_s=7.6,
    value=1.7,
    priority=0,
    engine_s=0.1,
    stages=(plan("read", 8e3), plan("check", 6e4, 0), plan("draw", 6e3, 1)),
    n_pieces=(1, 4, 6),
    work=(0.3, 1.0, 1.0),
)
EVIDENCE = Kind(
    name="chat",
    per_s=5.0,
    objective_s=2.0,
    deadline_s=6.0,
    event_timeout_s=8.0,
    value=0.65,
    priority=2,
    engine_s=0.15,
    stages=(
        plan("read", 0.8e6),
        plan("read", 8e3),
        plan("check", 6e4, 1),
        plan("draw", 6e3, 2),
    ),
    n_pieces=(0.6, 1, 4, 6),
    work=(1.0, 0.3, 1.0, 1.0),
)
TIGHT_DAY = Load(
    kinds=(CASE, LETTER, EVIDENCE),
    services=SMALL_SERVICES,
    n_workers={"read": 4, "check": 4, "draw": 4},
    bursts=(
        Burst(kind="long", at_s=4, duration_s=6.5, factor=2.4),
        Burst(kind="urgent", at_s=14, duration_s=6.5, factor=2.2),
        Burst(kind="", at_s=25, duration_s=4, factor=1.7),
    ),
    length_s=34.0,
)
UNEVEN_DAY = replace(
    TIGHT_DAY,
    kinds=tuple(replace(kind, per_s=1.5 * kind.per_s) for kind in TIGHT_DAY.kinds),
    size_spread=0.4,
)
"""More requests than can be served, and results of sizes other than published."""
WAVE_S = 11.0
"""Period of a load that swings around what the workers can serve."""

WAVE_SERVICES = (
    SERVICES[0],
    replace(SERVICES[1], batch=38, piece_s=0.00453, memory_bytes=5.1e6),
    replace(SERVICES[2], batch=56, piece_s=0.0031, memory_bytes=0.75e6),
)
WAVE_DAY = Load(
    kinds=(
        replace(LONG, per_s=19.6, n_pieces=(1.75,)),
        replace(URGENT, per_s=48.4),
        replace(CHAT, per_s=24.2),
    ),
    services=WAVE_SERVICES,
    n_workers={"read": 9, "check": 8, "draw": 9},
    bursts=tuple(
        Burst(
            kind="",
            at_s=at_s,
            duration_s=WAVE_S / 2,
            factor=1.27 if number % 2 == 0 else 0.73,
        )
        for number, at_s in enumerate(WAVE_S / 2 * each for each in range(6))
    )
    + tuple(
        Burst(kind="urgent", at_s=at_s, duration_s=3.0, factor=2.0)
        for at_s in (1.0, 12.0, 23.0)
    ),
    length_s=33.0,
)
"""Bursts at the crests of a wave, each of which is over before its callers leave."""
