"""The figures of one replay of a trace."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

from .results import Answer, Replayed, TargetRun, Verdict
from .trace import Request, Trace

_MICROSECONDS: Final = 1_000_000
_MAX_S: Final = 600
_DIGITS: Final = 3

NameOf = Callable[[Request], str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Quantiles:
    """Quantiles of durations in seconds, and their number; NaN without values."""

    n: int
    p50_s: float
    p95_s: float
    p99_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupFigures:
    """Figures of the requests of one owner or one class of work.

    Parameters
    ----------
    name : str
        Name of the owner or class of work.
    n_sent, n_in_time : int
        Requests sent, and answered in full within their deadline.
    attainment : float
        Share of the sent requests that were answered in full and in time.
    cost_s : float
        Target-seconds used for the group.
    latency : Quantiles
        Latency of the answers in time.
    """

    name: str
    n_sent: int
    n_in_time: int
    attainment: float
    cost_s: float
    latency: Quantiles


@dataclass(frozen=True, slots=True, kw_only=True)
class StageFigures:
    """Target-seconds that the targets of one service used.

    Parameters
    ----------
    service : str
        The service.
    n_runs : int
        Calls that its targets ran.
    cost_s : float
        Target-seconds.
    late_s, cancelled_s, failed_s, repeated_s : float
        Target-seconds, of `cost_s`, used for requests that were not answered in
        time, cancelled calls, failed calls, and repeated runs of a stage.
    cost_per_met_s : float
        Target-seconds for each request answered in time.
    """

    service: str
    n_runs: int
    cost_s: float
    late_s: float
    cancelled_s: float
    failed_s: float
    repeated_s: float
    cost_per_met_s: float

    @property
    def wasted_s(self) -> float:
        """Target-seconds that contributed to no request answered in time."""
        return self.late_s + self.cancelled_s + self.failed_s + self.repeated_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """All figures of one replay; shares are fractions from 0 to 1.

    Parameters
    ----------
    label : str
        Name of the replay, after its policy.
    n_sent : int
        Requests sent.
    verdicts : dict of str to int
        Number of requests by verdict.
    attainment : float
        Share of requests answered in full within their deadline.
    wasted_share : float
        Share of the cost that contributed to no request answered in time.
    extra_calls_share : float
        Repeated runs of a stage of a request over first runs.
    cost_per_met_s : float
        Target-seconds of all stages for each request answered in time.
    refusals : dict of str to int
        Requests refused or failed, by reason and stage.
    owners, classes : tuple of GroupFigures
        Figures by client account and by class of work.
    stages : tuple of StageFigures
        Figures by service.
    latency, first_token, between_tokens : Quantiles
        Latency, time to first token and time between tokens of the answers in
        time.
    given_up_latency : Quantiles
        Time after which callers learned that their request was refused or failed.
    n_lost_records : int
        Targets whose records could not be read.
    late_start_p99_s : float
        Delay with which the player sent requests; a large value invalidates the
        other figures.
    """

    label: str
    n_sent: int
    verdicts: dict[str, int]
    attainment: float
    wasted_share: float
    extra_calls_share: float
    cost_per_met_s: float
    refusals: dict[str, int]
    owners: tuple[GroupFigures, ...]
    classes: tuple[GroupFigures, ...]
    stages: tuple[StageFigures, ...]
    latency: Quantiles
    first_token: Quantiles
    between_tokens: Quantiles
    given_up_latency: Quantiles
    n_lost_records: int
    late_start_p99_s: float


def quantiles_of(values_s: Iterable[float]) -> Quantiles:
    """Return the quantiles of `values_s`; NaN values are skipped."""
    histogram = HdrHistogram(1, _MAX_S * _MICROSECONDS, _DIGITS)
    for value_s in values_s:
        if value_s == value_s:
            histogram.record_value(max(1, int(value_s * _MICROSECONDS)))
    n = histogram.get_total_count()
    if not n:
        nan = float("nan")
        return Quantiles(n=0, p50_s=nan, p95_s=nan, p99_s=nan)
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percent) / _MICROSECONDS
        for percent in (50, 95, 99)
    )
    return Quantiles(n=n, p50_s=p50, p95_s=p95, p99_s=p99)


def is_met(answer: Answer) -> bool:
    """Return True if the request was answered in full within its deadline."""
    return answer.verdict is Verdict.IN_TIME


def attainment_of(answers: Sequence[Answer]) -> float:
    """Return the share of `answers` in full and in time; NaN without answers."""
    if not answers:
        return float("nan")
    return sum(map(is_met, answers)) / len(answers)


def figures_of(trace: Trace, replayed: Replayed) -> Figures:
    """Return all figures of one replay of `trace`."""
    answers = replayed.answers
    met = [answer for answer in answers if is_met(answer)]
    refused_or_failed = {Verdict.NOT_RUN, Verdict.FAILED}
    stages = _stages(replayed)
    cost_s = sum(stage.cost_s for stage in stages)
    cost_of = _cost_by_request(replayed.runs)
    late_starts = quantiles_of(replayed.late_starts_s)
    return Figures(
        label=replayed.label,
        n_sent=len(answers),
        verdicts=dict(Counter(answer.verdict.value for answer in answers)),
        attainment=attainment_of(answers),
        wasted_share=_ratio(sum(stage.wasted_s for stage in stages), cost_s),
        extra_calls_share=_extra_calls_share(replayed.runs),
        cost_per_met_s=_ratio(cost_s, len(met)),
        refusals=_refusals(answers),
        owners=_groups(trace, answers, cost_of, lambda request: request.account),
        classes=_groups(trace, answers, cost_of, lambda request: request.class_of_work),
        stages=stages,
        latency=quantiles_of(answer.latency_s for answer in met),
        first_token=quantiles_of(answer.first_token_s for answer in met),
        between_tokens=quantiles_of(gap for answer in met for gap in answer.gaps_s),
        given_up_latency=quantiles_of(
            answer.latency_s
            for answer in answers
            if answer.verdict in refused_or_failed
        ),
        n_lost_records=replayed.n_lost_records,
        late_start_p99_s=late_starts.p99_s,
    )


def _ratio(part: float, total: float) -> float:
    return part / total if total else float("nan")


def _refusals(answers: Sequence[Answer]) -> dict[str, int]:
    counts = Counter(
        " ".join(filter(None, (answer.verdict.value, answer.reason, answer.stage)))
        for answer in answers
        if answer.verdict not in {Verdict.IN_TIME, Verdict.LATE}
    )
    return dict(counts.most_common())


def _cost_by_request(runs: Sequence[TargetRun]) -> Mapping[str, float]:
    cost_of: dict[str, float] = defaultdict(float)
    for run in runs:
        cost_of[run.request_id] += run.cost_s
    return cost_of


def _groups(
    trace: Trace,
    answers: Sequence[Answer],
    cost_of: Mapping[str, float],
    name_of: NameOf,
) -> tuple[GroupFigures, ...]:
    grouped: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        grouped[name_of(trace.requests[answer.index])].append(answer)
    return tuple(_group(name, grouped[name], cost_of) for name in sorted(grouped))


def _group(
    name: str, answers: Sequence[Answer], cost_of: Mapping[str, float]
) -> GroupFigures:
    met = [answer for answer in answers if is_met(answer)]
    return GroupFigures(
        name=name,
        n_sent=len(answers),
        n_in_time=len(met),
        attainment=attainment_of(answers),
        cost_s=sum(cost_of.get(answer.request_id, 0.0) for answer in answers),
        latency=quantiles_of(answer.latency_s for answer in met),
    )


def _extra_calls_share(runs: Sequence[TargetRun]) -> float:
    n_first = len({(run.request_id, run.service, run.path) for run in runs})
    return _ratio(len(runs) - n_first, n_first)


def _stages(replayed: Replayed) -> tuple[StageFigures, ...]:
    met = {answer.request_id for answer in replayed.answers if is_met(answer)}
    by_service: dict[str, list[TargetRun]] = defaultdict(list)
    for run in replayed.runs:
        by_service[run.service].append(run)
    return tuple(
        _stage(service, by_service[service], met) for service in sorted(by_service)
    )


def _stage(service: str, runs: Sequence[TargetRun], met: set[str]) -> StageFigures:
    cost_s: dict[str, float] = defaultdict(float)
    seen: set[tuple[str, str]] = set()
    for run in runs:
        cost_s[_cost_kind(run, met, seen)] += run.cost_s
    total_s = sum(cost_s.values())
    return StageFigures(
        service=service,
        n_runs=len(runs),
        cost_s=total_s,
        late_s=cost_s["late"],
        cancelled_s=cost_s["cancelled"],
        failed_s=cost_s["failed"],
        repeated_s=cost_s["repeated"],
        cost_per_met_s=_ratio(total_s, len(met)),
    )


def _cost_kind(run: TargetRun, met: set[str], seen: set[tuple[str, str]]) -> str:
    if run.outcome in {"cancelled", "running"}:
        return "cancelled"
    if run.outcome != "done":
        return "failed"
    key = (run.request_id, run.path)
    if key in seen:
        return "repeated"
    seen.add(key)
    return "useful" if run.request_id in met else "late"
