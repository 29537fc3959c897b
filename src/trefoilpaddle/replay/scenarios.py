"""The load and the faults of each scenario, and the outcomes stated for it."""

from dataclasses import dataclass
from typing import Final

from .trace import (
    CutDomain,
    Fault,
    FreezeTarget,
    KillTarget,
    Measure,
    SlowService,
    StaleLoad,
    StatedOutcome,
    Window,
)
from .workloads import Workload

DURATION_S: Final = 18.0
BEGIN_S: Final = 5.0
"""Start of the fault or burst; a trace is undisturbed before it."""

CALM_SHARE: Final = 0.6
BUSY_SHARE: Final = 0.8
OVERLOAD_SHARE: Final = 1.5
BURST_FACTOR: Final = 7.0
SLOW_FACTOR: Final = 5.0

PAUSE_S: Final = 10.0
LAG_S: Final = 5.0
DISTURBANCE_S: Final = 5.0
"""Duration of the disturbances without a duration of their own."""

SCENARIOS: Final = (
    "calm",
    "burst",
    "slow-stage",
    "dead-paused",
    "cut-domain",
    "stale-load",
    "overload",
)

_BUDGET = StatedOutcome(measure=Measure.EXTRA_CALLS_SHARE, at_most=0.1)
_NO_WORSE = StatedOutcome(measure=Measure.ATTAINMENT_RATIO, at_least=1.0)
_NEAR_BOUND = StatedOutcome(measure=Measure.ATTAINMENT_OF_BOUND, at_least=0.95)
_REPAIRED = StatedOutcome(measure=Measure.REPAIRED_OF_CALM, at_least=0.98)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Parameters of the traces of a scenario; see `trefoilpaddle.replay.trace.Head`."""

    offered_share: float
    duration_s: float = DURATION_S
    faults: tuple[Fault, ...] = ()
    disturbed: Window | None = None
    bursting_account: str = ""
    burst_factor: float = 1.0
    stated: tuple[StatedOutcome, ...]


def scenario_of(name: str, workload: Workload, time_scale: float) -> Scenario:
    """Return the scenario `name` for a workload.

    Raises
    ------
    ValueError
        If no scenario has that name.
    """
    disturbed = Window(begin_s=BEGIN_S, end_s=BEGIN_S + DISTURBANCE_S)
    match name:
        case "calm":
            return Scenario(offered_share=CALM_SHARE, stated=_calm_stated())
        case "burst":
            return Scenario(
                offered_share=CALM_SHARE,
                disturbed=disturbed,
                bursting_account=workload.accounts[0].account,
                burst_factor=BURST_FACTOR,
                stated=(
                    StatedOutcome(measure=Measure.WITHIN_SHARE_OF_CALM, at_least=0.98),
                    _NO_WORSE,
                    _BUDGET,
                ),
            )
        case "slow-stage":
            return _slow_stage(workload, disturbed)
        case "dead-paused":
            return _dead_paused(workload, time_scale)
        case "cut-domain":
            return _partitioned_domain(workload, disturbed)
        case "stale-load":
            return _stale_load(time_scale)
        case "overload":
            return Scenario(offered_share=OVERLOAD_SHARE, stated=_overload_stated())
        case _:
            raise ValueError(f"no scenario {name!r}; known: {', '.join(SCENARIOS)}")


def _calm_stated() -> tuple[StatedOutcome, ...]:
    return (
        _NO_WORSE,
        StatedOutcome(measure=Measure.COST_RATIO, at_most=0.9),
        _BUDGET,
    )


def _overload_stated() -> tuple[StatedOutcome, ...]:
    return (
        StatedOutcome(measure=Measure.ATTAINMENT_RATIO, at_least=2.0),
        StatedOutcome(measure=Measure.ATTAINMENT_OF_BOUND, at_least=0.9),
        StatedOutcome(measure=Measure.WASTED_SHARE, at_most=0.05),
        _BUDGET,
    )


def _slow_stage(workload: Workload, disturbed: Window) -> Scenario:
    slow = SlowService(
        at_s=disturbed.begin_s,
        duration_s=DISTURBANCE_S,
        service=workload.slowed_service,
        factor=SLOW_FACTOR,
    )
    return _fault_scenario((slow,), disturbed)


def _dead_paused(workload: Workload, time_scale: float) -> Scenario:
    pause_s = PAUSE_S * time_scale
    killed = KillTarget(at_s=BEGIN_S, target=workload.failing_target)
    paused = FreezeTarget(
        at_s=BEGIN_S, duration_s=pause_s, target=workload.paused_target
    )
    return _fault_scenario(
        (killed, paused), Window(begin_s=BEGIN_S, end_s=BEGIN_S + pause_s)
    )


def _partitioned_domain(workload: Workload, disturbed: Window) -> Scenario:
    partition = CutDomain(
        at_s=disturbed.begin_s,
        duration_s=DISTURBANCE_S,
        failure_domain=workload.cut_domain,
    )
    return _fault_scenario((partition,), disturbed)


def _fault_scenario(faults: tuple[Fault, ...], window: Window) -> Scenario:
    return Scenario(
        offered_share=CALM_SHARE,
        faults=faults,
        disturbed=window,
        stated=(_NEAR_BOUND, _REPAIRED, _BUDGET),
    )


def _stale_load(time_scale: float) -> Scenario:
    stale = StaleLoad(
        at_s=0.0, duration_s=DURATION_S, lag_s=round(LAG_S * time_scale, 3)
    )
    return Scenario(
        offered_share=BUSY_SHARE,
        faults=(stale,),
        stated=(StatedOutcome(measure=Measure.OF_FRESH, at_least=0.95), _BUDGET),
    )
