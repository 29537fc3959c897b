"""What a worker says of the pieces that it was asked for, read with care."""

import orjson
import pytest
from adapter.piece_messages import decode_piece_outcomes
from result import Ok

from tests.chain.fakes import worker
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceResult


class TestPieceEnds:
    @pytest.mark.parametrize("reason", [[], {}, ["gone"], 3, None, "unheard of"])
    def test_a_reason_that_is_none_fails_its_own_piece_only(
        self, reason: object
    ) -> None:
        # A worker makes one piece and fails another, for a reason that cannot be
        # read. The whole call was taken for broken: the piece that was made was
        # made again, and its result lay in the worker's memory until it ran out.
        made = worker("w1")
        data = orjson.dumps({"items": [{"handle": "w1:1/a"}, {"reason": reason}]})
        assert decode_piece_outcomes(data, made, 2) == Ok(
            [
                PieceResult(handle="w1:1/a", worker_id="w1", born_ms=made.born_ms),
                PieceFault.FAILED,
            ]
        )
