"""Random ids of attempts, requests and incarnations."""

import secrets
import time
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from .const import ATTEMPT_ID_BYTES

AGE_RANDOM_BITS: Final = 20
"""A millisecond of nanoseconds; starts within it have no order."""


def new_attempt_id() -> bytes:
    """Return a fresh random id of ``ATTEMPT_ID_BYTES`` bytes for one attempt."""
    return secrets.token_bytes(ATTEMPT_ID_BYTES)


def new_incarnation() -> int:
    """Return a random positive number that tells this start from any other."""
    return secrets.randbits(62) + 1


def time_ordered_incarnation() -> int:
    """Return the number of a start that begins now, greater than older ones.

    It orders starts by the wall clocks of their hosts. Clocks that differ give
    another order, but the same one to all who compare, and nothing that must be
    right depends on it. Its last bits are random, so that two are never equal.
    """
    random_bits = secrets.randbits(AGE_RANDOM_BITS)
    return time.time_ns() >> AGE_RANDOM_BITS << AGE_RANDOM_BITS | random_bits


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestId:
    """Id of a request; says which process made it, and which start of it.

    Parameters
    ----------
    process_id : str
        The process that minted the id.
    incarnation : int
        That process's incarnation.
    token : str
        Random part, hexadecimal.
    """

    process_id: str
    incarnation: int
    token: str

    def __str__(self) -> str:
        return f"{self.process_id}.{self.incarnation:x}.{self.token}"

    @classmethod
    def generate(cls, *, process_id: str, incarnation: int) -> "RequestId":
        """Return a fresh id made by the given process."""
        token = secrets.token_hex(8)
        return cls(process_id=process_id, incarnation=incarnation, token=token)

    @classmethod
    def parse(cls, text: str) -> "Result[RequestId, str]":
        """Return the id that `text` spells, or what is wrong with it."""
        parts = text.rsplit(".", 2)
        if len(parts) != 3 or not all(parts):
            return Err(f"{text!r} is not PROCESS.INCARNATION.TOKEN")
        try:
            incarnation = int(parts[1], 16)
        except ValueError:
            return Err(f"incarnation {parts[1]!r} of {text!r} is not hexadecimal")
        return Ok(cls(process_id=parts[0], incarnation=incarnation, token=parts[2]))
