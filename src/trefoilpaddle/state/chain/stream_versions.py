"""Remembers for streams that have begun which software version began them."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Final

KEY_BYTES: Final = 16

MAX_STREAMS: Final = 20_000
"""Streams that are remembered; 4 MB, and many times those that run at a time."""

MAX_VERSION_CHARS: Final = 200
"""Longest version that is remembered from a peer."""


def stream_key(attempt_id: str) -> bytes:
    """Return the key of the stream whose first event an attempt brought.

    Callers choose their ids, of any length; the key has 16 bytes.
    """
    return blake2b(attempt_id.encode(), digest_size=KEY_BYTES).digest()


class StreamVersions:
    """The software versions of the streams that were begun last, by key."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: OrderedDict[bytes, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._versions)

    def put(self, key: bytes, software_version: str) -> None:
        """Remember the version that began a stream; forget the oldest if too many."""
        if len(key) != KEY_BYTES or len(software_version) > MAX_VERSION_CHARS:
            return
        self._versions[key] = software_version
        self._versions.move_to_end(key)
        while len(self._versions) > MAX_STREAMS:
            self._versions.popitem(last=False)

    def get(self, key: bytes) -> str | None:
        """Return the version that began a stream; None if it is not known."""
        return self._versions.get(key)
