"""The route table in force at a gateway, and how a newer one comes to it."""

from collections.abc import Callable

from ...protocol.gen.chain.ttypes import StoreNews, TableChange
from .published_store import PublishedTable
from .store_journal import StoreJournal
from .store_relay import StoreRelay
from .table_change import apply_change, change_between


class ActiveTable:
    """Puts each newer table in force, read, sent whole or told as a change.

    Parameters
    ----------
    on_table : callable
        Called with each route table that is newer than the last.
    decode : callable
        Returns the table that a peer's bytes hold, or None.
    relay : StoreRelay
        Keeps the newest table for peers.
    journal : StoreJournal
        Keeps its version.
    """

    __slots__ = (
        "_decode",
        "_journal",
        "_named_version",
        "_on_table",
        "_relay",
        "_unreadable_version",
    )

    def __init__(
        self,
        *,
        on_table: Callable[[PublishedTable], None],
        decode: Callable[[bytes], PublishedTable | None],
        relay: StoreRelay,
        journal: StoreJournal,
    ) -> None:
        self._on_table = on_table
        self._decode = decode
        self._relay = relay
        self._journal = journal
        self._unreadable_version = 0
        self._named_version = 0

    @property
    def is_behind(self) -> bool:
        """True if a reader has named a newer table than that in force.

        A store that came back from a copy may not have it.
        """
        return self._named_version > max(
            self._journal.version, self._unreadable_version
        )

    def apply_if_newer(self, published: PublishedTable | None) -> bool:
        """Put a table in force unless it is older; True if it was newer."""
        # A read that was answered late, or a peer that lags, may bring an older
        # version; taking it would bring back routes and keys that are gone.
        if published is None or published.table.version <= self._journal.version:
            return False
        self._journal.version = published.table.version
        self._relay.published = published
        self._journal.record_active_table()
        self._on_table(published)
        return True

    def apply_data(self, data: bytes) -> None:
        """Put a table in force that a peer has sent whole."""
        self.apply_if_newer(self._decode(data))

    def apply_update(self, news: StoreNews) -> bool:
        """Put the table of news in force; return False if it is still missing."""
        self._named_version = max(self._named_version, news.version)
        if news.version <= max(self._journal.version, self._unreadable_version):
            return True
        base = self._relay.published
        if news.table is None or base is None:
            return False
        data = apply_change(base, news.table)
        if data is None:
            return False
        published = self._decode(data)
        if published is not None:
            return self.apply_if_newer(published)
        # These are the published bytes, and the store has no others. Asked for
        # with all news that name them, it would be read three times a second.
        self._unreadable_version = news.version
        return True

    def change_since(self, base: PublishedTable | None) -> TableChange | None:
        """Return what makes the newest table out of `base`, if it is newer."""
        newest = self._relay.published
        if base is None or newest is None or newest is base:
            return None
        return change_between(base, newest)
