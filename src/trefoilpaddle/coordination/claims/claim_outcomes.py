"""Keys that a gateway claims, and the outcomes of a claim."""

from dataclasses import dataclass

from ...protocol.errors import NotRun, Unknown
from ...protocol.ids import RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A request key as the caller sent it.

    Parameters
    ----------
    text : str
        Client account and the account's own key, or the generated request id.
    generated_id : RequestId, optional
        Set if the key is an id from ``POST /v1/requests``.
    """

    text: str
    generated_id: RequestId | None = None


def account_key(account: str, key: str) -> Key:
    """Return the key that `account` sent as ``Idempotency-Key``."""
    return Key(text=f"{account}/{key}")


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyGranted:
    """This try runs the request; settle it when the request has an outcome.

    Parameters
    ----------
    key : Key
        The claimed key.
    request_id : str
        Id of the try.
    addresses : tuple of str
        Peers that know the claim; empty if only this process knows it or none
        does.
    """

    key: Key
    request_id: str
    addresses: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """An earlier try has ended; `result` is None if it was too large to keep."""

    request_id: str
    result: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """An earlier try still runs at `gateway`."""

    request_id: str
    gateway: str


ClaimOutcome = KeyGranted | Answered | InProgress | NotRun | Unknown
