"""Gossip overlay: the peers that a process links to, for few hops between any two."""

from collections.abc import Iterable
from typing import Final

from ...protocol.checksum import rendezvous_score
from ...state.rendezvous import highest

FAN_OUT: Final = 4
"""Links that each process opens to spread changes and to monitor peers."""

RING_KEY: Final = "ring"


def neighbours(
    own: str, members: Iterable[str], *, fan_out: int = FAN_OUT
) -> list[str]:
    """Return the members to which the process `own` keeps links.

    One is the successor on a hash ring, so each member is monitored by at least
    one other; the rest are chosen by rendezvous hashing, so paths are short and
    a joining or leaving member changes few links. All others are returned if
    there are at most `fan_out`.

    Parameters
    ----------
    own : str
        Process id of this process.
    members : iterable of str
        Process ids of the members that are not dead, with or without `own`.
    fan_out : int
        Largest number of links.
    """
    others = sorted(set(members) - {own})
    if len(others) <= fan_out:
        return others
    chosen = [_next_on_ring(own, others)]
    for index in range(fan_out - 1):
        for member in highest(f"{own}#{index}", others, n=fan_out):
            if member not in chosen:
                chosen.append(member)
                break
    return chosen


def _next_on_ring(own: str, others: list[str]) -> str:
    own_score = rendezvous_score(RING_KEY, own)
    scores = {member: rendezvous_score(RING_KEY, member) for member in others}
    following = [member for member in others if scores[member] > own_score]
    return min(following or others, key=scores.__getitem__)
