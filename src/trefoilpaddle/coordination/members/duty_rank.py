"""Which gateways do first what a few do for all: keeping cells, reading the store."""

from dataclasses import dataclass

from ...state.members import MemberRecord


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class DutyRank:
    """How early a member comes among those that could take a duty.

    Parameters
    ----------
    negative_log2_millicores : int
        Negative binary order of its processor, so that the strongest is least.
    incarnation : int
        Of its start; greater the later it was.
    """

    negative_log2_millicores: int
    incarnation: int


def duty_rank(member: MemberRecord) -> DutyRank:
    """Return the order in which members take a duty, the first first.

    Only a host with twice the processor goes before an older one: each
    change loses what the one before knew.
    """
    return DutyRank(
        negative_log2_millicores=-member.millicores.bit_length(),
        incarnation=member.incarnation,
    )
