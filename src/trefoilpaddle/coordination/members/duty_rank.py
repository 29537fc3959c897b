"""Rank of gateways for duties that a few perform for all: cells, store reads."""

from dataclasses import dataclass

from ...state.members import MemberRecord


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class DutyRank:
    """Rank of a member among the candidates for a duty; the lowest comes first.

    Parameters
    ----------
    negative_bit_length : int
        Negative bit length of its processor capacity in millicores, so that the
        member with the largest capacity has the lowest rank.
    incarnation : int
        Incarnation of the process. Gateways with such duties use time-ordered ones, so
        a later start has a greater one.
    """

    negative_bit_length: int
    incarnation: int


def duty_rank(member: MemberRecord) -> DutyRank:
    """Return the rank by which members are ordered for a duty, lowest first.

    A newer member precedes an older one only if its processor capacity, rounded
    down to a power of two, is larger: each change of the holder of a duty loses
    the state that the previous holder had gathered.
    """
    return DutyRank(
        negative_bit_length=-member.millicores.bit_length(),
        incarnation=member.incarnation,
    )
