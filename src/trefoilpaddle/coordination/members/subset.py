"""Deterministic subsets of a service's targets, one for each gateway."""

from collections.abc import Sequence
from typing import Final

from ...protocol.checksum import rendezvous_score
from ...state.hosts import Host

N_SUBSET: Final = 10
"""Largest number of targets of one service to which a gateway keeps links."""

ORDER_KEY: Final = "subset"


def subset(
    own: str, gateways: Sequence[str], targets: Sequence[Host], *, n: int = N_SUBSET
) -> list[Host]:
    """Return at most `n` of `targets` for the gateway `own`.

    The targets are put in one order that interleaves the failure domains evenly.
    Each gateway takes `n` consecutive targets, from a start that is proportional
    to its rank among the gateways. So the numbers of subsets that contain a target
    differ by about one, each subset is spread over the domains like all targets,
    and one more gateway or target shifts each subset by one or two positions.

    Parameters
    ----------
    own : str
        Process id of this gateway.
    gateways : sequence of str
        Process ids of all published gateways; `own` is added if missing.
    targets : sequence of Host
        Sidecars of one service.
    n : int
        Size of the subset.
    """
    if len(targets) <= n:
        return list(targets)
    ranked = sorted(
        {*gateways, own}, key=lambda name: rendezvous_score(ORDER_KEY, name)
    )
    start = ranked.index(own) * len(targets) // len(ranked)
    interleaved = interleave_domains(targets)
    return [interleaved[(start + step) % len(interleaved)] for step in range(n)]


def interleave_domains(targets: Sequence[Host]) -> list[Host]:
    """Return `targets` in an order that spreads each domain's targets evenly."""
    by_domain: dict[str, list[Host]] = {}
    for host in targets:
        by_domain.setdefault(host.failure_domain, []).append(host)
    positioned: list[tuple[float, str, Host]] = []
    for domain, hosts in by_domain.items():
        hosts.sort(key=lambda host: rendezvous_score(ORDER_KEY, host.process_id))
        positioned += [
            ((index + 0.5) / len(hosts), domain, host)
            for index, host in enumerate(hosts)
        ]
    return [host for _, _, host in sorted(positioned, key=lambda item: item[:2])]
