"""Compares two admission and eviction rules of a bounded cache on recorded traces.

The plain rule is least recently used. The other admits a new item only if the
cost that it saves exceeds the cost lost with the items evicted for it. It follows
"Optimal File Placement for En-Route Web Caching", for a single cache: the saving
of an item is the frequency of its uses times the cost of a miss.
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
        Time of the use, from the start of the trace.
    item : str
        Key of the item.
    size : float
        Capacity that the item takes, in the unit of the cache's capacity.
    cost : float
        Cost of a miss.
    """

    at_s: float
    item: str
    size: float
    cost: float


class CacheRule(Protocol):
    """A cache of bounded capacity."""

    def use(self, use: Use) -> bool:
        """Return True on a hit; a miss may admit the item."""
        ...


class LeastRecentlyUsed:
    """Admits each item that fits and evicts the least recently used ones."""

    __slots__ = ("_capacity", "_items", "_used")

    def __init__(self, *, capacity: float) -> None:
        self._capacity = capacity
        self._used = 0.0
        self._items: OrderedDict[str, float] = OrderedDict()

    def use(self, use: Use) -> bool:
        """Return True on a hit; a miss admits the item if it fits at all."""
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
class _Frequency:
    """Exponentially decayed count of the uses of an item, as of `at_s`."""

    count: float
    at_s: float
    size: float
    cost: float


class CostAwareCache:
    """Admits a new item only if its saving exceeds that of the evicted items.

    Parameters
    ----------
    capacity : float
        Capacity of the cache, in the unit of the items' sizes.
    half_life_s : float
        Time after which a use counts half.
    """

    __slots__ = ("_capacity", "_frequencies", "_half_life_s", "_kept", "_used")

    def __init__(self, *, capacity: float, half_life_s: float) -> None:
        self._capacity = capacity
        self._half_life_s = half_life_s
        self._frequencies: dict[str, _Frequency] = {}
        self._kept: set[str] = set()
        self._used = 0.0

    def use(self, use: Use) -> bool:
        """Return True on a hit; a miss admits the item if that saves cost."""
        count = 1.0 + self._count(use.item, use.at_s)
        self._frequencies[use.item] = _Frequency(
            count=count, at_s=use.at_s, size=use.size, cost=use.cost
        )
        if use.item in self._kept:
            return True
        if use.size <= self._capacity:
            self._admit_if_saving(use, saving=count * use.cost)
        return False

    def _count(self, item: str, now_s: float) -> float:
        frequency = self._frequencies.get(item)
        if frequency is None:
            return 0.0
        elapsed_s = now_s - frequency.at_s
        return float(frequency.count * 0.5 ** (elapsed_s / self._half_life_s))

    def _admit_if_saving(self, use: Use, *, saving: float) -> None:
        evicted: list[str] = []
        loss, freed = 0.0, self._capacity - self._used
        for item in self._cheapest_first(use.at_s):
            if freed >= use.size or loss >= saving:
                break
            evicted.append(item)
            loss += self._saving(item, use.at_s)
            freed += self._frequencies[item].size
        if freed < use.size or loss >= saving:
            return
        for item in evicted:
            self._kept.remove(item)
            self._used -= self._frequencies[item].size
        self._kept.add(use.item)
        self._used += use.size

    def _saving(self, item: str, now_s: float) -> float:
        return self._count(item, now_s) * self._frequencies[item].cost

    def _cheapest_first(self, now_s: float) -> Sequence[str]:
        def saving_per_size(item: str) -> float:
            return self._saving(item, now_s) / self._frequencies[item].size

        return sorted(self._kept, key=saving_per_size)


def prompt_uses(path: Path) -> Iterator[Use]:
    """Yield the two parts of each prompt of a trace: shared prefix and own words.

    Both enter an engine's cache; a miss costs the prefill of that many words.
    """
    match read_trace(path):
        case Err(problems):
            raise ValueError(f"{path}: {problems}")
        case Ok(trace):
            pass
    for index, request in enumerate(trace.requests):
        if request.prefix:
            n_words = float(request.n_prefix_words)
            yield Use(
                at_s=request.at_s, item=request.prefix, size=n_words, cost=n_words
            )
            n_own = float(request.n_words)
            yield Use(at_s=request.at_s, item=f"own {index}", size=n_own, cost=n_own)


def adapter_uses(seed: int) -> Iterator[Use]:
    """Yield uses of adapters by a Zipf distribution that shifts slowly.

    A few adapters, those of large accounts, get most of the uses.
    """
    rng = random.Random(seed)
    weights = [1.0 / (rank + 1) ** ZIPF_POWER for rank in range(N_ADAPTERS)]
    names = [f"adapter {i}" for i in range(N_ADAPTERS)]
    rng.shuffle(names)
    shift_s = ADAPTER_SHIFT_S
    at_s = 0.0
    for _ in range(N_ADAPTER_USES):
        at_s += rng.expovariate(ADAPTER_USES_PER_S)
        if at_s > shift_s:
            shift_s += ADAPTER_SHIFT_S
            a, b = rng.sample(range(50), 2)
            names[a], names[-b] = names[-b], names[a]
        yield Use(at_s=at_s, item=rng.choices(names, weights)[0], size=1.0, cost=1.0)


def saved_share(uses: Iterable[Use], rule: CacheRule) -> float:
    """Return the share of the total cost that hits saved."""
    saved = total = 0.0
    for use in uses:
        total += use.cost
        if rule.use(use):
            saved += use.cost
    return saved / total if total else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One comparison at one capacity: the share of cost that each rule saves."""

    name: str
    capacity_share: float
    plain: float
    rules: tuple[float, ...]


def compare(name: str, uses: Sequence[Use], *, shared_only: bool) -> Iterator[Row]:
    """Yield a row for each capacity, a share of the size of all repeated items."""
    size_and_uses: dict[str, tuple[float, int]] = {}
    for use in uses:
        size, n_uses = size_and_uses.get(use.item, (use.size, 0))
        size_and_uses[use.item] = (size, n_uses + 1)
    repeated = sum(size for size, n_uses in size_and_uses.values() if n_uses > 1)
    selected = [
        use for use in uses if not shared_only or size_and_uses[use.item][1] > 1
    ]
    for share in CAPACITY_SHARES:
        capacity = share * repeated
        plain = saved_share(selected, LeastRecentlyUsed(capacity=capacity))
        rules = tuple(
            saved_share(
                selected, CostAwareCache(capacity=capacity, half_life_s=half_life_s)
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
    """Print all rows of one kind and their medians at each capacity."""
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
