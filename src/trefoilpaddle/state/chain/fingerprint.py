"""Fingerprints, which identify what may crash workers across attempts of callers.

That is a whole request, its pieces at a service, or a part of its prompt.
"""

import re
from hashlib import blake2b
from typing import Final

from .requests import CallerRequest, Prompt

ACCOUNT_BYTES: Final = 4
"""Bytes of a fingerprint that identify the client account."""

REQUEST_BYTES: Final = 12
"""Bytes of a fingerprint that identify the request within the account."""

MAX_PARTS: Final = 16
"""Parts of one prompt that are watched, as a caller may state any number of them."""

PARTS_ACCOUNT: Final = b"part".hex()
"""Account part of the fingerprints of prompt parts, which any account may send."""

FINGERPRINT_PATTERN: Final = re.compile(
    f"[0-9a-f]{{{2 * (ACCOUNT_BYTES + REQUEST_BYTES)}}}"
)


def fingerprint_of(request: CallerRequest, account: str) -> str:
    """Return the fingerprint of a request, the same for all attempts, in hexadecimal.

    It covers method, host, path with query, client account and body, but not attempt
    ids and other headers.

    Parameters
    ----------
    request : CallerRequest
        One attempt of the request.
    account : str
        Client account of the caller; empty if there is none.
    """
    digest = blake2b(digest_size=REQUEST_BYTES)
    for text in (account, request.method, request.host, request.target):
        data = text.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(4))
        digest.update(data)
    digest.update(request.body_digest)
    account_digest = blake2b(account.encode(), digest_size=ACCOUNT_BYTES)
    return account_digest.hexdigest() + digest.hexdigest()


def stage_fingerprint(fingerprint: str, service: str) -> str:
    """Return the fingerprint of a request's pieces at one service of its stages.

    It differs from the request's own, as a request that crashes the workers that run it
    may have harmless stages. Empty if the fingerprint of the request is empty: gateways
    of an earlier release send none.
    """
    if not fingerprint:
        return ""
    stage_digest = blake2b(
        f"{fingerprint}\0{service}".encode(), digest_size=REQUEST_BYTES
    )
    return account_part(fingerprint) + stage_digest.hexdigest()


def part_fingerprint(part_id: str) -> str:
    """Return the fingerprint of a part of a prompt, in hexadecimal.

    It is the same for all client accounts: a part that crashes workers does so whoever
    sends it. Part ids are not logged, as callers may derive them from the text.
    """
    digest = blake2b(
        part_id.encode(errors="surrogateescape"), digest_size=REQUEST_BYTES
    )
    return PARTS_ACCOUNT + digest.hexdigest()


def shared_parts(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the fingerprints of the parts of a prompt but the last, which is its own.

    Of a prompt with many parts the first `MAX_PARTS` are returned.
    """
    if prompt is None:
        return ()
    shared = prompt.parts[:-1][:MAX_PARTS]
    return tuple(dict.fromkeys(part_fingerprint(part.part_id) for part in shared))


def account_part(fingerprint: str) -> str:
    """Return the part of a fingerprint that identifies the client account."""
    return fingerprint[: 2 * ACCOUNT_BYTES]


def is_part(fingerprint: str) -> bool:
    """Return True for the fingerprint of a part of a prompt."""
    return account_part(fingerprint) == PARTS_ACCOUNT


def is_fingerprint(text: str) -> bool:
    """Return True if a text from a peer has the form of a fingerprint."""
    return FINGERPRINT_PATTERN.fullmatch(text) is not None
