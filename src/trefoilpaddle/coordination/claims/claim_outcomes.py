"""What a gateway claims, and what it is told."""

from dataclasses import dataclass

from ...protocol.errors import NotRun, Unknown
from ...protocol.ids import RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A request key as a caller gave it.

    Parameters
    ----------
    text : str
        Client account and its own key, or the minted id.
    generated_id : RequestId, optional
        Set where the key is an id from ``POST /v1/requests``.
    """

    text: str
    generated_id: RequestId | None = None


def account_key(account: str, key: str) -> Key:
    """Return the key that `account` gave as ``Idempotency-Key``."""
    return Key(text=f"{account}/{key}")


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyGranted:
    """This try runs the request; settle it when the request has ended.

    Parameters
    ----------
    key : Key
        What was claimed.
    request_id : str
        The try.
    addresses : tuple of str
        Peers that know the claim; empty where it is known to nobody, or here.
    """

    key: Key
    request_id: str
    addresses: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """An earlier try was answered; its answer is `result`, None when too large."""

    request_id: str
    result: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """An earlier try still runs, at `gateway`."""

    request_id: str
    gateway: str


ClaimOutcome = KeyGranted | Answered | InProgress | NotRun | Unknown
