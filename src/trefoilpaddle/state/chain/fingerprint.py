"""Which attempts of callers are the same request, whatever their ids."""

import re
from hashlib import blake2b
from typing import Final

from .requests import CallerRequest

ACCOUNT_BYTES: Final = 4
"""Part of a fingerprint that all requests of one client account share."""

REQUEST_BYTES: Final = 12
"""Part that tells the requests of an account apart."""

FINGERPRINT_PATTERN: Final = re.compile(
    f"[0-9a-f]{{{2 * (ACCOUNT_BYTES + REQUEST_BYTES)}}}"
)


def fingerprint_of(request: CallerRequest, account: str) -> str:
    """Return what is the same for all attempts of a request, as hexadecimal text.

    Method, host, path with query, client account and body count; attempt ids and
    other headers do not.

    Parameters
    ----------
    request : CallerRequest
        One attempt.
    account : str
        Client account that it belongs to; empty without one.
    """
    known = blake2b(digest_size=REQUEST_BYTES)
    for text in (account, request.method, request.host, request.target):
        data = text.encode(errors="surrogateescape")
        known.update(len(data).to_bytes(4))
        known.update(data)
    known.update(request.body_digest)
    owner = blake2b(account.encode(), digest_size=ACCOUNT_BYTES)
    return owner.hexdigest() + known.hexdigest()


def stage_fingerprint(fingerprint: str, service: str) -> str:
    """Return what stands for a request's pieces at a service of its stages.

    A request that crashes those that run it may pass its stages well. Empty where
    the request's is: a gateway of an earlier release sends none.
    """
    if not fingerprint:
        return ""
    own = blake2b(f"{fingerprint}\0{service}".encode(), digest_size=REQUEST_BYTES)
    return account_part(fingerprint) + own.hexdigest()


def account_part(fingerprint: str) -> str:
    """Return the part of a fingerprint that stands for its client account."""
    return fingerprint[: 2 * ACCOUNT_BYTES]


def is_fingerprint(text: str) -> bool:
    """Return True if `text`, which a peer sent, can be a fingerprint."""
    return FINGERPRINT_PATTERN.fullmatch(text) is not None
