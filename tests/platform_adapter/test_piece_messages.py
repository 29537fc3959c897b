"""Decoding of workers' responses to calls that run pieces."""

import orjson
import pytest
from adapter.piece_messages import decode_piece_outcomes
from result import Ok

from tests.chain.fakes import worker
from trefoilpaddle.state.chain.piece_work import PieceFault, PieceMade


class TestPieceOutcomes:
    @pytest.mark.parametrize("reason", [[], {}, ["gone"], 3, None, "unheard of"])
    def test_an_invalid_reason_fails_its_own_piece_only(self, reason: object) -> None:
        # A worker computes one piece and fails another, with a reason that cannot be
        # decoded. The complete call counted as broken: the computed piece was computed
        # again, and its result stayed in the worker's memory until it expired.
        made = worker("w1")
        data = orjson.dumps({"items": [{"handle": "w1:1/a"}, {"reason": reason}]})
        assert decode_piece_outcomes(data, made, 2) == Ok(
            [
                PieceMade(handle="w1:1/a", worker_id="w1", born_ms=made.born_ms),
                PieceFault.FAILED,
            ]
        )
