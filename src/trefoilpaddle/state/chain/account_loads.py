"""What each client account offers to the stage services of a cell, and its share.

Answers a burst of a few accounts at stages that many accounts use: its pieces must not
fill the queues that the chains of the other accounts pass.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from .account_shares import AccountDemand, max_min_level

RATE_DECAY_S: Final = 1.0
"""Time in seconds after which a measured rate has fallen to 1/e without pieces.

A share that an account leaves unused is lent, and taken back, in about this time.
"""

SUSTAINED_DECAY_S: Final = 3.0
"""Such a time for a second rate; an account is beyond its share if both rates are.

A caller may send several requests at once. In a cell with four workers per service,
five chains that arrive together exceed the share of a small account for a second.
"""

IDLE_S: Final = 3.0
"""Seconds without a chain after which an account is forgotten at a service.

Its decayed rate is then a twentieth of what it was.
"""

LEVEL_PERIOD_S: Final = 0.05
"""Seconds for which computed shares are kept; a quarter of a call.

Computing them sorts the accounts, which is too much for each of a hundred chains per
second.
"""

MAX_ACCOUNTS: Final = 1000
"""Accounts that are remembered at a service; the one idle for longest is dropped."""

SHARE_TOLERANCE: Final = 1.5
"""Multiple of its share that an account may offer before it is held to it.

Even accounts that together offer too much exceed their shares at random. Without a
tolerance, the work done and the value in time fell although none was to be protected.
"""


class DecayedRate:
    """Pieces per second, exponentially decayed."""

    __slots__ = ("_at_s", "_decay_s", "_per_s")

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._per_s = 0.0
        self._at_s = 0.0

    def add(self, n_pieces: int, now_s: float) -> None:
        """Count pieces."""
        self._per_s = self.per_s(now_s) + n_pieces / self._decay_s
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the pieces per second."""
        return self._per_s * math.exp(min(0.0, self._at_s - now_s) / self._decay_s)


@dataclass(frozen=True, slots=True, kw_only=True)
class ExceededShare:
    """An account that offers a contended service more than its share.

    Parameters
    ----------
    account : int
        Key of the account.
    service : str
        The service.
    offered_per_s, admitted_per_s, share_per_s : float
        Pieces per second that the account offers and that were admitted, and its
        share.
    total_per_s, pace_per_s : float
        Pieces per second that all accounts offer, and that the service completes
        in full calls.
    """

    account: int
    service: str
    offered_per_s: float
    admitted_per_s: float
    share_per_s: float
    total_per_s: float
    pace_per_s: float

    def __str__(self) -> str:
        return (
            f"account {self.account} offers {self.offered_per_s:.1f}/s to"
            f" {self.service}, admitted {self.admitted_per_s:.1f}/s, share"
            f" {self.share_per_s:.1f}/s; all offer {self.total_per_s:.1f}/s of"
            f" {self.pace_per_s:.1f}/s"
        )


class _AccountLoad:
    """Load of one account at one service."""

    __slots__ = ("admitted", "offered", "seen_s", "sustained", "weight")

    def __init__(self) -> None:
        self.offered = DecayedRate(RATE_DECAY_S)
        self.sustained = DecayedRate(SUSTAINED_DECAY_S)
        self.admitted = DecayedRate(RATE_DECAY_S)
        self.weight = 1.0
        self.seen_s = 0.0


class _ServiceLoads:
    """Loads of all accounts at one service, the one idle for longest first."""

    __slots__ = ("accounts", "level", "level_until_s", "pace_per_s", "total_per_s")

    def __init__(self) -> None:
        self.accounts: OrderedDict[int, _AccountLoad] = OrderedDict()
        self.level = math.inf
        self.level_until_s = -math.inf
        self.pace_per_s = 0.0
        self.total_per_s = 0.0

    def seen(self, account: int, weight: float, now_s: float) -> _AccountLoad:
        """Return the load of an account that has a chain now."""
        load = self.accounts.get(account)
        if load is None:
            load = self.accounts[account] = _AccountLoad()
            if len(self.accounts) > MAX_ACCOUNTS:
                self.accounts.popitem(last=False)
        load.weight = weight
        load.seen_s = now_s
        self.accounts.move_to_end(account)
        return load

    def refresh_level(self, pace_per_s: Callable[[], float], now_s: float) -> None:
        """Compute the shares again if they are not recent."""
        if now_s < self.level_until_s:
            return
        self.level_until_s = now_s + LEVEL_PERIOD_S
        while self.accounts:
            idle_longest = next(iter(self.accounts.values()))
            if now_s - idle_longest.seen_s <= IDLE_S:
                break
            self.accounts.popitem(last=False)
        demands = [
            AccountDemand(
                account=account, weight=load.weight, n_slots=load.offered.per_s(now_s)
            )
            for account, load in self.accounts.items()
        ]
        self.total_per_s = sum(demand.n_slots for demand in demands)
        self.level = math.inf
        if len(demands) > 1:
            self.pace_per_s = pace_per_s()
            self.level = max_min_level(demands, self.pace_per_s)


class AccountLoads:
    """What the accounts offer to the services of one cell, as its scheduler sees it.

    Chains without a stated account (0) are neither counted nor limited. A service
    limits no account while it has chains of one account only.
    """

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, _ServiceLoads] = {}

    def record_offered(
        self, account: int, weight: float, n_pieces: Mapping[str, int], now_s: float
    ) -> None:
        """Record a chain that arrives for the first time.

        Parameters
        ----------
        account : int
            Key of its account.
        weight : float
            Weight of the account, above 0.
        n_pieces : mapping of str to int
            Pieces of the chain by service.
        now_s : float
            Monotonic time.
        """
        if not account:
            return
        for service, n_own in n_pieces.items():
            loads = self._by_service.setdefault(service, _ServiceLoads())
            load = loads.seen(account, weight, now_s)
            load.offered.add(n_own, now_s)
            load.sustained.add(n_own, now_s)

    def record_admitted(
        self, account: int, n_pieces: Mapping[str, int], now_s: float
    ) -> None:
        """Record that a chain was admitted."""
        for service, n_own in n_pieces.items():
            loads = self._by_service.get(service)
            load = None if loads is None else loads.accounts.get(account)
            if load is not None:
                load.admitted.add(n_own, now_s)

    def exceeded(
        self,
        account: int,
        service: str,
        pace_per_s: Callable[[], float],
        now_s: float,
    ) -> ExceededShare | None:
        """Return by what an account exceeds its share at a service, if it does.

        Parameters
        ----------
        account : int
            Key of the account.
        service : str
            The service.
        pace_per_s : callable
            Returns the pieces per second that the workers of the service complete in
            full calls; called once in `LEVEL_PERIOD_S`.
        now_s : float
            Monotonic time.
        """
        loads = self._by_service.get(service)
        load = None if loads is None else loads.accounts.get(account)
        if loads is None or load is None:
            return None
        loads.refresh_level(pace_per_s, now_s)
        share_per_s = loads.level * load.weight
        offered_per_s = load.offered.per_s(now_s)
        least_per_s = min(offered_per_s, load.sustained.per_s(now_s))
        if least_per_s <= SHARE_TOLERANCE * share_per_s:
            return None
        return ExceededShare(
            account=account,
            service=service,
            offered_per_s=offered_per_s,
            admitted_per_s=load.admitted.per_s(now_s),
            share_per_s=share_per_s,
            total_per_s=loads.total_per_s,
            pace_per_s=loads.pace_per_s,
        )
