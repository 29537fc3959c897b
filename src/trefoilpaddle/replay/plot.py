"""Plots a round: attainment over time and cost by stage, for both policies."""

from pathlib import Path
from typing import Final

from .figures import attainment_of
from .outcomes import AuditedReplay, Round

BIN_S: Final = 1.0


def plot_round(round_: Round, path: Path) -> None:
    """Write a plot of a round to `path`; the suffix determines the file format."""
    # Imported here because plots are optional and the import is slow.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (over_time, by_stage) = pyplot.subplots(1, 2, figsize=(12, 4))
    for audited in (round_.baseline, round_.product):
        times, shares = _attainment_over_time(round_, audited)
        over_time.plot(times, shares, label=audited.figures.label)
    window = round_.trace.head.disturbed
    if window is not None:
        over_time.axvspan(window.begin_s, window.end_s, alpha=0.15, color="red")
    over_time.set_xlabel("arrival, s")
    over_time.set_ylabel("attainment")
    over_time.set_ylim(0.0, 1.05)
    over_time.legend()
    for offset, audited in ((-0.2, round_.baseline), (0.2, round_.product)):
        stages = audited.figures.stages
        positions = [index + offset for index in range(len(stages))]
        by_stage.bar(positions, [stage.cost_s for stage in stages], 0.4, alpha=0.4)
        by_stage.bar(positions, [stage.wasted_s for stage in stages], 0.4, color="red")
    names = [stage.service for stage in round_.product.figures.stages]
    by_stage.set_xticks(range(len(names)), names, rotation=20)
    by_stage.set_ylabel("target-seconds (red: wasted)")
    head = round_.trace.head
    figure.suptitle(f"{head.deployment} {head.name}, seed {head.seed}")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _attainment_over_time(
    round_: Round, audited: AuditedReplay
) -> tuple[list[float], list[float]]:
    requests = round_.trace.requests
    n_bins = int(round_.trace.head.duration_s / BIN_S) + 1
    times = [index * BIN_S for index in range(n_bins)]
    shares = [
        attainment_of(
            [
                answer
                for answer in audited.replayed.answers
                if begin_s <= requests[answer.index].at_s < begin_s + BIN_S
            ]
        )
        for begin_s in times
    ]
    return times, shares
