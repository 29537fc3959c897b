"""What a new route table adds to the one before, so that few bytes tell it.

A change mostly concerns one route or one key; at 3,400 accounts a table has a
quarter of a megabyte. Tables are compared as bytes, cut where their objects end:
what they mean is for others to read.
"""

import re
from collections.abc import Iterator
from typing import Final

from ...protocol.checksum import checksum
from ...protocol.const import MAX_FRAME_BYTES
from ...protocol.gen.chain.ttypes import TableChange, TablePiece
from .published_store import PublishedTable

MAX_CHANGE_BYTES: Final = 16 * 1024
"""Longest change that is told, counted as its new bytes and `PIECE_BYTES` a piece.

A reader tells up to 95 others: 1.5 MB, 1.2 s of a link of 10 Mbit/s. A longer one is
not told, and each gateway reads the table from the store, which serves so many.
"""

PIECE_BYTES: Final = 12
"""A piece without its new bytes, encoded; two numbers, a length and the fields."""

MAX_TABLE_BYTES: Final = MAX_FRAME_BYTES
"""Largest table that is made from a change; gateways send one whole in a frame."""

OBJECT: Final = re.compile(rb"[^}]*\}|[^}]+\Z")
"""Bytes up to the end of an object, or what is left after the last."""


def change_between(base: PublishedTable, newest: PublishedTable) -> TableChange | None:
    """Return what makes `newest` out of `base`; None if it is too long to tell."""
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

    What a peer sends may be damaged, or made from another table of that version.
    Its length is looked at first: each piece may copy all of the table before.
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
    data = b"".join(_made(base.data, piece) for piece in change.pieces)
    return data if checksum(data) == change.checksum else None


def _made(base: bytes, piece: TablePiece) -> bytes:
    kept = base[piece.from_byte : piece.from_byte + piece.n_bytes]
    return kept + piece.added


def _pieces(base: bytes, newest: bytes) -> Iterator[TablePiece]:
    """Yield pieces that make `newest`, each as long as objects of `base` go on."""
    places = {part.group(): part.start() for part in OBJECT.finditer(base)}
    piece = TablePiece(from_byte=0, n_bytes=0, added=b"")
    added = bytearray()
    next_byte = 0
    for part in OBJECT.findall(newest):
        goes_on = base.startswith(part, next_byte)
        at = next_byte if goes_on else places.get(part)
        if at is None:
            added += part
            continue
        next_byte = at + len(part)
        if goes_on and not added:
            piece.n_bytes += len(part)
            continue
        piece.added = bytes(added)
        yield piece
        piece = TablePiece(from_byte=at, n_bytes=len(part), added=b"")
        added.clear()
    piece.added = bytes(added)
    yield piece
