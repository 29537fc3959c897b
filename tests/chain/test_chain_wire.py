"""Chains and their outcomes, as sent by gateways of different releases."""

from trefoilpaddle.coordination.chain.chain_wire import outcome_from_wire
from trefoilpaddle.protocol.gen.chain.ttypes import ChainAnswer
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.chain_work import ChainFailed


class TestOutcomes:
    def test_an_unknown_reason_still_ends_the_request(self) -> None:
        # The scheduler runs a newer release and refuses for a reason that this one
        # does not know. The request must be refused, not end with an exception.
        end = outcome_from_wire(ChainAnswer(reason=9999, is_begun=False))
        assert end == ChainFailed(reason=Reason.INTERNAL, is_begun=False)
