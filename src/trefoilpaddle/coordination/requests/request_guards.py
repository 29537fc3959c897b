"""What binds a request before its first stage: request keys and limits."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Ok, Result

from ...protocol.errors import NotRun, StageError
from ...state.catalogue import Entry
from .request import Answer, Refusal, Request


class Permit(Protocol):
    """Leave to run one request within its entry's limits."""

    def release(self, *, n_tokens: int | None = None) -> None:
        """Give the place back when the request has ended.

        `n_tokens` are the tokens that it used, None when not known.
        """
        ...


class Limiter(Protocol):
    """Holds the limits of the catalogue over all gateways together."""

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return leave to run, or which limit refuses and for how long.

        Waits only when this gateway has none of the entry's budget in hand.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class NewRequest:
    """The request is new under its key; it runs here and is settled after."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PriorOutcome:
    """An earlier try ended; the caller gets what that one got.

    Parameters
    ----------
    request_id : str
        The earlier try.
    outcome : Result[Answer, Refusal]
        How it ended.
    """

    request_id: str
    outcome: Result[Answer, Refusal]


KeyState = NewRequest | PriorOutcome


class KeyGuard(Protocol):
    """Makes requests with one key run at most once."""

    async def claim(self, request: Request) -> Result[KeyState, StageError]:
        """Return whether the request may run, or why it may not."""
        ...

    def settle(
        self, request: Request, outcome: Result[Answer, Refusal] | None, *, is_run: bool
    ) -> None:
        """Report the end of a claimed request.

        Parameters
        ----------
        request : Request
            What was claimed.
        outcome : Result[Answer, Refusal], optional
            How it ended; None when its caller left before.
        is_run : bool
            False if a retry may run it without running anything twice that must
            run once.
        """
        ...

    async def flush(self) -> None:
        """Wait until all ends that were reported have arrived."""
        ...


class _FreePermit:
    __slots__ = ()

    def release(self, *, n_tokens: int | None = None) -> None:
        """Give nothing back."""


UNLIMITED_PERMIT: Final = _FreePermit()
"""The permit of whatever nothing binds."""


class UnlimitedLimiter:
    """Limiter that binds nothing."""

    __slots__ = ()

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return leave to run."""
        return Ok(UNLIMITED_PERMIT)


class UnguardedKeys:
    """Key guard that takes every request as new."""

    __slots__ = ()

    async def claim(self, request: Request) -> Result[KeyState, StageError]:
        """Return that the request is new."""
        return Ok(NewRequest())

    def settle(
        self, request: Request, outcome: Result[Answer, Refusal] | None, *, is_run: bool
    ) -> None:
        """Keep nothing."""

    async def flush(self) -> None:
        """Return at once; nothing is ever under way."""
