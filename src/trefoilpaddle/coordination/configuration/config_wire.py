"""Conversion of configuration to and from messages between processes."""

import zlib
from collections.abc import Iterable, Iterator
from typing import Final

from result import Err, Ok, Result

from ...protocol.const import MAX_ITEMS
from ...protocol.gen.config.ttypes import Item
from ...state.config_items import PublishedItem, Version

PAGE_BYTES: Final = 512 * 1024
"""Size of the items in one message at which no further key is added.

A message still fits in a frame if its last value is as large as a megabyte.
"""

PAGE_ITEMS: Final = MAX_ITEMS // 2
"""Number of items in one message; the last key can add two beyond it."""

MAX_HOSTS_BYTES: Final = 16 * 1024 * 1024
"""Largest size of an unpacked host list."""


def to_wire(item: PublishedItem) -> Item:
    """Return the message that carries `item`."""
    value = item.version.value
    return Item(
        key=item.key,
        revision=item.version.revision,
        value=value or b"",
        deleted=value is None,
        accepted=item.is_accepted,
    )


def from_wire(items: Iterable[Item]) -> Iterator[PublishedItem]:
    """Yield the version that each message carries."""
    for item in items:
        value = None if item.deleted else item.value
        version = Version(revision=item.revision, value=value)
        yield PublishedItem(key=item.key, version=version, is_accepted=item.accepted)


def n_bytes(items: Iterable[PublishedItem]) -> int:
    """Return the approximate size of the items in a message, in bytes."""
    return sum(len(item.key) + len(item.version.value or b"") + 8 for item in items)


def pack_hosts(hosts_json: bytes) -> bytes:
    """Return the host list compressed for a message."""
    return zlib.compress(hosts_json)


def unpack_hosts(packed: bytes) -> Result[bytes, str]:
    """Return the host list as published, or an error text if it cannot be unpacked."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_HOSTS_BYTES)
    except zlib.error as error:
        return Err(str(error))
    if unpacker.unconsumed_tail:
        return Err(f"over {MAX_HOSTS_BYTES} bytes")
    return Ok(data)
