"""What binds a request before its first stage: limits and request keys."""

from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from ..protocol.errors import NotRun, StageError
from ..state.catalogue import Entry
from .request import Request


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
class Granted:
    """The request is new under its key; it runs here."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AlreadyAnswered:
    """The request was answered before; `result` is that answer."""

    result: bytes


Grant = Granted | AlreadyAnswered


class Claimer(Protocol):
    """Makes requests with one key run at most once."""

    async def claim(self, request: Request) -> Result[Grant, StageError]:
        """Return whether the request may run, or why it may not."""
        ...

    def settle(self, request: Request, *, was_started: bool, result: bytes) -> None:
        """Report the end of a granted request; `result` is empty without one.

        `was_started` is True if a stage that must run at most once may have
        been started.
        """
        ...


class _FreePermit:
    __slots__ = ()

    def release(self, *, n_tokens: int | None = None) -> None:
        """Give nothing back."""


class FreeLimiter:
    """Limiter that binds nothing."""

    __slots__ = ()

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return leave to run."""
        return Ok(_FreePermit())


class FreeClaimer:
    """Claimer that takes every request as new."""

    __slots__ = ()

    async def claim(self, request: Request) -> Result[Grant, StageError]:
        """Return that the request is new."""
        return Ok(Granted())

    def settle(self, request: Request, *, was_started: bool, result: bytes) -> None:
        """Keep nothing."""
