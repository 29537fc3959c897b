"""Which attempts are taken for the same request."""

import pytest

from trefoilpaddle.state.chain.fingerprint import account_part, fingerprint_of

from .fakes import request


class TestFingerprint:
    async def test_another_attempt_of_a_request_has_the_same(self) -> None:
        first = request(request_id="a1", headers=((b"Idempotency-Key", b"1"),))
        second = request(request_id="a2", after_event=3)
        assert fingerprint_of(first, "acme") == fingerprint_of(second, "acme")

    @pytest.mark.parametrize(
        "field", [{"target": "/y"}, {"host": "i"}, {"body_digest": b"2"}]
    )
    async def test_another_request_has_another(self, field: dict[str, object]) -> None:
        assert fingerprint_of(request(), "acme") != fingerprint_of(
            request(**field), "acme"
        )

    async def test_the_same_bytes_of_another_account_are_another_request(self) -> None:
        # One account could have another's requests refused by sending their bytes.
        first, second = (fingerprint_of(request(), name) for name in ("acme", "bell"))
        assert account_part(first) != account_part(second)
        assert first[len(account_part(first)) :] != second[len(account_part(second)) :]

    async def test_a_path_that_is_no_text_has_one(self) -> None:
        assert fingerprint_of(request(target="/\udcff"), "acme")
