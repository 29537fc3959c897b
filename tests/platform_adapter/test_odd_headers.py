"""Numbers in headers of callers and workers that nobody should send."""

import math
from types import SimpleNamespace
from typing import Any, Final, cast

import pytest
from adapter import names
from adapter.caller_requests import decode_request
from adapter.worker_answers import decode_event
from adapter.worker_statements import decode_statement
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from trefoilpaddle.coordination.chain.target_calls import StreamBrokenError
from trefoilpaddle.state.held_bytes import holding_alone

CALLER_FIELDS: Final = (
    names.DEADLINE,
    names.TOKEN_COUNTS,
    names.PROMPT_PARTS,
    names.LAST_EVENT,
    names.PIECES,
)
WORKER_FIELDS: Final = (
    *names.WORKER_LIMIT,
    *names.WORKER_LEAVING,
    *names.WORKER_LOAD,
    names.RETRY_AFTER,
)

NUMBERS: Final = st.one_of(
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(["9" * 400, "-" + "9" * 4000, "9" * 5000, "1e999", "٣", "1_0", ""]),
    st.text(max_size=20),
)
VALUES: Final = st.lists(NUMBERS, min_size=1, max_size=5).map(",".join) | NUMBERS.map(
    "a:{}".format
)


def request(name: str, value: str) -> Any:
    headers = CIMultiDict({"Host": "h", names.TOKEN_COUNTS: "5,5"})
    headers[name] = value
    return SimpleNamespace(headers=headers, raw_path="/x", method="GET", raw_headers=())


class TestCallers:
    @given(st.sampled_from(CALLER_FIELDS), VALUES)
    @example(names.DEADLINE, "9" * 400)
    @example(names.TOKEN_COUNTS, "5," + "9" * 400)
    @example(names.PROMPT_PARTS, "a:" + "9" * 400)
    def test_a_number_is_refused_or_can_be_computed_with(
        self, name: str, value: str
    ) -> None:
        # Guards against callers' numbers that end in an error inside the gateway.
        try:
            decoded = decode_request(
                cast(Any, request(name, value)),
                b"",
                b"",
                0.0,
                holding_alone(),
                holding_alone(),
            )
        except ValueError:
            return
        assert math.isfinite(decoded.deadline_s)
        assert decoded.prompt is not None
        tokens = [part.n_tokens for part in decoded.prompt.parts]
        counts = [*tokens, decoded.prompt.n_tokens, *decoded.n_pieces]
        assert all(abs(count) < 2**63 for count in counts)


class TestWorkers:
    @pytest.mark.parametrize("number", [b"9" * 30, b"9" * 5000])
    def test_an_event_with_an_endless_number_breaks_its_stream_alone(
        self, number: bytes
    ) -> None:
        # Guards against a number that ends in an error inside the gateway.
        with pytest.raises(StreamBrokenError):
            decode_event(b"id: " + number + b"\ndata: x\n\n")

    @pytest.mark.parametrize("status", [200, 429, 503])
    @given(st.sampled_from(WORKER_FIELDS), VALUES)
    def test_a_statement_is_ignored_or_can_be_computed_with(
        self, status: int, name: str, value: str
    ) -> None:
        # Guards against workers' numbers that end in an error inside the gateway.
        stated = decode_statement(status, {name: value}, answers_request=True)
        assert math.isfinite(stated.rest_s)
        assert stated.limit_per_s is None or math.isfinite(stated.limit_per_s)
