"""Leave to run one request within the limits that bind its entry."""

from collections.abc import Callable

from .entry_allowances import EntryAllowances


class HeldPermit:
    """Leave to run that holds a place and tokens of an entry.

    Parameters
    ----------
    allowances : EntryAllowances
        Where place and tokens go back to.
    n_tokens : int
        Tokens taken.
    trigger_lease_request : callable
        Asks the home soon; called when another gateway waits for the place.
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
        """Give back the place, and the tokens taken beyond `n_tokens`."""
        if self._allowances is None:
            return
        n_used = self._n_tokens if n_tokens is None else n_tokens
        self._allowances.release(n_unused_tokens=self._n_tokens - n_used)
        if self._allowances.is_contended():
            self._trigger_lease_request()
        self._allowances = None
