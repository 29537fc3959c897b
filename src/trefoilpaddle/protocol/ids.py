"""Random ids of attempts, requests and incarnations."""

import secrets
from dataclasses import dataclass

from result import Err, Ok, Result

from .const import ATTEMPT_ID_BYTES


def new_attempt_id() -> bytes:
    """Return a fresh random id of ``ATTEMPT_ID_BYTES`` bytes for one attempt."""
    return secrets.token_bytes(ATTEMPT_ID_BYTES)


def new_incarnation() -> int:
    """Return a random positive number that tells this start from any other."""
    return secrets.randbits(62) + 1


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
    def mint(cls, *, process_id: str, incarnation: int) -> "RequestId":
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
