"""Which attempts have the fingerprint of the same request."""

import pytest

from trefoilpaddle.state.chain.fingerprint import account_part, fingerprint_of

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
