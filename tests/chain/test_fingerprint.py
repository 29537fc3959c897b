"""Which attempts have the fingerprint of the same request."""

import pytest

from trefoilpaddle.state.chain.fingerprint import (
    MAX_PARTS,
    account_part,
    fingerprint_of,
    is_fingerprint,
    shared_parts,
)
from trefoilpaddle.state.chain.requests import Prompt, PromptPart

from .fakes import request


class TestFingerprint:
    async def test_attempts_of_one_request_have_the_same_fingerprint(self) -> None:
        first = request(request_id="a1", headers=((b"Idempotency-Key", b"1"),))
        second = request(request_id="a2", after_event=3)
        assert fingerprint_of(first, "acme") == fingerprint_of(second, "acme")

    @pytest.mark.parametrize(
        "field", [{"target": "/y"}, {"host": "i"}, {"body_digest": b"2"}]
    )
    async def test_other_requests_have_other_fingerprints(
        self, field: dict[str, object]
    ) -> None:
        assert fingerprint_of(request(), "acme") != fingerprint_of(
            request(**field), "acme"
        )

    async def test_equal_requests_of_two_accounts_differ(self) -> None:
        # Otherwise one account could cause the refusal of requests of another.
        first, second = (fingerprint_of(request(), name) for name in ("acme", "bell"))
        assert account_part(first) != account_part(second)
        assert first[len(account_part(first)) :] != second[len(account_part(second)) :]

    async def test_a_path_that_is_not_valid_text_has_a_fingerprint(self) -> None:
        assert fingerprint_of(request(target="/\udcff"), "acme")


def prompt(*part_ids: str) -> Prompt:
    parts = tuple(PromptPart(part_id=part_id, n_tokens=1) for part_id in part_ids)
    return Prompt(parts=parts, n_tokens=len(parts), n_output_tokens=1)


class TestSharedParts:
    def test_the_last_part_is_the_own_one_of_a_request(self) -> None:
        first, second = prompt("a", "b", "c"), prompt("a", "b", "d")
        assert shared_parts(first) == shared_parts(second)
        assert len(shared_parts(first)) == 2
        assert all(map(is_fingerprint, shared_parts(first)))

    def test_a_prompt_without_shared_parts_has_none(self) -> None:
        assert shared_parts(None) == shared_parts(prompt()) == shared_parts(prompt("a"))

    def test_a_part_has_one_fingerprint_wherever_it_stands(self) -> None:
        assert shared_parts(prompt("a", "b", "c"))[1:] == shared_parts(prompt("b", "c"))

    def test_a_repeated_part_counts_once_and_their_number_is_bounded(self) -> None:
        assert len(shared_parts(prompt("a", "a", "b"))) == 1
        many = prompt(*(f"{number:x}" for number in range(3 * MAX_PARTS)))
        assert len(shared_parts(many)) == MAX_PARTS
