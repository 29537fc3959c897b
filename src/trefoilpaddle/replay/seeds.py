"""Prints medians and ranges of the main figures and outcomes over several seeds."""

import statistics
from collections.abc import Iterator, Sequence

from rich.console import Console
from rich.table import Table

from .outcomes import Round, outcome_results


def print_seeds(rounds: Sequence[Round], console: Console) -> None:
    """Print the median, minimum and maximum of each main figure."""
    table = Table(title=f"over {len(rounds)} seeds", title_justify="left")
    for column in ("figure", "median", "least", "greatest"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    for name, values in _figures(rounds):
        numbers = (statistics.median(values), min(values), max(values))
        table.add_row(name, *(f"{number:.3f}" for number in numbers))
    console.print(table)


def _figures(rounds: Sequence[Round]) -> Iterator[tuple[str, list[float]]]:
    for label in ("baseline", "product"):
        figures = [getattr(round_, label).figures for round_ in rounds]
        yield f"attainment, {label}", [each.attainment for each in figures]
        yield f"cost per met, {label}, s", [each.cost_per_met_s for each in figures]
        yield f"wasted share, {label}", [each.wasted_share for each in figures]
        yield f"latency p95, {label}, s", [each.latency.p95_s for each in figures]
    outcomes = [outcome_results(round_) for round_ in rounds]
    for index, first in enumerate(outcomes[0]):
        yield first.stated.measure.value, [each[index].value for each in outcomes]
