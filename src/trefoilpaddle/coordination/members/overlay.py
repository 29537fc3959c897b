"""Which peers a process keeps a link to, so that news reaches all in a few hops."""

from collections.abc import Iterable
from typing import Final

from ...protocol.checksum import place_score
from ...state.rendezvous import highest

FAN_OUT: Final = 4
"""Links that each process opens for news and for watching over peers."""

RING_KEY: Final = "ring"


def neighbours(
    own: str, members: Iterable[str], *, fan_out: int = FAN_OUT
) -> list[str]:
    """Return the members to which the process `own` keeps links.

    One is the next on a ring, so each member is watched by at least one other;
    the rest are chosen by rendezvous, so paths are short and one member more or
    less changes few links. At most `fan_out` are returned; all when they are few.

    Parameters
    ----------
    own : str
        Process id.
    members : iterable of str
        Process ids that are not dead, with or without `own`.
    fan_out : int
        Most links.
    """
    others = sorted(set(members) - {own})
    if len(others) <= fan_out:
        return others
    chosen = [_next_on_ring(own, others)]
    for number in range(fan_out - 1):
        for member in highest(f"{own}#{number}", others, n=fan_out):
            if member not in chosen:
                chosen.append(member)
                break
    return chosen


def _next_on_ring(own: str, others: list[str]) -> str:
    own_score = place_score(RING_KEY, own)
    scores = {member: place_score(RING_KEY, member) for member in others}
    following = [member for member in others if scores[member] > own_score]
    return min(following or others, key=scores.__getitem__)
