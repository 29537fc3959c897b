"""Which of a service's targets one gateway keeps links to."""

from collections.abc import Sequence
from typing import Final

from ...protocol.checksum import place_score
from ...state.hosts import Host

N_SUBSET: Final = 10
"""Targets of one service that a gateway keeps links to; all when there are fewer."""

ORDER_KEY: Final = "subset"


def subset(
    own: str, gateways: Sequence[str], targets: Sequence[Host], *, n: int = N_SUBSET
) -> list[Host]:
    """Return at most `n` of `targets` for the gateway `own`.

    The targets stand in one order that mixes the failure domains evenly; each
    gateway takes `n` in a row, beginning where its place among the gateways
    says. So each target is in as many subsets as any other, give or take one,
    each subset is spread over the domains like the whole, and one gateway or
    target more moves each subset by a place or two.

    Parameters
    ----------
    own : str
        Process id.
    gateways : sequence of str
        Process ids of all gateways, as published; `own` is added if missing.
    targets : sequence of Host
        Sidecars of one service.
    n : int
        Size of the subset.
    """
    if len(targets) <= n:
        return list(targets)
    ranked = sorted({*gateways, own}, key=lambda name: place_score(ORDER_KEY, name))
    start = ranked.index(own) * len(targets) // len(ranked)
    interleaved = interleave_domains(targets)
    return [interleaved[(start + step) % len(interleaved)] for step in range(n)]


def interleave_domains(targets: Sequence[Host]) -> list[Host]:
    """Return `targets` in an order in which each domain recurs evenly."""
    by_domain: dict[str, list[Host]] = {}
    for host in targets:
        by_domain.setdefault(host.failure_domain, []).append(host)
    positioned: list[tuple[float, str, Host]] = []
    for domain, hosts in by_domain.items():
        hosts.sort(key=lambda host: place_score(ORDER_KEY, host.process_id))
        positioned += [
            ((number + 0.5) / len(hosts), domain, host)
            for number, host in enumerate(hosts)
        ]
    return [host for _, _, host in sorted(positioned, key=lambda item: item[:2])]
