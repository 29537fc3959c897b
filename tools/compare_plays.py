"""Compare two sets of simulation runs with the same days and seeds.

The runs are read from journal entries. ``python -m tools.compare_plays SITE BEFORE
AFTER`` compares the runs whose reason begins with BEFORE with those whose reason
begins with AFTER, in pairs of the same day and seed. Without AFTER, it prints the
mean and the spread of the runs of one set.
"""

import statistics
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import fire
import orjson

JOURNAL = Path(__file__).resolve().parent.parent / "journal"


@dataclass(frozen=True, slots=True, kw_only=True)
class SimulatedDay:
    """One simulated day.

    Parameters
    ----------
    value : float
        Value of the day after deduction of prices.
    served : float
        Share of the possible credit that was earned.
    """

    day: str
    seed: int
    value: float
    served: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Pair:
    """Runs of the same day and seed from the two sets."""

    before: SimulatedDay
    after: SimulatedDay

    @property
    def gain(self) -> float:
        """Value of the second run minus that of the first."""
        return self.after.value - self.before.value


def plays(journal: Path, site: str, reason: str) -> Iterator[SimulatedDay]:
    """Yield the runs of a site whose reason begins with `reason`, oldest first."""
    for path in sorted(journal.glob("*.json")):
        entry = orjson.loads(path.read_bytes())
        if entry.get("site") != site or not entry.get("why", "").startswith(reason):
            continue
        for day in entry.get("days", ()):
            yield SimulatedDay(
                day=day["name"],
                seed=day["seed"],
                value=day["G"],
                served=day["served"],
            )


def pairs(before: Iterator[SimulatedDay], after: Iterator[SimulatedDay]) -> list[Pair]:
    """Return pairs of runs in both sets; the newest run of a day and seed counts."""
    first = {(run.day, run.seed): run for run in before}
    second = {(run.day, run.seed): run for run in after}
    both = sorted(first.keys() & second.keys())
    return [Pair(before=first[key], after=second[key]) for key in both]


def line(name: str, chosen: list[Pair]) -> str:
    """Return the line of the table for the pairs in `chosen`."""
    gains = [pair.gain for pair in chosen]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    before = [pair.before for pair in chosen]
    after = [pair.after for pair in chosen]
    return (
        f"{name:12} {len(chosen):3}"
        f" {statistics.mean(p.value for p in before):7.3f}"
        f" {statistics.mean(p.value for p in after):7.3f}"
        f" {statistics.mean(gains):+7.3f} {spread / len(gains) ** 0.5:6.3f}"
        f" {statistics.mean(p.served for p in before):7.3f}"
        f" {statistics.mean(p.served for p in after):7.3f}"
    )


def table(chosen: list[Pair]) -> list[str]:
    """Return the header, a line for each day and one for all days."""
    by_day: dict[str, list[Pair]] = defaultdict(list)
    for pair in chosen:
        by_day[pair.before.day].append(pair)
    head = "day            n  before   after    gain  error  served, then"
    lines = [head, *(line(day, by_day[day]) for day in sorted(by_day))]
    return [*lines, line("all", chosen)] if chosen else lines


def spread_table(chosen: list[SimulatedDay]) -> list[str]:
    """Return mean and spread of the runs of each day and of all days, with a header."""
    by_day: dict[str, list[float]] = defaultdict(list)
    for run in chosen:
        by_day[run.day].append(run.value)
        by_day["all"].append(run.value)
    days = sorted(by_day, key=lambda day: (day == "all", day))
    lines = ["day            n    mean  spread   least    most"]
    for day in days:
        values = by_day[day]
        spread = statistics.stdev(values) if len(values) > 1 else 0.0
        lines.append(
            f"{day:12} {len(values):3} {statistics.mean(values):7.3f}"
            f" {spread:7.3f} {min(values):7.3f} {max(values):7.3f}"
        )
    return lines


def main(site: str, before: str, after: str = "", journal: str = str(JOURNAL)) -> None:
    """Print the difference of two sets of runs, or the spread of one set."""
    folder = Path(journal)
    if not after:
        print("\n".join(spread_table(list(plays(folder, site, before)))))
        return
    found = pairs(plays(folder, site, before), plays(folder, site, after))
    print("\n".join(table(found)))


if __name__ == "__main__":
    fire.Fire(main)
