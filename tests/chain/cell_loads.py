"""Loads of a modelled cell: what comes, who makes it, and the bursts."""

from dataclasses import dataclass, replace

from trefoilpaddle.state.chain.routes import PieceService, StagePlan


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request.

    Parameters
    ----------
    per_s : float
        How many come in a second.
    patience_s : float
        Time after which a caller leaves if its answer has not begun.
    engine_s : float
        Mean from the last stage to the first event.
    n_pieces : tuple of float
        Mean pieces of each stage.
    work : tuple of float
        Share of the published time that a piece of each stage takes.
    """

    name: str
    per_s: float
    aim_s: float
    deadline_s: float
    patience_s: float
    worth: float
    priority: int
    engine_s: float
    stages: tuple[StagePlan, ...]
    n_pieces: tuple[float, ...]
    work: tuple[float, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """More of one kind, or of all if it is empty, for a while."""

    kind: str
    at_s: float
    for_s: float
    times: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What comes, and who makes it.

    Parameters
    ----------
    size_spread : float
        Share by which results are smaller or larger than published, at most.
    """

    kinds: tuple[Kind, ...]
    services: tuple[PieceService, ...]
    n_workers: dict[str, int]
    bursts: tuple[Burst, ...] = ()
    length_s: float = 30.0
    size_spread: float = 0.0


def plan(service: str, result_bytes: float, *after: int) -> StagePlan:
    """Return one stage."""
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
    aim_s=1.1,
    deadline_s=6.0,
    patience_s=4.4,
    worth=4.0,
    priority=1,
    engine_s=0.3,
    stages=(plan("read", 1.5e6),),
    n_pieces=(1.75,),
    work=(1.0,),
)
URGENT = Kind(
    name="urgent",
    per_s=48.0,
    aim_s=1.9,
    deadline_s=6.0,
    patience_s=7.6,
    worth=2.0,
    priority=0,
    engine_s=0.25,
    stages=(plan("read", 8e3), plan("check", 6e4, 0), plan("draw", 6e3, 1)),
    n_pieces=(1, 6, 10),
    work=(0.3, 1.0, 1.0),
)
CHAT = Kind(
    name="chat",
    per_s=42.0,
    aim_s=1.9,
    deadline_s=20.0,
    patience_s=7.6,
    worth=0.5,
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
        Burst(kind="long", at_s=6, for_s=6, times=2.5),
        Burst(kind="urgent", at_s=15, for_s=5.5, times=2.3),
        Burst(kind="", at_s=26, for_s=4, times=1.7),
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
    aim_s=1.4,
    deadline_s=15.0,
    patience_s=5.6,
    worth=6.0,
    priority=1,
    engine_s=0.2,
    stages=(plan("read", 0.8e6),),
    n_pieces=(1.75,),
    work=(1.0,),
)
LETTER = Kind(
    name="urgent",
    per_s=9.2,
    aim_s=1.9,
    deadline_s=15.0,
    patience_s=7.6,
    worth=1.7,
    priority=0,
    engine_s=0.1,
    stages=(plan("read", 8e3), plan("check", 6e4, 0), plan("draw", 6e3, 1)),
    n_pieces=(1, 4, 6),
    work=(0.3, 1.0, 1.0),
)
EVIDENCE = Kind(
    name="chat",
    per_s=5.0,
    aim_s=2.0,
    deadline_s=6.0,
    patience_s=8.0,
    worth=0.65,
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
        Burst(kind="long", at_s=4, for_s=6.5, times=2.4),
        Burst(kind="urgent", at_s=14, for_s=6.5, times=2.2),
        Burst(kind="", at_s=25, for_s=4, times=1.7),
    ),
    length_s=34.0,
)
UNEVEN_DAY = replace(
    TIGHT_DAY,
    kinds=tuple(replace(kind, per_s=1.5 * kind.per_s) for kind in TIGHT_DAY.kinds),
    size_spread=0.4,
)
"""More comes than can be done, and results are larger or smaller than published."""
