"""The requests of one gateway that wait for a slot of a service.

Answers a burst of some accounts at the gateways: requests of accounts within their
shares start at once, the others start as slots are left, and those that could not be
in time are refused when they arrive.
"""

import math
from bisect import insort
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from .slot_ledger import FREE, AccountLoad, SlotShare

RATE_WINDOW_S: Final = 0.5
"""Time constant in seconds of the measured arrivals of an account."""

CREDIT_S: Final = 0.25
"""Seconds of its share that an account may save up, or use in advance.

Requests arrive in clumps. A larger credit lets a burst take slots that the others need
in the next moment.
"""

HELD_SMOOTHING: Final = 0.1
"""Weight of the newest request in the mean time for which slots are held."""

BASE_RISE: Final = 0.005
"""The same for the time without contention, where a request takes longer.

Before contention is known, requests wait at the workers already. A base that followed
them would make busy workers look as if they had slots to spare.
"""

DEFAULT_HELD_S: Final = 0.05
"""Seconds for which a slot is taken to be held until a request has ended."""

MIN_RATE_PER_S: Final = 1e-3
"""Arrivals per second below which an idle account is forgotten."""

MAX_IDLE_ACCOUNTS: Final = 4096
"""Accounts that are remembered before those that are idle are forgotten."""

MAX_ROUTES: Final = 1024
"""Routes whose times are remembered; more than any configuration has."""

MAX_WAITING: Final = 2000
"""Requests that wait at one gateway for one service.

Most of those that arrive in excess are refused by their due time long before.
"""


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One request that wants a slot.

    Parameters
    ----------
    account : int
        Key of its account.
    weight : float
        Weight of its account.
    priority : int
        0 is the most urgent.
    due_s : float
        Monotonic time by which its answer is in time.
    route : str
        Name of its route.
    is_started : bool
        True once it holds a slot.
    began_s : float
        Monotonic time at which it got the slot.
    is_free_start : bool
        True if nothing was limited when it got the slot.
    is_begun : bool
        True once its answer has begun.
    """

    account: int
    weight: float
    priority: int
    due_s: float
    route: str = ""
    is_started: bool = False
    began_s: float = 0.0
    is_free_start: bool = False
    is_begun: bool = False

    def order(self) -> tuple[int, float]:
        """Return the sort key among the requests of its account."""
        return self.priority, self.due_s


@dataclass(frozen=True, slots=True, kw_only=True)
class Starts:
    """The request has a slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Waits:
    """The request waits for a slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TooLate:
    """The request cannot be in time and must be refused.

    Parameters
    ----------
    is_beyond_share : bool
        True if its account uses more than its share.
    wait_s : float
        Seconds that it would wait for a slot.
    """

    is_beyond_share: bool
    wait_s: float


Verdict = Starts | Waits | TooLate


class Credit:
    """Slot-seconds that an account, or a gateway, has saved up or used in advance."""

    __slots__ = ("_at_s", "seconds")

    def __init__(self, *, now_s: float) -> None:
        self._at_s = now_s
        self.seconds = math.inf

    def advance(
        self, now_s: float, *, n_slots: float, n_running: int, held_s: float
    ) -> None:
        """Add what was granted since the last call and subtract what was used."""
        limit = max(CREDIT_S * n_slots, held_s)
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if math.isinf(n_slots):
            self.seconds = math.inf
            return
        grown = min(self.seconds, limit) + (n_slots - n_running) * elapsed_s
        self.seconds = max(-limit, min(limit, grown))


@dataclass(slots=True, kw_only=True)
class AccountLine:
    """The requests of one account."""

    weight: float
    credit: Credit
    waiting: list[Ticket] = field(default_factory=list)
    n_running: int = 0
    n_recent: float = 0.0
    counted_s: float = 0.0
    n_refused: int = 0
    held_s: float = 0.0

    def count(self, now_s: float, *, n_arrived: int = 0) -> float:
        """Count arrivals; return their rate per second."""
        decay = math.exp(-max(0.0, now_s - self.counted_s) / RATE_WINDOW_S)
        self.n_recent = self.n_recent * decay + n_arrived
        self.counted_s = now_s
        return self.n_recent / RATE_WINDOW_S


class AdmissionLine:
    """Decides which requests of this gateway hold the slots of one service.

    Attributes
    ----------
    share : SlotShare
        What this gateway may use.
    free_limit : float
        Requests that may run while nothing is limited.
    capacity : float
        Requests that the workers of the service may have, from all gateways.
    n_answered : int
        Requests that workers have answered so far.
    n_running : int
        Requests that hold a slot.
    n_waiting : int
        Requests that wait for one.
    base_s : float
        Mean time in seconds that a slot is held without contention; 0 if unknown.
    """

    __slots__ = (
        "_accounts",
        "_begins_after_s",
        "_credit",
        "_held_s",
        "_waiting",
        "base_s",
        "capacity",
        "free_limit",
        "n_answered",
        "n_running",
        "n_waiting",
        "share",
    )

    def __init__(self, *, now_s: float) -> None:
        self._accounts: dict[int, AccountLine] = {}
        self._waiting: dict[int, AccountLine] = {}
        self._credit = Credit(now_s=now_s)
        self._held_s = 0.0
        self._begins_after_s: dict[str, float] = {}
        self.base_s = 0.0
        self.free_limit = math.inf
        self.capacity = math.inf
        self.n_answered = 0
        self.n_running = 0
        self.n_waiting = 0
        self.share = FREE

    @property
    def held_s(self) -> float:
        """Mean time in seconds that a slot is held; 0 until a request has ended."""
        return self._held_s

    def begins_after_s(self, route: str) -> float:
        """Return the mean seconds from getting a slot to the begin of the answer.

        Routes of one service may take very different times.
        """
        return self._begins_after_s.get(route, DEFAULT_HELD_S)

    def use(self, share: SlotShare, now_s: float) -> None:
        """Use another share from now on."""
        for account, line in self._accounts.items():
            self._advance(account, line, now_s)
        self._advance_total(now_s)
        self.share = share

    def arrive(self, ticket: Ticket, now_s: float) -> Verdict:
        """Decide about a request that has just arrived."""
        line = self._line(ticket, now_s)
        line.count(now_s, n_arrived=1)
        if not line.waiting and self._may_start(ticket.account, line, now_s):
            self._start(ticket, line, now_s)
            return Starts()
        wait_s = self._wait_s(ticket, line)
        if self._is_too_late(ticket, wait_s, now_s) or self.n_waiting >= MAX_WAITING:
            line.n_refused += 1
            return TooLate(
                is_beyond_share=self.share.is_contended
                and not self._is_within_share(ticket.account, line, now_s),
                wait_s=wait_s,
            )
        insort(line.waiting, ticket, key=Ticket.order)
        self._waiting[ticket.account] = line
        self.n_waiting += 1
        return Waits()

    def start_waiting(self, now_s: float) -> Iterator[Ticket]:
        """Start and yield the waiting requests that may have a slot now."""
        while self.n_waiting:
            line = self._next_line(now_s)
            if line is None:
                return
            ticket = line.waiting[0]
            self._remove(ticket, line)
            self._start(ticket, line, now_s)
            yield ticket

    def refuse_late(self, now_s: float) -> Iterator[Ticket]:
        """Remove and yield the waiting requests that cannot be in time any more."""
        for line in list(self._waiting.values()):
            late = [t for t in line.waiting if self._is_too_late(t, 0.0, now_s)]
            for ticket in late:
                self._remove(ticket, line)
                line.n_refused += 1
                yield ticket

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller has left."""
        line = self._waiting.get(ticket.account)
        if line is not None and ticket in line.waiting:
            self._remove(ticket, line)

    def begin_answer(self, ticket: Ticket, now_s: float) -> None:
        """Record that the answer of a request begins, with its first event if any."""
        if not ticket.is_begun:
            ticket.is_begun = True
            known = self._begins_after_s
            if len(known) >= MAX_ROUTES and ticket.route not in known:
                known.clear()
            known[ticket.route] = _smoothed(
                known.get(ticket.route, 0.0), now_s - ticket.began_s
            )

    def end(self, ticket: Ticket, now_s: float, *, has_run: bool) -> None:
        """Free the slot of a request.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now_s : float
            Monotonic time.
        has_run : bool
            True if a worker has answered it. The time for which a failed one has held
            its slot says nothing about the work.
        """
        line = self._accounts[ticket.account]
        self._advance(ticket.account, line, now_s)
        self._advance_total(now_s)
        self.n_running -= 1
        line.n_running -= 1
        if not has_run:
            return
        self.n_answered += 1
        self.begin_answer(ticket, now_s)
        held_s = now_s - ticket.began_s
        self._held_s = _smoothed(self._held_s, held_s)
        line.held_s = _smoothed(line.held_s, held_s)
        if ticket.is_free_start:
            self._learn_base(held_s)

    def _learn_base(self, held_s: float) -> None:
        """Learn the time without contention from a request that began without any.

        Where demand is high from the first request on, none ends before contention is
        known. What other requests add to its time then must not raise the base.
        """
        if held_s < self.base_s or not self.base_s:
            self.base_s = _smoothed(self.base_s, held_s)
        elif not self.share.is_contended:
            self.base_s = _smoothed(self.base_s, held_s, BASE_RISE)

    def loads(self, now_s: float) -> dict[int, AccountLoad]:
        """Return the load of each account; those that are idle are forgotten."""
        loads: dict[int, AccountLoad] = {}
        for account, line in list(self._accounts.items()):
            rate_per_s = line.count(now_s)
            is_idle = not line.n_running and not line.waiting
            if is_idle and rate_per_s < MIN_RATE_PER_S:
                del self._accounts[account]
                continue
            loads[account] = AccountLoad(
                weight=line.weight,
                n_offered=rate_per_s * self._held_s_of(line),
                n_running=line.n_running,
                n_waiting=len(line.waiting),
            )
        return loads

    def n_refused(self) -> Mapping[int, int]:
        """Return how many requests of each account were refused so far."""
        return {account: line.n_refused for account, line in self._accounts.items()}

    def _line(self, ticket: Ticket, now_s: float) -> AccountLine:
        line = self._accounts.get(ticket.account)
        if line is None:
            if len(self._accounts) >= MAX_IDLE_ACCOUNTS:
                self.loads(now_s)
            line = AccountLine(weight=ticket.weight, credit=Credit(now_s=now_s))
            self._accounts[ticket.account] = line
        line.weight = ticket.weight
        return line

    def _start(self, ticket: Ticket, line: AccountLine, now_s: float) -> None:
        self._advance(ticket.account, line, now_s)
        self._advance_total(now_s)
        ticket.is_started = True
        ticket.began_s = now_s
        ticket.is_free_start = not self.share.is_contended
        line.n_running += 1
        self.n_running += 1

    def _may_start(self, account: int, line: AccountLine, now_s: float) -> bool:
        if not self.share.is_contended:
            return self.n_running < self.free_limit
        return self._is_within_share(account, line, now_s) or self._has_spare(now_s)

    def _is_within_share(self, account: int, line: AccountLine, now_s: float) -> bool:
        n_slots = self.share.of(account, line.weight)
        self._advance(account, line, now_s)
        return line.credit.seconds > 0.0 and line.n_running < math.ceil(n_slots) + 1

    def _has_spare(self, now_s: float) -> bool:
        """Return True if accounts leave slots of this gateway that others may use."""
        n_slots = self.share.n_slots
        self._advance_total(now_s)
        return self._credit.seconds > 0.0 and self.n_running < math.ceil(n_slots)

    def _next_line(self, now_s: float) -> AccountLine | None:
        """Return the account whose first waiting request starts next, if any may."""
        waiting = self._waiting
        if not self.share.is_contended:
            if self.n_running >= self.free_limit:
                return None
            return min(waiting.values(), key=lambda line: line.waiting[0].order())
        within = [
            line
            for account, line in waiting.items()
            if self._is_within_share(account, line, now_s)
        ]
        if within:
            return min(within, key=lambda line: line.waiting[0].order())
        if not self._has_spare(now_s):
            return None
        return max(waiting.values(), key=lambda line: line.credit.seconds / line.weight)

    def _wait_s(self, ticket: Ticket, line: AccountLine) -> float:
        """Return the expected seconds until a request of an account has a slot."""
        if self.share.is_contended:
            n_slots = self.share.expected(ticket.account, ticket.weight)
        else:
            # The home grants what is spare at once; it may be far more than the limit.
            n_slots = max(self.free_limit, self.capacity)
        n_ahead = sum(t.order() <= ticket.order() for t in line.waiting)
        return n_ahead * self._held_s_of(line) / max(MIN_RATE_PER_S, n_slots)

    def _is_too_late(self, ticket: Ticket, wait_s: float, now_s: float) -> bool:
        return now_s + wait_s + self.begins_after_s(ticket.route) > ticket.due_s

    def _known_held_s(self) -> float:
        return self._held_s or DEFAULT_HELD_S

    def _held_s_of(self, line: AccountLine) -> float:
        """Return the mean seconds for which an account's requests hold a slot."""
        return line.held_s or self._known_held_s()

    def _remove(self, ticket: Ticket, line: AccountLine) -> None:
        line.waiting.remove(ticket)
        self.n_waiting -= 1
        if not line.waiting:
            del self._waiting[ticket.account]

    def _advance(self, account: int, line: AccountLine, now_s: float) -> None:
        line.credit.advance(
            now_s,
            n_slots=self.share.of(account, line.weight),
            n_running=line.n_running,
            held_s=self._held_s_of(line),
        )

    def _advance_total(self, now_s: float) -> None:
        self._credit.advance(
            now_s,
            n_slots=self.share.n_slots,
            n_running=self.n_running,
            held_s=self._known_held_s(),
        )


def _smoothed(mean: float, value: float, weight: float = HELD_SMOOTHING) -> float:
    return mean + weight * (value - mean) if mean else value
