"""Limits of entries over all gateways: admits from budget leased from homes."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import NotRun
from ...protocol.gen.limits.ttypes import LeaseAnswer, LeaseAsk
from ...state.catalogue import Entry, Limits
from ...state.gateway_shares import N_BUCKETS, GatewayShares, bucket_key, bucket_of
from ...state.journal import Decision, Event, Figure, Journal
from ...state.lease_times import HOLD_S, slot_hold_s
from ...state.places import Place, place_list
from ...state.published import Published
from ..requests.peer_client import PeerClient
from ..requests.request_guards import UNLIMITED_PERMIT, Permit
from .entry_allowances import EntryAllowances, Moment
from .lease_contact import PERIOD_S, HomeContact
from .permits import HeldPermit

ASK_WAIT_S: Final = 0.25
"""Longest wait of a request for budget that is not in hand."""

N_ROUNDS: Final = 2
UNBOUND: Final = Limits()


@dataclass(frozen=True, slots=True, kw_only=True)
class Reliance:
    """The home that may count on this gateway's share of a bucket, and why.

    Parameters
    ----------
    home : str
        Process id.
    incarnation : int
        Of that home; another one knows nothing of it.
    sent_s : float
        Own clock, when it was last asked.
    """

    home: str
    incarnation: int
    sent_s: float


class Limiter:
    """Admits requests of one gateway within the limits of their entries.

    Parameters
    ----------
    gateway : str
        This gateway's process id.
    incarnation : int
        Its incarnation.
    published : Published
        Host list and catalogue in force.
    asker : PeerClient
        Reaches the homes.
    journal : Journal
        Takes refusals and lost leases.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = (
        "_allowances",
        "_asker",
        "_clock",
        "_gateway",
        "_holds_s",
        "_homes",
        "_incarnation",
        "_journal",
        "_published",
        "_reliances",
        "_start_s",
        "_tasks",
        "_told_s",
        "contacts",
        "is_leaving",
        "shares",
    )

    def __init__(
        self,
        *,
        gateway: str,
        incarnation: int,
        published: Published,
        asker: PeerClient,
        journal: Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self._published = published
        self._asker = asker
        self._journal = journal
        self._clock = clock
        self._start_s = clock()
        self._allowances: dict[str, EntryAllowances] = {}
        self._homes: dict[int, Place] = {}
        self._holds_s: dict[int, float] = {}
        self._reliances: dict[int, Reliance] = {}
        self._told_s: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] | None = None
        self.contacts: dict[str, HomeContact] = {}
        self.shares = GatewayShares(clock=clock)
        self.is_leaving = False
        published.subscribe(self._on_published)
        self._on_published()

    # Admission

    async def admit(
        self, entry_name: str, entry: Entry, n_tokens: int
    ) -> Result[Permit, NotRun]:
        """Return leave to run, or which limit refuses and for how long.

        Waits only when the budget in hand is not enough and the home has not
        lately said to come back later; then ``ASK_WAIT_S`` at most.
        """
        if entry.limits == UNBOUND:
            return Ok(UNLIMITED_PERMIT)
        allowances = self._allowances_of(entry_name, entry)
        taken = allowances.take(self._moment(allowances), n_tokens)
        for _ in range(N_ROUNDS):
            if isinstance(taken, Ok) or allowances.is_refused(self._clock()):
                break
            contact = self._contact_of(allowances.bucket)
            if contact is None or not contact.is_heard:
                break
            await contact.refresh(timeout_s=ASK_WAIT_S)
            taken = allowances.take(self._moment(allowances), n_tokens)
        match taken:
            case Err(error):
                self._record_refusal(entry_name, entry, error)
                return Err(error)
            case Ok(n_taken):
                kick = self._kicker(allowances.bucket)
                if allowances.is_low() and not allowances.is_refused(self._clock()):
                    kick()
                return Ok(
                    HeldPermit(allowances=allowances, n_tokens=n_taken, kick=kick)
                )

    def _allowances_of(self, name: str, entry: Entry) -> EntryAllowances:
        allowances = self._allowances.get(name)
        if allowances is None:
            allowances = EntryAllowances(
                name=name,
                entry=entry,
                gateway=self._gateway,
                shares=self.shares,
                now_s=self._clock(),
                asked_s=self._asked_s(bucket_of(name)),
            )
            self._allowances[name] = allowances
        allowances.entry = entry
        return allowances

    def _moment(self, allowances: EntryAllowances) -> Moment:
        now_s = self._clock()
        return Moment(
            now_s=now_s, share_from_s=self._asked_s(allowances.bucket) + HOLD_S
        )

    def _asked_s(self, bucket: int) -> float:
        """Return when a home could last begin to count on this gateway's share."""
        reliance = self._reliances.get(bucket)
        return reliance.sent_s if reliance is not None else self._start_s

    def _contact_of(self, bucket: int) -> HomeContact | None:
        home = self._homes.get(bucket)
        return self.contacts.get(home.process_id) if home else None

    def _kicker(self, bucket: int) -> Callable[[], None]:
        def kick() -> None:
            contact = self._contact_of(bucket)
            if contact is not None:
                contact.kick()

        return kick

    def _record_refusal(self, name: str, entry: Entry, error: NotRun) -> None:
        self._journal.record(
            Decision(
                event=Event.LIMIT_REFUSED,
                entry=name,
                owner=entry.owner,
                config_revision=self._published.catalogue.revision,
                peer=self._gateway,
                reason=error.reason,
                figures=(Figure(name="retry_after_s", value=error.retry_after_s),),
            )
        )

    # Homes

    def _on_published(self) -> None:
        self.shares.set_hosts(self._published.hosts)
        places = place_list(self._published.hosts)
        entries = self._published.catalogue.entries
        bound = {bucket_of(n) for n, e in entries.items() if e.limits != UNBOUND}
        pairs = {b: places.pair(bucket_key(b)) for b in range(N_BUCKETS) if b in bound}
        self._homes = {bucket: pair[0] for bucket, pair in pairs.items() if pair}
        self._holds_s = _holds_s(entries)
        for name in [name for name in self._allowances if name not in entries]:
            del self._allowances[name]
        self._open_contacts()

    def _open_contacts(self) -> None:
        """Keep a contact with each home, and with former ones until they let go."""
        now_s = self._clock()
        wanted = {home.process_id: home for home in self._homes.values()}
        for name, home in wanted.items():
            known = self.contacts.get(name)
            if known is None or known.home.address != home.address:
                self._close_contact(name)
                self.contacts[name] = HomeContact(
                    home=home, asker=self._asker, ledger=self, clock=self._clock
                )
            self._start_contact(name)
        held = {
            reliance.home
            for bucket, reliance in self._reliances.items()
            if now_s < reliance.sent_s + self._hold_s(bucket)
        }
        for name in [n for n in self.contacts if n not in wanted and n not in held]:
            self._close_contact(name)

    def _start_contact(self, name: str) -> None:
        if self._tasks is not None and name not in self._tasks:
            self._tasks[name] = asyncio.create_task(
                self.contacts[name].run(), name=f"limits {name}"
            )

    def _close_contact(self, name: str) -> None:
        self.contacts.pop(name, None)
        if self._tasks is not None and name in self._tasks:
            self._tasks.pop(name).cancel()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Limiter"]:
        """Keep contact with the homes while the context is open."""
        self._tasks = {}
        self._open_contacts()
        try:
            yield self
        finally:
            tasks, self._tasks = self._tasks, None
            for task in tasks.values():
                task.cancel()
            await asyncio.gather(*tasks.values(), return_exceptions=True)

    async def leave(self) -> None:
        """Tell every home in touch that this gateway uses its shares no more."""
        self.is_leaving = True
        heard = [contact for contact in self.contacts.values() if contact.is_heard]
        await asyncio.gather(*(contact.turn() for contact in heard))

    # What contacts ask

    def next_ask(self, home: Place, incarnation: int, now_s: float) -> LeaseAsk:
        """Return what to ask of `home` now; counted as sent."""
        here = [b for b, place in self._homes.items() if place == home]
        buckets = [b for b in here if self._may_rely(b, home, incarnation, now_s)]
        for bucket in buckets:
            self._reliances[bucket] = Reliance(
                home=home.process_id, incarnation=incarnation, sent_s=now_s
            )
        relied = frozenset(buckets)
        allowances = [h for h in self._allowances.values() if h.bucket in relied]
        if now_s < self._told_s.get(home.process_id, -math.inf) + PERIOD_S:
            allowances = [h for h in allowances if h.is_short()]
        else:
            self._told_s[home.process_id] = now_s
        wants = [h.wants(now_s, period_s=PERIOD_S) for h in allowances]
        for idle in [h.name for h in allowances if h.is_idle(now_s)]:
            del self._allowances[idle]
        return LeaseAsk(
            gateway=self._gateway,
            incarnation=self._incarnation,
            config_revision=self._published.catalogue.revision,
            hosts_revision=self._published.hosts.revision,
            wants=[want for told in wants for want in told],
            buckets=buckets,
            releases=list(self._releases(home, frozenset(here))),
            leaving=self.is_leaving,
        )

    def _may_rely(
        self, bucket: int, home: Place, incarnation: int, now_s: float
    ) -> bool:
        """Return True if no other home can count on this gateway's share.

        Guards against two homes believed at once, and against a home that was
        restarted: the former one may have lent the share to somebody.
        """
        reliance = self._reliances.get(bucket)
        if reliance is None:
            return True
        if (reliance.home, reliance.incarnation) == (home.process_id, incarnation):
            return True
        return now_s >= reliance.sent_s + self._hold_s(bucket)

    def _hold_s(self, bucket: int) -> float:
        return self._holds_s.get(bucket, HOLD_S)

    def _releases(self, home: Place, here: frozenset[int]) -> list[int]:
        return [
            bucket
            for bucket, reliance in self._reliances.items()
            if reliance.home == home.process_id and bucket not in here
        ]

    def take(self, home: Place, answer: LeaseAnswer, *, sent_s: float) -> None:
        """Take the answer to the ask sent at `sent_s`."""
        now_s = self._clock()
        for bucket in answer.released:
            reliance = self._reliances.get(bucket)
            if reliance is not None and reliance.home == home.process_id:
                del self._reliances[bucket]
        for grant in answer.grants:
            allowances = self._allowances.get(grant.entry)
            if allowances is not None:
                allowances.grant(grant, sent_s=sent_s, now_s=now_s)
        if self.contacts.keys() - {place.process_id for place in self._homes.values()}:
            self._open_contacts()

    def lose(self, home: Place) -> None:
        """Note that `home` answers no more."""
        self._journal.record(
            Decision(
                event=Event.LEASE_LOST,
                peer=home.process_id,
                detail="own shares are used until it answers again",
            )
        )


def _holds_s(entries: Mapping[str, Entry]) -> dict[int, float]:
    """Return for each bucket how long a home may count on a share of it.

    Longer than ``HOLD_S`` where an entry binds concurrency.
    """
    holds_s: dict[int, float] = {}
    for name, entry in entries.items():
        if entry.limits.n_concurrent is not None:
            bucket = bucket_of(name)
            hold_s = slot_hold_s(entry.deadline_s)
            holds_s[bucket] = max(hold_s, holds_s.get(bucket, HOLD_S))
    return holds_s
