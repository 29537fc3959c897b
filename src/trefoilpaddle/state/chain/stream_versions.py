"""Remembers for streams that have begun which software version began them."""

import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
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


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamVersion:
    """The version that began a stream.

    Parameters
    ----------
    software_version : str
        The version.
    until_s : float
        Monotonic time after which the stream is not resumed any more.
    """

    software_version: str
    until_s: float


class StreamVersions:
    """The software versions of the streams that were begun last, by key."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: OrderedDict[bytes, StreamVersion] = OrderedDict()

    def __len__(self) -> int:
        return len(self._versions)

    def put(self, key: bytes, software_version: str, *, life_s: float) -> None:
        """Remember the version that began a stream; forget the oldest if too many."""
        if len(key) != KEY_BYTES or len(software_version) > MAX_VERSION_CHARS:
            return
        self._versions[key] = StreamVersion(
            software_version=software_version, until_s=time.monotonic() + life_s
        )
        self._versions.move_to_end(key)
        while len(self._versions) > MAX_STREAMS:
            self._versions.popitem(last=False)

    def get(self, key: bytes) -> str | None:
        """Return the version that began a stream; None if it is not known."""
        known = self._versions.get(key)
        return None if known is None else known.software_version

    def unexpired(self) -> Iterator[tuple[bytes, StreamVersion]]:
        """Forget the streams whose life is over, and yield the others."""
        now_s = time.monotonic()
        for key, known in list(self._versions.items()):
            if known.until_s > now_s:
                yield key, known
            else:
                self._versions.pop(key, None)
