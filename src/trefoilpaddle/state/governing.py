"""Index to find the governing entry and the client account of a request."""

import hmac
from dataclasses import dataclass
from typing import Final

from .catalogue import Catalogue, Entry
from .published import Published

PREFIX_CHARS: Final = 8
"""Leading characters of a token's digest by which the accounts are indexed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Governing:
    """The entry that governs a request, and the catalogue revision.

    Parameters
    ----------
    name : str
        Name of the entry.
    entry : Entry
        Its value.
    config_revision : int
        Revision of the catalogue in which the entry was found.
    """

    name: str
    entry: Entry
    config_revision: int


class GoverningIndex:
    """Finds entries by client account, and accounts by token.

    The results are those of `Catalogue.governing`. The index is built once per
    catalogue, because thousands of accounts are too many to scan per request.

    Parameters
    ----------
    published : Published
        Holds the active catalogue.
    """

    __slots__ = ("_accounts", "_catalogue", "_entries", "_published")

    def __init__(self, *, published: Published) -> None:
        self._published = published
        self._catalogue: Catalogue | None = None
        self._entries: dict[str, list[Governing]] = {}
        self._accounts: dict[str, list[str]] = {}

    def governing(
        self, *, account: str, pipeline: str, class_of_work: str | None
    ) -> Governing | None:
        """Return the entry that governs a request, or None if none does."""
        self._refresh()
        for found in self._entries.get(account, ()):
            if pipeline not in found.entry.pipelines:
                continue
            if class_of_work is None or class_of_work == found.entry.class_of_work:
                return found
        return None

    def account_of(self, token_sha256: str) -> str | None:
        """Return the client account whose token has this SHA-256, or None.

        A few leading characters select the candidates. The whole digest is then
        compared in constant time, so that response times reveal nothing about it.
        """
        self._refresh()
        accounts = self._published.catalogue.accounts
        for name in self._accounts.get(token_sha256[:PREFIX_CHARS], ()):
            if hmac.compare_digest(accounts[name].token_sha256, token_sha256):
                return name
        return None

    def _refresh(self) -> None:
        catalogue = self._published.catalogue
        if catalogue is self._catalogue:
            return
        self._catalogue = catalogue
        self._entries = {}
        self._accounts = {}
        for name in sorted(catalogue.entries):
            entry = catalogue.entries[name]
            found = Governing(
                name=name, entry=entry, config_revision=catalogue.revision
            )
            for account in entry.accounts:
                self._entries.setdefault(account, []).append(found)
        for name, value in catalogue.accounts.items():
            prefix = value.token_sha256[:PREFIX_CHARS]
            self._accounts.setdefault(prefix, []).append(name)
