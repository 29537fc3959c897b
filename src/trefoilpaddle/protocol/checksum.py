"""Checksums of bodies and answers, and the stable hash for rendezvous hashing."""

import xxhash

_SIGN_BIT = 1 << 63
_RANGE = 1 << 64


def _signed(value: int) -> int:
    return value - _RANGE if value >= _SIGN_BIT else value


def checksum(data: bytes) -> int:
    """Return the xxh3 checksum of `data` as a signed 64-bit integer."""
    return _signed(xxhash.xxh3_64_intdigest(data))


class RunningChecksum:
    """Incremental checksum over chunks in the order in which they are added."""

    __slots__ = ("_state",)

    def __init__(self) -> None:
        self._state = xxhash.xxh3_64()

    def add(self, data: bytes) -> None:
        """Include `data` in the checksum."""
        self._state.update(data)

    def value(self) -> int:
        """Return the signed 64-bit checksum of all added data."""
        return _signed(self._state.intdigest())


def rendezvous_score(key: str, node: str) -> int:
    """Return the rendezvous score of `node` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())
