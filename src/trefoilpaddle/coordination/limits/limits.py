"""Limits of entries over all gateways.

A gateway admits requests from budget that it leases from the homes of the limits.
"""

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
from ...state.published import Published
from ...state.replicas import Replica, replica_list
from ..requests.peer_client import PeerClient
from ..requests.request_guards import UNLIMITED_PERMIT, Permit
from .entry_allowances import AdmissionTimes, EntryAllowances
from .lease_contact import PERIOD_S, HomeContact
from .permits import HeldPermit

LEASE_WAIT_S: Final = 0.25
"""Longest wait of a request for budget that this gateway does not hold."""

MAX_LEASE_ROUNDS: Final = 2
NO_LIMITS: Final = Limits()


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareDelegation:
    """The home that may lease out this gateway's share of a bucket.

    Parameters
    ----------
    home : str
        Process id of the home.
    incarnation : int
        Incarnation of the home; another one has no record of the delegation.
    sent_s : float
        Time of the last lease request to it, on this gateway's monotonic clock.
    """

    home: str
    incarnation: int
    sent_s: float


class Limiter:
    """Admits requests of one gateway within the limits of their entries.

    Parameters
    ----------
    gateway : str
        Process id of this gateway.
    incarnation : int
        Incarnation of this gateway.
    published : Published
        Active host list and catalogue.
    asker : PeerClient
        Sends messages to the homes.
    journal : Journal
        Records refusals and lost leases.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        "_allowances",
        "_asker",
        "_clock",
        "_delegations",
        "_gateway",
        "_holds_s",
        "_homes",
        "_incarnation",
        "_journal",
        "_published",
        "_reported_s",
        "_start_s",
        "_tasks",
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
        self._homes: dict[int, Replica] = {}
        self._holds_s: dict[int, float] = {}
        self._delegations: dict[int, ShareDelegation] = {}
        self._reported_s: dict[str, float] = {}
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
        """Return a permit to run, or the limit that refuses and for how long.

        Waits only if this gateway holds too little budget and no retry-after
        time of an earlier refusal by the home is running, for at most
        ``LEASE_WAIT_S`` in each of ``MAX_LEASE_ROUNDS`` rounds.
        """
        if entry.limits == NO_LIMITS:
            return Ok(UNLIMITED_PERMIT)
        allowances = self._allowances_of(entry_name, entry)
        taken = allowances.take(self._times(allowances), n_tokens)
        for _ in range(MAX_LEASE_ROUNDS):
            if isinstance(taken, Ok) or allowances.is_backing_off(self._clock()):
                break
            contact = self._contact_of(allowances.bucket)
            if contact is None or not contact.is_responsive:
                break
            await contact.refresh(timeout_s=LEASE_WAIT_S)
            taken = allowances.take(self._times(allowances), n_tokens)
        match taken:
            case Err(error):
                self._record_refusal(entry_name, entry, error)
                return Err(error)
            case Ok(n_taken):
                trigger = self._lease_trigger(allowances.bucket)
                if allowances.is_low() and not allowances.is_backing_off(self._clock()):
                    trigger()
                return Ok(
                    HeldPermit(
                        allowances=allowances,
                        n_tokens=n_taken,
                        trigger_lease_request=trigger,
                    )
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
                last_request_s=self._last_request_s(bucket_of(name)),
            )
            self._allowances[name] = allowances
        allowances.entry = entry
        return allowances

    def _times(self, allowances: EntryAllowances) -> AdmissionTimes:
        now_s = self._clock()
        return AdmissionTimes(
            now_s=now_s,
            own_share_from_s=self._last_request_s(allowances.bucket) + HOLD_S,
        )

    def _last_request_s(self, bucket: int) -> float:
        """Return when this gateway last delegated its share, or its start time."""
        delegation = self._delegations.get(bucket)
        return delegation.sent_s if delegation is not None else self._start_s

    def _contact_of(self, bucket: int) -> HomeContact | None:
        home = self._homes.get(bucket)
        return self.contacts.get(home.process_id) if home else None

    def _lease_trigger(self, bucket: int) -> Callable[[], None]:
        def trigger() -> None:
            contact = self._contact_of(bucket)
            if contact is not None:
                contact.trigger()

        return trigger

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
        replicas = replica_list(self._published.hosts)
        entries = self._published.catalogue.entries
        limited_buckets = {
            bucket_of(n) for n, e in entries.items() if e.limits != NO_LIMITS
        }
        pairs = {
            b: replicas.pair(bucket_key(b))
            for b in range(N_BUCKETS)
            if b in limited_buckets
        }
        self._homes = {bucket: pair[0] for bucket, pair in pairs.items() if pair}
        self._holds_s = _holds_s(entries)
        for name in [name for name in self._allowances if name not in entries]:
            del self._allowances[name]
        self._open_contacts()

    def _open_contacts(self) -> None:
        """Keep a contact with each home, and with each former one while it is needed.

        A former home is needed until it has released this gateway's share or can
        no longer hold it.
        """
        now_s = self._clock()
        wanted = {home.process_id: home for home in self._homes.values()}
        for name, home in wanted.items():
            known = self.contacts.get(name)
            if known is None or known.home.address != home.address:
                self._close_contact(name)
                self.contacts[name] = HomeContact(
                    home=home, asker=self._asker, holder=self, clock=self._clock
                )
            self._start_contact(name)
        held = {
            delegation.home
            for bucket, delegation in self._delegations.items()
            if now_s < delegation.sent_s + self._hold_s(bucket)
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
        """Exchange lease requests with the homes while the context is open."""
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
        """Notify every responsive home that this gateway stops using its shares."""
        self.is_leaving = True
        responsive = [
            contact for contact in self.contacts.values() if contact.is_responsive
        ]
        await asyncio.gather(*(contact.exchange_once() for contact in responsive))

    # Lease requests

    def next_lease_request(
        self, home: Replica, incarnation: int, now_s: float
    ) -> LeaseAsk:
        """Return the lease request to send to `home` now, recorded as sent."""
        home_buckets = [b for b, place in self._homes.items() if place == home]
        buckets = [
            b for b in home_buckets if self._may_delegate(b, home, incarnation, now_s)
        ]
        for bucket in buckets:
            self._delegations[bucket] = ShareDelegation(
                home=home.process_id, incarnation=incarnation, sent_s=now_s
            )
        delegated = frozenset(buckets)
        allowances = [a for a in self._allowances.values() if a.bucket in delegated]
        if now_s < self._reported_s.get(home.process_id, -math.inf) + PERIOD_S:
            allowances = [a for a in allowances if a.is_urgent()]
        else:
            self._reported_s[home.process_id] = now_s
        wants = [a.report_wants(now_s, period_s=PERIOD_S) for a in allowances]
        for idle in [a.name for a in allowances if a.is_idle(now_s)]:
            del self._allowances[idle]
        return LeaseAsk(
            gateway=self._gateway,
            incarnation=self._incarnation,
            config_revision=self._published.catalogue.revision,
            hosts_revision=self._published.hosts.revision,
            wants=[want for entry_wants in wants for want in entry_wants],
            buckets=buckets,
            releases=list(self._releases(home, frozenset(home_buckets))),
            leaving=self.is_leaving,
        )

    def _may_delegate(
        self, bucket: int, home: Replica, incarnation: int, now_s: float
    ) -> bool:
        """Return True if no other home can still lease out this gateway's share.

        Guards against two homes that act at the same time, and against a home
        that was restarted: its former incarnation may have leased the share to
        another gateway.
        """
        delegation = self._delegations.get(bucket)
        if delegation is None:
            return True
        if (delegation.home, delegation.incarnation) == (home.process_id, incarnation):
            return True
        return now_s >= delegation.sent_s + self._hold_s(bucket)

    def _hold_s(self, bucket: int) -> float:
        return self._holds_s.get(bucket, HOLD_S)

    def _releases(self, home: Replica, home_buckets: frozenset[int]) -> list[int]:
        return [
            bucket
            for bucket, delegation in self._delegations.items()
            if delegation.home == home.process_id and bucket not in home_buckets
        ]

    def apply_answer(
        self, home: Replica, answer: LeaseAnswer, *, sent_s: float
    ) -> None:
        """Apply the response to the lease request sent at `sent_s`."""
        now_s = self._clock()
        for bucket in answer.released:
            delegation = self._delegations.get(bucket)
            if delegation is not None and delegation.home == home.process_id:
                del self._delegations[bucket]
        for grant in answer.grants:
            allowances = self._allowances.get(grant.entry)
            if allowances is not None:
                allowances.apply_grant(grant, sent_s=sent_s, now_s=now_s)
        if self.contacts.keys() - {place.process_id for place in self._homes.values()}:
            self._open_contacts()

    def record_home_lost(self, home: Replica) -> None:
        """Record that `home` does not respond any more."""
        self._journal.record(
            Decision(
                event=Event.LEASE_LOST,
                peer=home.process_id,
                detail="own shares are used until it answers again",
            )
        )


def _holds_s(entries: Mapping[str, Entry]) -> dict[int, float]:
    """Return for each bucket how long a home may hold a delegated share of it.

    It is longer than ``HOLD_S`` for buckets with a concurrency limit.
    """
    holds_s: dict[int, float] = {}
    for name, entry in entries.items():
        if entry.limits.n_concurrent is not None:
            bucket = bucket_of(name)
            hold_s = slot_hold_s(entry.deadline_s)
            holds_s[bucket] = max(hold_s, holds_s.get(bucket, HOLD_S))
    return holds_s
