"""Prints a round: figures of baseline and product, with their ratio."""

from collections.abc import Iterator, Sequence

from rich.console import Console
from rich.table import Table

from .figures import Figures, GroupFigures, Quantiles
from .outcomes import AuditedReplay, OutcomeResult, Round, outcome_results


def print_round(round_: Round, console: Console) -> None:
    """Print all figures of a round and whether the stated outcomes hold."""
    head = round_.trace.head
    n_allowed = sum(round_.allowed)
    console.print(
        f"[bold]{head.deployment} {head.name}[/] seed {head.seed}, "
        f"time scale {head.time_scale:g}, offered {head.offered_share:.2f} of "
        f"capacity, capacity allows {n_allowed} of {len(round_.allowed)}"
    )
    console.print(_main_table(round_))
    console.print(_stage_table(round_))
    console.print(_group_table("owner", round_))
    console.print(_group_table("class of work", round_))
    console.print(_refusal_table(round_))
    for audited in (round_.baseline, round_.product):
        print_violations(audited, console)
    print_outcomes(outcome_results(round_), console)


def print_violations(audited: AuditedReplay, console: Console) -> None:
    """Print the violations of invariants."""
    for violation in audited.violations:
        console.print(
            f"[red]{audited.figures.label} violates[/] {violation.rule}: "
            f"{violation.request_id} {violation.detail}"
        )


def print_outcomes(outcomes: Sequence[OutcomeResult], console: Console) -> None:
    """Print each stated outcome with its measured value."""
    for outcome in outcomes:
        stated = outcome.stated
        word = "[green]holds[/]" if outcome.holds else "[red]not reached[/]"
        least = f" at least {stated.at_least:g}" if stated.at_least is not None else ""
        most = f" at most {stated.at_most:g}" if stated.at_most is not None else ""
        name = stated.measure.value
        console.print(f"{word} {name}{least}{most}: {outcome.value:.3f}")


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify="left")
    for index, column in enumerate(columns):
        table.add_column(column, justify="left" if index == 0 else "right")
    return table


def _main_table(round_: Round) -> Table:
    base, product = round_.baseline.figures, round_.product.figures
    table = _table("whole", "", "baseline", "product", "ratio")
    for name, before, after in _main_rows(base, product):
        table.add_row(name, _number(before), _number(after), _ratio(before, after))
    return table


def _main_rows(base: Figures, product: Figures) -> Iterator[tuple[str, float, float]]:
    names = sorted({*base.verdicts, *product.verdicts})
    yield "requests", base.n_sent, product.n_sent
    for name in names:
        yield name, base.verdicts.get(name, 0), product.verdicts.get(name, 0)
    yield "attainment", base.attainment, product.attainment
    yield "cost per met, s", base.cost_per_met_s, product.cost_per_met_s
    yield "wasted share of cost", base.wasted_share, product.wasted_share
    yield "extra calls share", base.extra_calls_share, product.extra_calls_share
    yield from _quantile_rows("latency", base.latency, product.latency)
    yield from _quantile_rows("first token", base.first_token, product.first_token)
    yield from _quantile_rows(
        "between tokens", base.between_tokens, product.between_tokens
    )
    yield from _quantile_rows(
        "given up after", base.given_up_latency, product.given_up_latency
    )
    yield "player late p99, s", base.late_start_p99_s, product.late_start_p99_s
    yield "records lost", base.n_lost_records, product.n_lost_records


def _quantile_rows(
    name: str, base: Quantiles, product: Quantiles
) -> Iterator[tuple[str, float, float]]:
    yield f"{name} p50, s", base.p50_s, product.p50_s
    yield f"{name} p95, s", base.p95_s, product.p95_s
    yield f"{name} p99, s", base.p99_s, product.p99_s


def _stage_table(round_: Round) -> Table:
    table = _table(
        "cost by stage, target-seconds",
        "service",
        "runs",
        "",
        "cost",
        "",
        "wasted",
        "",
        "per met",
        "",
        "ratio",
    )
    before = {stage.service: stage for stage in round_.baseline.figures.stages}
    for stage in round_.product.figures.stages:
        base = before.get(stage.service)
        table.add_row(
            stage.service,
            str(base.n_runs) if base else "-",
            str(stage.n_runs),
            _number(base.cost_s) if base else "-",
            _number(stage.cost_s),
            _number(base.wasted_s) if base else "-",
            _number(stage.wasted_s),
            _number(base.cost_per_met_s) if base else "-",
            _number(stage.cost_per_met_s),
            _ratio(base.cost_per_met_s, stage.cost_per_met_s) if base else "-",
        )
    return table


def _group_table(kind: str, round_: Round) -> Table:
    table = _table(
        f"by {kind}", kind, "sent", "baseline", "product", "ratio", "cost", "", "p95, s"
    )
    base, product = (
        audited.figures.owners if kind == "owner" else audited.figures.classes
        for audited in (round_.baseline, round_.product)
    )
    before = {group.name: group for group in base}
    for group in product:
        table.add_row(*_group_row(before[group.name], group))
    return table


def _group_row(base: GroupFigures, group: GroupFigures) -> Iterator[str]:
    yield group.name
    yield str(group.n_sent)
    yield _number(base.attainment)
    yield _number(group.attainment)
    yield _ratio(base.attainment, group.attainment)
    yield _number(base.cost_s)
    yield _number(group.cost_s)
    yield _number(group.latency.p95_s)


def _refusal_table(round_: Round) -> Table:
    table = _table("not answered in full", "what, why, stage", "baseline", "product")
    base, product = round_.baseline.figures.refusals, round_.product.figures.refusals
    for name in sorted({*base, *product}):
        table.add_row(name, str(base.get(name, 0)), str(product.get(name, 0)))
    return table


def _number(value: float) -> str:
    if value != value:
        return "-"
    return f"{value:.0f}" if value == int(value) and value > 1 else f"{value:.3f}"


def _ratio(before: float, after: float) -> str:
    return f"{after / before:.2f}" if before and before == before else "-"
