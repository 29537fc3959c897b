"""Encodes a new route table as its difference from the previous one.

A change mostly concerns one route or one key, while a table for 3,400 accounts has a
quarter of a megabyte. Tables are compared as bytes, split where their JSON objects
end; their content is not interpreted here.
"""

import re
from collections.abc import Iterator
from typing import Final

from ...protocol.checksum import checksum
from ...protocol.const import MAX_FRAME_BYTES
from ...protocol.gen.chain.ttypes import TableChange, TablePiece
from .published_store import PublishedTable

MAX_CHANGE_BYTES: Final = 16 * 1024
"""Longest change that is sent, counted as its new bytes and `PIECE_BYTES` a piece.

A reader notifies up to 95 others: 1.5 MB, 1.2 s of a link of 10 Mbit/s. A longer
change is not sent; each gateway reads the table from the store, which can serve all.
"""

PIECE_BYTES: Final = 12
"""Encoded size of a piece without its new bytes: two numbers, a length, the fields."""

MAX_TABLE_BYTES: Final = MAX_FRAME_BYTES
"""Largest table built from a change; gateways send a complete one in one frame."""

OBJECT: Final = re.compile(rb"[^}]*\}|[^}]+\Z")
"""Bytes up to the end of an object, or the rest after the last object."""


def change_between(base: PublishedTable, newest: PublishedTable) -> TableChange | None:
    """Return the change from `base` to `newest`; None if it is too long to send."""
    pieces: list[TablePiece] = []
    n_bytes = 0
    for piece in _pieces(base.data, newest.data):
        n_bytes += PIECE_BYTES + len(piece.added)
        if n_bytes > MAX_CHANGE_BYTES:
            return None
        pieces.append(piece)
    return TableChange(
        base_version=base.table.version,
        checksum=checksum(newest.data),
        pieces=pieces,
    )


def apply_change(base: PublishedTable, change: TableChange) -> bytes | None:
    """Return the bytes of the newest table; None if `change` does not fit `base`.

    A change from a peer may be damaged, or be based on another table of that version.
    The resulting length is checked first, as each piece may copy the complete base.
    """
    if change.base_version != base.table.version:
        return None
    n_bytes = 0
    for piece in change.pieces:
        if piece.n_bytes < 0 or not 0 <= piece.from_byte <= len(base.data):
            return None
        n_bytes += piece.n_bytes + len(piece.added)
        if n_bytes > MAX_TABLE_BYTES:
            return None
    data = b"".join(_apply_piece(base.data, piece) for piece in change.pieces)
    return data if checksum(data) == change.checksum else None


def _apply_piece(base: bytes, piece: TablePiece) -> bytes:
    kept = base[piece.from_byte : piece.from_byte + piece.n_bytes]
    return kept + piece.added


def _pieces(base: bytes, newest: bytes) -> Iterator[TablePiece]:
    """Yield pieces that build `newest`; each copies as many objects as possible."""
    offsets = {part.group(): part.start() for part in OBJECT.finditer(base)}
    piece = TablePiece(from_byte=0, n_bytes=0, added=b"")
    added = bytearray()
    next_byte = 0
    for part in OBJECT.findall(newest):
        continues = base.startswith(part, next_byte)
        offset = next_byte if continues else offsets.get(part)
        if offset is None:
            added += part
            continue
        next_byte = offset + len(part)
        if continues and not added:
            piece.n_bytes += len(part)
            continue
        piece.added = bytes(added)
        yield piece
        piece = TablePiece(from_byte=offset, n_bytes=len(part), added=b"")
        added.clear()
    piece.added = bytes(added)
    yield piece
