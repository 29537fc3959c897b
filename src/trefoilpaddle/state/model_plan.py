"""Which models a target should hold, decided alike by every sidecar."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from ..protocol.checksum import rendezvous_score

MODELS_PER_TARGET: Final = 4
"""How many models one target is taken to hold; engines do not report it."""

N_ROUNDS: Final = 3
"""Rounds in a row that must agree before a model is loaded or unloaded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """A target as its sidecar reports it.

    Parameters
    ----------
    process_id : str
        The sidecar.
    loaded : frozenset of str
        Models that the target holds.
    """

    process_id: str
    loaded: frozenset[str]


def wanted_copies(
    models: Iterable[str], demand: Mapping[str, float], *, n_targets: int
) -> dict[str, int]:
    """Return how many targets should hold each model.

    Every model gets two copies where there is room, so that one may fail; the
    rest of the room goes by demand, rounded to powers of two so that sidecars
    that heard slightly different demand come to the same numbers.
    """
    names = sorted(models)
    room = n_targets * MODELS_PER_TARGET
    if not names or room >= len(names) * n_targets:
        return dict.fromkeys(names, n_targets)
    least = min(2, max(1, room // len(names)), n_targets)
    weights = {name: _rounded(demand.get(name, 0.0)) for name in names}
    total = sum(weights.values())
    spare = max(0, room - least * len(names))
    return {
        name: min(n_targets, least + int(spare * weights[name] / total))
        for name in names
    }


def _rounded(demand: float) -> float:
    return float(2.0 ** math.floor(math.log2(max(demand, 1e-3))))


def planned(
    models: Iterable[str], demand: Mapping[str, float], targets: Iterable[str]
) -> dict[str, frozenset[str]]:
    """Return for each model the sidecars whose targets should hold it.

    Parameters
    ----------
    models : iterable of str
        To keep loaded.
    demand : mapping of str to float
        Target-seconds a second asked for, by model, over the whole service.
    targets : iterable of str
        Process ids of the service's sidecars.
    """
    names = sorted(targets)
    room = dict.fromkeys(names, MODELS_PER_TARGET)
    copies = wanted_copies(models, demand, n_targets=len(names))
    plan: dict[str, frozenset[str]] = {}
    for model, n_copies in copies.items():
        order = sorted(
            names, key=lambda name: rendezvous_score(model, name), reverse=True
        )
        chosen = [name for name in order if room[name] > 0][:n_copies]
        for name in chosen:
            room[name] -= 1
        plan[model] = frozenset(chosen)
    return plan


def may_unload(model: str, *, me: str, others: Iterable[Holder]) -> bool:
    """Return True if a holder that goes before `me` keeps a copy of `model`.

    Guards against the last copy going: two holders that unload at the same
    moment, each trusting in the other. The one that is first in rendezvous
    order among the holders it sees never unloads.
    """
    own = (rendezvous_score(model, me), me)
    holders = [other for other in others if model in other.loaded]
    return any(
        (rendezvous_score(model, h.process_id), h.process_id) > own for h in holders
    )


class Steadied:
    """Changes wanted, each passed on only when wanted several rounds in a row."""

    __slots__ = ("_rounds",)

    def __init__(self) -> None:
        self._rounds: dict[str, int] = {}

    def agreed(self, wanted: Iterable[str]) -> list[str]:
        """Note what this round wants and return what ``N_ROUNDS`` have."""
        self._rounds = {name: self._rounds.get(name, 0) + 1 for name in wanted}
        return sorted(name for name, n in self._rounds.items() if n >= N_ROUNDS)
