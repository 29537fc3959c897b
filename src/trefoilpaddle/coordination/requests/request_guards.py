"""Checks before a request's first stage: request keys and limits."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Ok, Result

from ...protocol.errors import NotRun, StageError
from ...state.catalogue import Entry
from .request import Answer, Refusal, Request


class Permit(Protocol):
    """Permission to run one request within its entry's limits."""

    def release(self, *, n_tokens: int | None = None) -> None:
        """Release the slot when the request has ended.

        `n_tokens` is the number of tokens that it used; None if not known.
        """
        ...


class Limiter(Protocol):
    """Enforces the limits of the catalogue across all gateways."""

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return a permit, or the limit that refuses the request and for how long.

        Waits only if this gateway holds nothing of the entry's budget.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class NewRequest:
    """The request is new under its key; it runs at this gateway, then is settled."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PriorOutcome:
    """An earlier try has ended; the caller gets the same outcome.

    Parameters
    ----------
    request_id : str
        Request id of the earlier try.
    outcome : Result[Answer, Refusal]
        Outcome of the earlier try.
    """

    request_id: str
    outcome: Result[Answer, Refusal]


KeyState = NewRequest | PriorOutcome


class KeyGuard(Protocol):
    """Ensures that the requests with one key run at most once."""

    async def claim(self, request: Request) -> Result[KeyState, StageError]:
        """Return whether the request may run, or why it may not."""
        ...

    def settle(
        self, request: Request, outcome: Result[Answer, Refusal] | None, *, is_run: bool
    ) -> None:
        """Report the outcome of a claimed request.

        Parameters
        ----------
        request : Request
            The claimed request.
        outcome : Result[Answer, Refusal], optional
            Outcome of the request; None if its caller left before.
        is_run : bool
            False if a retry may run it without running anything twice that must
            run at most once.
        """
        ...

    async def flush(self) -> None:
        """Wait until all reported outcomes have been delivered."""
        ...


class _UnlimitedPermit:
    __slots__ = ()

    def release(self, *, n_tokens: int | None = None) -> None:
        """Do nothing."""


UNLIMITED_PERMIT: Final = _UnlimitedPermit()
"""Permit of a request that no limit applies to."""


class UnlimitedLimiter:
    """Limiter without limits."""

    __slots__ = ()

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return a permit."""
        return Ok(UNLIMITED_PERMIT)


class UnguardedKeys:
    """Key guard that treats every request as new."""

    __slots__ = ()

    async def claim(self, request: Request) -> Result[KeyState, StageError]:
        """Return that the request is new."""
        return Ok(NewRequest())

    def settle(
        self, request: Request, outcome: Result[Answer, Refusal] | None, *, is_run: bool
    ) -> None:
        """Do nothing."""

    async def flush(self) -> None:
        """Return immediately; no reports are ever pending."""
