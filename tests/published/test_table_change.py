"""A route table told as its difference from the one before."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.coordination.published import table_change
from trefoilpaddle.coordination.published.published_store import PublishedTable
from trefoilpaddle.coordination.published.table_change import (
    MAX_CHANGE_BYTES,
    PIECE_BYTES,
    apply_change,
    change_between,
)
from trefoilpaddle.protocol.checksum import checksum
from trefoilpaddle.protocol.frames import encode
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews, TableChange, TablePiece
from trefoilpaddle.state.chain.routes import RouteTable

from .store_network import decoded, table_bytes


def table(data: bytes, version: int = 1) -> PublishedTable:
    return PublishedTable(table=RouteTable(version=version), data=data)


def published(version: int, **size: int) -> PublishedTable:
    made = decoded(table_bytes(version, **size))
    assert made is not None
    return made


def told_bytes(change: TableChange) -> int:
    return len(encode(StoreNews(table=change))) - len(encode(StoreNews()))


objects = st.lists(st.sampled_from([b"{a}", b"{b}", b"}", b"{cc}", b"x"]), max_size=12)
texts = objects.map(b"".join)


class TestRoundTrip:
    @given(base=texts, newest=texts)
    def test_any_table_is_made_of_any_other(self, base: bytes, newest: bytes) -> None:
        change = change_between(table(base), table(newest, 2))
        assert change is not None
        assert apply_change(table(base), change) == newest

    def test_a_change_is_short_however_long_the_table(self) -> None:
        # At 3,400 accounts a table has a quarter of a megabyte, and a reader tells
        # each change to up to 79 others.
        size = {"n_routes": 45, "n_accounts": 3400}
        base, newest = published(2, **size), published(3, **size)
        change = change_between(base, newest)
        assert change is not None
        assert apply_change(base, change) == newest.data
        assert told_bytes(change) < 1000 < len(newest.data) / 100

    def test_what_is_counted_bounds_what_is_sent(self) -> None:
        base, newest = published(2), published(3)
        change = change_between(base, newest)
        assert change is not None
        counted = sum(PIECE_BYTES + len(piece.added) for piece in change.pieces)
        assert told_bytes(change) <= counted + PIECE_BYTES * 2

    def test_what_is_too_long_is_not_told(self) -> None:
        newest = table(b"{y}" + b"x" * MAX_CHANGE_BYTES, 2)
        assert change_between(table(b"{y}"), newest) is None


class TestDamaged:
    base = table(b"{a}{b}{c}")

    def change(self, *pieces: TablePiece, data: bytes = b"") -> TableChange:
        return TableChange(base_version=1, checksum=checksum(data), pieces=list(pieces))

    def test_another_base_is_not_used(self) -> None:
        change = change_between(self.base, table(b"{a}{x}{c}", 2))
        assert change is not None
        assert apply_change(table(b"{a}{b}{c}", 7), change) is None
        assert apply_change(table(b"{a}{z}{d}"), change) is None

    @pytest.mark.parametrize(("from_byte", "n_bytes"), [(-2, 2), (0, -1), (99, 1)])
    def test_places_outside_are_not_used(self, from_byte: int, n_bytes: int) -> None:
        piece = TablePiece(from_byte=from_byte, n_bytes=n_bytes, added=b"")
        assert apply_change(self.base, self.change(piece)) is None

    def test_a_small_message_does_not_make_a_large_table(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Each piece of a few bytes may copy the whole table: 20,000 of them would
        # fill the memory of a gateway that takes the message at its word.
        monkeypatch.setattr(table_change, "MAX_TABLE_BYTES", 100)
        whole = TablePiece(from_byte=0, n_bytes=9, added=b"")
        few = self.change(*[whole] * 11, data=self.base.data * 11)
        many = self.change(*[whole] * 12, data=self.base.data * 12)
        assert apply_change(self.base, few) is not None
        assert apply_change(self.base, many) is None
