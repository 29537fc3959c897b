"""Compare two sets of plays of the same days and seeds, from journal entries.

``python -m tools.compare_plays SITE BEFORE AFTER``: plays whose reason begins with
BEFORE against those whose reason begins with AFTER, in pairs of a day and a seed.
Without AFTER, the mean of one set and how far its plays lie from one another.
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
class Play:
    """One played day.

    Parameters
    ----------
    worth : float
        What it was worth, prices taken off.
    served : float
        Share of the credit that was earned.
    """

    day: str
    seed: int
    worth: float
    served: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Pair:
    """The same day and seed, played by two programs."""

    before: Play
    after: Play

    @property
    def gain(self) -> float:
        """How much more the second is worth."""
        return self.after.worth - self.before.worth


def plays(journal: Path, site: str, reason: str) -> Iterator[Play]:
    """Yield the plays of a site whose reason begins so, oldest first."""
    for path in sorted(journal.glob("*.json")):
        entry = orjson.loads(path.read_bytes())
        if entry.get("site") != site or not entry.get("why", "").startswith(reason):
            continue
        for day in entry.get("days", ()):
            yield Play(
                day=day["name"],
                seed=day["seed"],
                worth=day["G"],
                served=day["served"],
            )


def pairs(before: Iterator[Play], after: Iterator[Play]) -> list[Pair]:
    """Return the plays that both sets have; the newest of each counts."""
    first = {(play.day, play.seed): play for play in before}
    second = {(play.day, play.seed): play for play in after}
    both = sorted(first.keys() & second.keys())
    return [Pair(before=first[key], after=second[key]) for key in both]


def line(name: str, chosen: list[Pair]) -> str:
    """Return one line of the table."""
    gains = [pair.gain for pair in chosen]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    before = [pair.before for pair in chosen]
    after = [pair.after for pair in chosen]
    return (
        f"{name:12} {len(chosen):3}"
        f" {statistics.mean(p.worth for p in before):7.3f}"
        f" {statistics.mean(p.worth for p in after):7.3f}"
        f" {statistics.mean(gains):+7.3f} {spread / len(gains) ** 0.5:6.3f}"
        f" {statistics.mean(p.served for p in before):7.3f}"
        f" {statistics.mean(p.served for p in after):7.3f}"
    )


def table(chosen: list[Pair]) -> list[str]:
    """Return the lines for each day, and for all together."""
    by_day: dict[str, list[Pair]] = defaultdict(list)
    for pair in chosen:
        by_day[pair.before.day].append(pair)
    head = "day            n  before   after    gain  error  served, then"
    lines = [head, *(line(day, by_day[day]) for day in sorted(by_day))]
    return [*lines, line("all", chosen)] if chosen else lines


def spread_table(chosen: list[Play]) -> list[str]:
    """Return the mean and the spread of each day's plays, and of all together."""
    by_day: dict[str, list[float]] = defaultdict(list)
    for play in chosen:
        by_day[play.day].append(play.worth)
        by_day["all"].append(play.worth)
    days = sorted(by_day, key=lambda day: (day == "all", day))
    lines = ["day            n    mean  spread   least    most"]
    for day in days:
        worths = by_day[day]
        spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
        lines.append(
            f"{day:12} {len(worths):3} {statistics.mean(worths):7.3f}"
            f" {spread:7.3f} {min(worths):7.3f} {max(worths):7.3f}"
        )
    return lines


def main(site: str, before: str, after: str = "", journal: str = str(JOURNAL)) -> None:
    """Print how two sets of plays differ, or how one set is spread."""
    folder = Path(journal)
    if not after:
        print("\n".join(spread_table(list(plays(folder, site, before)))))
        return
    found = pairs(plays(folder, site, before), plays(folder, site, after))
    print("\n".join(table(found)))


if __name__ == "__main__":
    fire.Fire(main)
