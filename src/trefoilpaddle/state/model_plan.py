"""Plans which models a target should hold; every sidecar gets the same plan."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..protocol.checksum import rendezvous_score

MODELS_PER_TARGET: Final = 4
"""Assumed number of models that one target can hold; engines do not report it."""

N_STABLE_ROUNDS: Final = 3
"""Consecutive rounds that must want a change before a model is loaded or unloaded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """Models that a target holds, as reported by its sidecar.

    Parameters
    ----------
    process_id : str
        Process id of the sidecar.
    loaded : frozenset of str
        Models that the target holds.
    """

    process_id: str
    loaded: frozenset[str]


def wanted_copies(
    models: Iterable[str], demand: Mapping[str, float], *, n_targets: int
) -> dict[str, int]:
    """Return how many targets should hold each model.

    Every model gets two copies if capacity allows, so that one may fail. The
    remaining capacity is divided by demand. Demand is rounded down to powers of
    two, so that sidecars with slightly different reports get the same numbers.
    """
    names = sorted(models)
    capacity = n_targets * MODELS_PER_TARGET
    if not names or capacity >= len(names) * n_targets:
        return dict.fromkeys(names, n_targets)
    least = min(2, max(1, capacity // len(names)), n_targets)
    weights = {name: _rounded(demand.get(name, 0.0)) for name in names}
    total = sum(weights.values())
    spare = max(0, capacity - least * len(names))
    return {
        name: min(n_targets, least + int(spare * weights[name] / total))
        for name in names
    }


def _rounded(demand: float) -> float:
    return float(2.0 ** math.floor(math.log2(max(demand, 1e-3))))


def plan_placement(
    models: Iterable[str], demand: Mapping[str, float], targets: Iterable[str]
) -> dict[str, frozenset[str]]:
    """Return for each model the sidecars whose targets should hold it.

    Parameters
    ----------
    models : iterable of str
        Models to keep loaded.
    demand : mapping of str to float
        Requested target-seconds per second of each model, over the whole service.
    targets : iterable of str
        Process ids of the service's sidecars.
    """
    names = sorted(targets)
    capacity = dict.fromkeys(names, MODELS_PER_TARGET)
    copies = wanted_copies(models, demand, n_targets=len(names))
    plan: dict[str, frozenset[str]] = {}
    for model, n_copies in copies.items():
        order = sorted(
            names, key=lambda name: rendezvous_score(model, name), reverse=True
        )
        chosen = [name for name in order if capacity[name] > 0][:n_copies]
        for name in chosen:
            capacity[name] -= 1
        plan[model] = frozenset(chosen)
    return plan


def may_unload(model: str, *, me: str, others: Iterable[Holder]) -> bool:
    """Return True if a holder that ranks above `me` has a copy of `model`.

    Guards against the loss of the last copy when two holders unload at the same
    time, each relying on the other. The holder that ranks first in rendezvous
    order among those that it knows never unloads.
    """
    own = (rendezvous_score(model, me), me)
    holders = [other for other in others if model in other.loaded]
    return any(
        (rendezvous_score(model, h.process_id), h.process_id) > own for h in holders
    )


class StableChanges:
    """Confirms a wanted change once several consecutive rounds have wanted it."""

    __slots__ = ("_rounds",)

    def __init__(self) -> None:
        self._rounds: dict[str, int] = {}

    def confirm(self, wanted: Iterable[str]) -> list[str]:
        """Record the changes that this round wants and return the confirmed ones."""
        self._rounds = {name: self._rounds.get(name, 0) + 1 for name in wanted}
        return sorted(name for name, n in self._rounds.items() if n >= N_STABLE_ROUNDS)
