"""Compares two rules for what a limited cache keeps, on recorded traces.

The plain rule keeps what was used last. The other keeps a new item only where
the cost that it saves exceeds the cost lost with what is evicted for it, after
"Optimal File Placement for En-Route Web Caching", for a single cache: the
saving of an item is how often it is asked for times what a miss costs.
"""

import random
import statistics
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Protocol

import fire
from result import Err, Ok

from .trace import read_trace

HALF_LIVES_S: Final = (5.0, 20.0)
CAPACITY_SHARES: Final = (0.1, 0.25, 0.5)
N_ADAPTERS: Final = 340
N_ADAPTER_USES: Final = 12_000
ADAPTER_USES_PER_S: Final = 100.0
ADAPTER_SHIFT_S: Final = 60.0
ZIPF_POWER: Final = 1.0
SEEDS: Final = (1, 2, 3)


@dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """One use of an item.

    Parameters
    ----------
    at_s : float
        When.
    item : str
        What.
    size : float
        Room that it takes.
    cost : float
        What a miss costs.
    """

    at_s: float
    item: str
    size: float
    cost: float


class CacheRule(Protocol):
    """A cache of limited capacity."""

    def use(self, use: Use) -> bool:
        """Return True on a hit; on a miss, keep the item or not."""
        ...


class LeastRecentlyUsed:
    """Keeps every item used and evicts the one not used for the longest."""

    __slots__ = ("_capacity", "_items", "_used")

    def __init__(self, *, capacity: float) -> None:
        self._capacity = capacity
        self._used = 0.0
        self._items: OrderedDict[str, float] = OrderedDict()

    def use(self, use: Use) -> bool:
        """Return True on a hit; on a miss, keep the item."""
        if use.item in self._items:
            self._items.move_to_end(use.item)
            return True
        if use.size > self._capacity:
            return False
        self._items[use.item] = use.size
        self._used += use.size
        while self._used > self._capacity:
            _, size = self._items.popitem(last=False)
            self._used -= size
        return False


@dataclass(slots=True, kw_only=True)
class _Asked:
    """How often an item is asked for, fading, as of `at_s`."""

    count: float
    at_s: float
    size: float
    cost: float


class CostAwareCache:
    """Keeps a new item only if its saving exceeds the loss of what must go.

    Parameters
    ----------
    capacity : float
        Room of the cache.
    half_life_s : float
        In which a use counts half.
    """

    __slots__ = ("_asked", "_capacity", "_half_life_s", "_kept", "_used")

    def __init__(self, *, capacity: float, half_life_s: float) -> None:
        self._capacity = capacity
        self._half_life_s = half_life_s
        self._asked: dict[str, _Asked] = {}
        self._kept: set[str] = set()
        self._used = 0.0

    def use(self, use: Use) -> bool:
        """Return True on a hit; on a miss, keep the item if that pays."""
        count = 1.0 + self._count(use.item, use.at_s)
        self._asked[use.item] = _Asked(
            count=count, at_s=use.at_s, size=use.size, cost=use.cost
        )
        if use.item in self._kept:
            return True
        if use.size <= self._capacity:
            self._consider(use, saving=count * use.cost)
        return False

    def _count(self, item: str, now_s: float) -> float:
        asked = self._asked.get(item)
        if asked is None:
            return 0.0
        passed_s = now_s - asked.at_s
        return float(asked.count * 0.5 ** (passed_s / self._half_life_s))

    def _consider(self, use: Use, *, saving: float) -> None:
        evicted: list[str] = []
        loss, freed = 0.0, self._capacity - self._used
        for item in self._cheapest_first(use.at_s):
            if freed >= use.size or loss >= saving:
                break
            evicted.append(item)
            loss += self._saving(item, use.at_s)
            freed += self._asked[item].size
        if freed < use.size or loss >= saving:
            return
        for item in evicted:
            self._kept.remove(item)
            self._used -= self._asked[item].size
        self._kept.add(use.item)
        self._used += use.size

    def _saving(self, item: str, now_s: float) -> float:
        return self._count(item, now_s) * self._asked[item].cost

    def _cheapest_first(self, now_s: float) -> Sequence[str]:
        def worth(item: str) -> float:
            return self._saving(item, now_s) / self._asked[item].size

        return sorted(self._kept, key=worth)


def prompt_uses(path: Path) -> Iterator[Use]:
    """Yield the parts of each prompt of a trace: its shared prefix and its own.

    Both go into an engine's cache; a miss costs prefill of as many words.
    """
    match read_trace(path):
        case Err(problems):
            raise ValueError(f"{path}: {problems}")
        case Ok(trace):
            pass
    for number, request in enumerate(trace.requests):
        if request.prefix:
            n_words = float(request.n_prefix_words)
            yield Use(
                at_s=request.at_s, item=request.prefix, size=n_words, cost=n_words
            )
            n_own = float(request.n_words)
            yield Use(at_s=request.at_s, item=f"own {number}", size=n_own, cost=n_own)


def adapter_uses(seed: int) -> Iterator[Use]:
    """Yield uses of adapters, a few of them large accounts', that shift slowly."""
    source = random.Random(seed)
    weights = [1.0 / (rank + 1) ** ZIPF_POWER for rank in range(N_ADAPTERS)]
    names = [f"adapter {i}" for i in range(N_ADAPTERS)]
    source.shuffle(names)
    shift_s = ADAPTER_SHIFT_S
    at_s = 0.0
    for _ in range(N_ADAPTER_USES):
        at_s += source.expovariate(ADAPTER_USES_PER_S)
        if at_s > shift_s:
            shift_s += ADAPTER_SHIFT_S
            a, b = source.sample(range(50), 2)
            names[a], names[-b] = names[-b], names[a]
        yield Use(at_s=at_s, item=source.choices(names, weights)[0], size=1.0, cost=1.0)


def saved_share(uses: Iterable[Use], rule: CacheRule) -> float:
    """Return the part of all cost that hits saved."""
    saved = total = 0.0
    for use in uses:
        total += use.cost
        if rule.use(use):
            saved += use.cost
    return saved / total if total else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One comparison: the share of cost saved by each rule."""

    name: str
    capacity_share: float
    plain: float
    rules: tuple[float, ...]


def compare(name: str, uses: Sequence[Use], *, shared_only: bool) -> Iterator[Row]:
    """Yield a row for each size of cache, as a share of what is used twice."""
    seen: dict[str, tuple[float, int]] = {}
    for use in uses:
        size, n_uses = seen.get(use.item, (use.size, 0))
        seen[use.item] = (size, n_uses + 1)
    repeated = sum(size for size, n_uses in seen.values() if n_uses > 1)
    kept = [use for use in uses if not shared_only or seen[use.item][1] > 1]
    for share in CAPACITY_SHARES:
        capacity = share * repeated
        plain = saved_share(kept, LeastRecentlyUsed(capacity=capacity))
        rules = tuple(
            saved_share(
                kept, CostAwareCache(capacity=capacity, half_life_s=half_life_s)
            )
            for half_life_s in HALF_LIVES_S
        )
        yield Row(name=name, capacity_share=share, plain=plain, rules=rules)


def main(traces: str = "traces") -> None:
    """Print the share of cost saved by each rule on all traces in a folder."""
    prompts: list[Row] = []
    shared: list[Row] = []
    for path in sorted(Path(traces).glob("*.jsonl")):
        uses = list(prompt_uses(path))
        prompts += compare(path.stem, uses, shared_only=False)
        shared += compare(path.stem, uses, shared_only=True)
    adapters: list[Row] = []
    for seed in SEEDS:
        uses = list(adapter_uses(seed))
        adapters += compare(f"seed {seed}", uses, shared_only=False)
    print_rows("whole prompts", prompts)
    print_rows("shared prefixes alone", shared)
    print_rows("adapters", adapters)


def print_rows(name: str, rows: Sequence[Row]) -> None:
    """Print all rows of one kind and their medians for each size of cache."""
    heads = "  ".join(f"rule {half_life_s:g} s" for half_life_s in HALF_LIVES_S)
    print(f"{name:24} {'room':>5} {'last used':>10}  {heads}")
    for row in rows:
        print_line(row.name, row.capacity_share, [row.plain, *row.rules])
    for share in CAPACITY_SHARES:
        chosen = [row for row in rows if row.capacity_share == share]
        columns = zip(*([row.plain, *row.rules] for row in chosen), strict=True)
        print_line("median", share, [statistics.median(column) for column in columns])


def print_line(name: str, capacity_share: float, figures: Sequence[float]) -> None:
    """Print one line of a table."""
    cells = "  ".join(f"{figure:8.3f}" for figure in figures)
    print(f"  {name:22} {capacity_share:5.0%} {cells}")


if __name__ == "__main__":
    fire.Fire(main)
