"""The active route table of a gateway, and how newer versions replace it."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from ...protocol.gen.chain.ttypes import StoreNews, TableChange
from .published_store import PublishedTable, StoreChanges
from .store_journal import StoreJournal
from .store_position import StorePosition
from .store_relay import StoreRelay
from .table_change import change_between, changed_data


@unique
class TableSource(Enum):
    """Where a gateway got its route table from."""

    STORE = "read from the store"
    PEER = "sent by a peer"
    READER = "difference sent by a reader"


@unique
class NamedBy(Enum):
    """The message in which a peer names a newer table."""

    UPDATE = "an update of a reader"
    STATE = "a peer's answer"


@dataclass(frozen=True, slots=True, kw_only=True)
class NewestVersion:
    """The newest version that the store has up to a position.

    Parameters
    ----------
    version : int
        The version.
    position : StorePosition
        The position.
    """

    version: int
    position: StorePosition


class ActiveTable:
    """Activates each newer table: read from the store, or received from a peer.

    A peer sends a table in full, or as the difference from the previous one. It may
    name a version long before the table has arrived, so the table has a position of its
    own: up to there, the store has none that is newer.

    Parameters
    ----------
    on_table : callable
        Called with each route table that is newer than the previous one.
    decode : callable
        Returns the table that bytes from a peer contain, or None if undecodable.
    relay : StoreRelay
        Holds the newest table for peers.
    store_journal : StoreJournal
        Holds the version of the active table.
    """

    __slots__ = (
        "_decode",
        "_expected",
        "_missing_since_s",
        "_named_version",
        "_on_table",
        "_relay",
        "_store_journal",
        "_unreadable_version",
    )

    def __init__(
        self,
        *,
        on_table: Callable[[PublishedTable], None],
        decode: Callable[[bytes], PublishedTable | None],
        relay: StoreRelay,
        store_journal: StoreJournal,
    ) -> None:
        self._on_table = on_table
        self._decode = decode
        self._relay = relay
        self._store_journal = store_journal
        self._unreadable_version = 0
        self._named_version = 0
        self._missing_since_s: float | None = None
        self._expected: NewestVersion | None = None

    @property
    def position(self) -> StorePosition:
        """Position up to which the store has no newer table that can be read."""
        return self._relay.table_position

    def enter_era(self, era: int) -> None:
        """Switch to a later era of the store, of which no table is known yet."""
        self._expected = None
        self._relay.table_position = StorePosition(era=era)

    def _advance(self, position: StorePosition) -> None:
        self._relay.table_position = max(self.position, position)

    def _has(self, version: int) -> bool:
        """Return True if a version is active, or replaced, or cannot be read."""
        return version <= max(self._store_journal.version, self._unreadable_version)

    @property
    def is_behind(self) -> bool:
        """True if a peer has named a newer table than the active one.

        A store that was restored from a backup may not have that table.
        """
        return not self._has(self._named_version)

    @property
    def missing_s(self) -> float:
        """Seconds since a peer named a newer table that is still missing; else 0."""
        if self._missing_since_s is None:
            return 0.0
        return time.monotonic() - self._missing_since_s

    def apply_read(self, changes: StoreChanges) -> None:
        """Activate the table of a read, and record up to where none is newer.

        Parameters
        ----------
        changes : StoreChanges
            All that the store has, or what has changed since `position` or earlier.
        """
        self.apply_if_newer(changes.table)
        self._advance(changes.position)

    def learn_newest(self, newest: NewestVersion, named_by: NamedBy) -> None:
        """Take over from a peer which version is the newest up to a position.

        The position counts once that version is here: the store is asked for what came
        after it, and a transfer of the table may fail.
        """
        is_first = newest.version > self._named_version
        self._named_version = max(self._named_version, newest.version)
        if self._has(newest.version):
            self._advance(newest.position)
            return
        if is_first:
            self._store_journal.record_named_table(
                newest.version, source=named_by.value
            )
        if self._missing_since_s is None:
            self._missing_since_s = time.monotonic()
        if self._expected is None or newest.position > self._expected.position:
            self._expected = newest

    def _note_found(self) -> None:
        """Note that a table is here, or cannot be read."""
        if not self.is_behind:
            self._missing_since_s = None
        expected = self._expected
        if expected is not None and self._has(expected.version):
            self._expected = None
            self._advance(expected.position)

    def apply_if_newer(
        self,
        published: PublishedTable | None,
        source: TableSource = TableSource.STORE,
    ) -> bool:
        """Activate a table if it is newer than the active one; return whether it is."""
        # A late response of the store, or a peer that lags behind, may contain an
        # older version. Applying it would restore routes and keys that were removed.
        if published is None or published.table.version <= self._store_journal.version:
            return False
        self._store_journal.version = published.table.version
        self._relay.published = published
        self._note_found()
        self._store_journal.record_active_table(
            source=source.value,
            n_bytes=len(published.data),
            limits=published.table.limits,
        )
        self._on_table(published)
        return True

    def apply_data(self, data: bytes) -> None:
        """Activate a table that a peer has sent in full, if it is newer."""
        self.apply_if_newer(self._decode(data), TableSource.PEER)

    def apply_update(self, update: StoreNews) -> bool:
        """Activate the table of an update; return False if it is still missing."""
        if self._has(update.version):
            return True
        base = self._relay.published
        if update.table is None or base is None:
            return False
        data = changed_data(base, update.table)
        if data is None:
            return False
        published = self._decode(data)
        if published is not None:
            return self.apply_if_newer(published, TableSource.READER)
        # These are the published bytes, and the store has no others. If they were
        # requested after each update that names this version, the store would be read
        # three times a second.
        self._unreadable_version = update.version
        self._note_found()
        return True

    def change_since(self, base: PublishedTable | None) -> TableChange | None:
        """Return the change from `base` to the newest table, if that is newer."""
        newest = self._relay.published
        if base is None or newest is None or newest is base:
            return None
        return change_between(base, newest)
