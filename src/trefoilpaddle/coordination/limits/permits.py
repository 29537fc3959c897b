"""Permits to run one request within the limits of its entry."""

from collections.abc import Callable

from .entry_allowances import EntryAllowances


class HeldPermit:
    """Permit that holds a slot and tokens of an entry until it is released.

    Parameters
    ----------
    allowances : EntryAllowances
        Receives the slot and unused tokens on release.
    n_tokens : int
        Tokens that the request took.
    trigger_lease_request : callable
        Causes a lease request to the home soon; called when another gateway
        waits for the slot.
    """

    __slots__ = ("_allowances", "_n_tokens", "_trigger_lease_request")

    def __init__(
        self,
        *,
        allowances: EntryAllowances,
        n_tokens: int,
        trigger_lease_request: Callable[[], None],
    ) -> None:
        self._allowances: EntryAllowances | None = allowances
        self._n_tokens = n_tokens
        self._trigger_lease_request = trigger_lease_request

    def release(self, *, n_tokens: int | None = None) -> None:
        """Return the slot, and the tokens that were taken beyond `n_tokens`.

        If `n_tokens` is None, all tokens count as used. Further calls have no
        effect.
        """
        if self._allowances is None:
            return
        n_used = self._n_tokens if n_tokens is None else n_tokens
        self._allowances.release(n_unused_tokens=self._n_tokens - n_used)
        if self._allowances.is_contended():
            self._trigger_lease_request()
        self._allowances = None
