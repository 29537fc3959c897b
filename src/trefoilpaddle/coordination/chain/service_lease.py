"""What this gateway may use of one service, and the requests that wait for it."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from absl import logging

from ...protocol.gen.chain.ttypes import SlotGrant, SlotReport
from ...protocol.reasons import Reason
from ...state.chain.account_shares import (
    AccountDemand,
    account_key,
    account_weight,
    max_min_level,
)
from ...state.chain.admission_line import AdmissionLine, Ticket, TooLate, Waits
from ...state.chain.requests import Refused
from ...state.chain.retry_times import OverloadClock
from ...state.chain.slot_ledger import (
    CONTENTION_SHARE,
    FREE,
    ServiceLoad,
    SlotShare,
    capacity_of,
)
from ...state.chain.worker_uses import WorkerStart
from ...state.journal import Decision, Event, Figure, Journal
from .job import Job
from .slot_home import MAX_REPORT_PERIOD_S, report_period_s
from .slot_wire import load_to_wire, share_from_wire, uses_from_wire

FREE_RATIO: Final = 1.25
"""Part of its even share, with one more gateway, that a gateway uses without asking.

Callers are spread unevenly over the gateways. What all may use without asking stays
within the queues of the workers.
"""

MIN_FREE: Final = 2
"""Requests that a gateway sends without asking, however many gateways there are."""

GRANT_WAIT_S: Final = 0.3
"""Longest wait for an answer of the home; many times a message's latency."""

UNKNOWN_RETRY_S: Final = 0.05
"""Time until a home is asked again that does not know the other gateways yet."""

EARLY_PERIODS: Final = 0.2
"""Report periods after which demand that rises is reported early.

It bounds the cost of a home at five times that of the regular reports.
"""

GRANT_VALID_S: Final = 1.0
GRANT_VALID_PERIODS: Final = 3
"""A grant ends after so many seconds, and after at least so many report periods."""

CONTENTION_S: Final = 2.0
"""Seconds for which a gateway reports after it has heard of contention."""

SHED_WINDOW_S: Final = 1.0
"""Seconds within which workers that shed count together."""

START_CHECK_S: Final = 0.01
"""Period of the check whether credit lets a waiting request start."""

LATE_CHECK_S: Final = 0.05
"""Period of the check whether waiting requests can still be in time."""


MIN_LOGGED_WAIT_S: Final = 0.01
"""Shortest wait that is logged; shorter ones are the answer time of the home."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedSlots:
    """The slots of the usable workers of a service."""

    n_slots: int
    n_workers: int

    @property
    def capacity(self) -> float:
        """Requests that keep all of them in use."""
        return capacity_of(self.n_slots, self.n_workers)


@dataclass(slots=True, kw_only=True)
class HeldSlot:
    """A slot that a request holds.

    Parameters
    ----------
    has_run : bool
        True once a worker has answered the request.
    shed_by : list of str
        Ids of the workers that have turned the request away.
    on_begin : callable
        Called when the answer begins.
    """

    has_run: bool = False
    shed_by: list[str] = field(default_factory=list)
    on_begin: Callable[[], None] = lambda: None

    def mark_begun(self) -> None:
        """Record that the answer begins."""
        self.on_begin()


@contextlib.asynccontextmanager
async def unlimited_slot(job: Job) -> AsyncIterator[HeldSlot | Refused]:
    """Hold a slot of a service that nothing limits."""
    yield HeldSlot()


HoldSlot = Callable[[Job], contextlib.AbstractAsyncContextManager[HeldSlot | Refused]]
"""Returns the context in which a request holds a slot of its service."""


class ServiceLease:
    """The lease of one service's slots at this gateway.

    Parameters
    ----------
    service : str
        Name of the service.
    may_grow : callable
        Returns True if its workers may have more slots than are published.
    published : callable
        Returns the published slots; None if they are not known.
    n_gateways : callable
        Returns the number of live gateways.
    ask_home : callable
        Sends a report to the home of the service and returns its answer; None without
        an answer in time.
    uses : callable
        Returns the requests of this gateway by worker.
    on_uses : callable
        Called with the requests of all gateways by worker.
    journal : Journal
        Receives decisions.

    Attributes
    ----------
    line : AdmissionLine
        The requests that hold a slot or wait for one.
    home_id : str
        Id of the gateway that granted the present share; empty without a grant.
    """

    __slots__ = (
        "_ask_home",
        "_contended_until_s",
        "_granted_s",
        "_journal",
        "_late_check_s",
        "_may_grow",
        "_n_gateways",
        "_n_sheds",
        "_n_told",
        "_on_uses",
        "_overload",
        "_published",
        "_service",
        "_shed_s",
        "_started",
        "_task",
        "_timer",
        "_uses",
        "_wake",
        "has_reported",
        "home_id",
        "line",
    )

    def __init__(
        self,
        *,
        service: str,
        may_grow: Callable[[], bool],
        published: Callable[[], PublishedSlots | None],
        n_gateways: Callable[[], int],
        ask_home: Callable[[SlotReport], Awaitable[tuple[str, SlotGrant] | None]],
        uses: Callable[[], Mapping[WorkerStart, int]],
        on_uses: Callable[[Mapping[WorkerStart, int]], None],
        journal: Journal,
    ) -> None:
        self._service = service
        self._may_grow = may_grow
        self._published = published
        self._n_gateways = n_gateways
        self._ask_home = ask_home
        self._uses = uses
        self._on_uses = on_uses
        self._journal = journal
        self._overload = OverloadClock()
        self._started: dict[Ticket, asyncio.Future[bool]] = {}
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._contended_until_s = -math.inf
        self._granted_s = -math.inf
        self._late_check_s = 0.0
        self._n_sheds = 0
        self._shed_s: dict[str, float] = {}
        self._n_told = 0
        self._wake = asyncio.Event()
        self.has_reported = False
        self.home_id = ""
        self.line = AdmissionLine(now_s=time.monotonic())

    @contextlib.asynccontextmanager
    async def slot(self, job: Job) -> AsyncIterator[HeldSlot | Refused]:
        """Hold a slot for a request while the context is open, or refuse the request.

        A request waits for its slot before the body of the context runs.
        """
        now_s = time.monotonic()
        ticket = self._ticket(job, now_s)
        self._end_grant(now_s)
        if not self.line.share.is_contended:
            self._set_free_limit()
        match self.line.arrive(ticket, now_s):
            case TooLate() as verdict:
                yield self._refused(job, ticket, verdict, now_s)
                return
            case Waits():
                if not await self._wait(ticket):
                    verdict = TooLate(
                        is_beyond_share=self.line.share.is_contended,
                        wait_s=time.monotonic() - now_s,
                    )
                    yield self._refused(job, ticket, verdict, time.monotonic())
                    return
                waited_s = time.monotonic() - now_s
                if waited_s >= MIN_LOGGED_WAIT_S:
                    self._record_wait(job, waited_s)
        if now_s < self._contended_until_s:
            self._keep_reporting()
        held = HeldSlot(on_begin=lambda: self._begin_answer(ticket))
        try:
            yield held
        finally:
            self.line.end(ticket, time.monotonic(), has_run=held.has_run)
            if held.shed_by:
                self._record_sheds(held.shed_by)
            self._start_waiting()

    def hear_contention(self) -> None:
        """Report for some time, as the home has announced contention."""
        self._contended_until_s = time.monotonic() + CONTENTION_S
        if self.line.n_running or self.line.n_waiting:
            self._keep_reporting()

    @property
    def is_idle(self) -> bool:
        """True if no request holds a slot or waits for one."""
        return not self.line.n_running and not self.line.n_waiting

    async def leave(self) -> None:
        """Give the share back, as this gateway stops."""
        self.close()
        if self.has_reported:
            self.has_reported = False
            await self._ask_home(
                SlotReport(service_name=self._service, is_leaving=True)
            )

    def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ticket(self, job: Job, now_s: float) -> Ticket:
        due_s = min(
            job.request.received_s + job.route.target_latency_s, job.begins_by_s
        )
        if now_s + self.line.begins_after_s(job.route.name) > due_s:
            # It is late in any case, and is served if there is room before its end.
            due_s = job.begins_by_s
        return Ticket(
            account=account_key(job.account.name),
            weight=account_weight(job.account.priority),
            priority=job.route.priority,
            due_s=due_s,
            route=job.route.name,
        )

    def _begin_answer(self, ticket: Ticket) -> None:
        self.line.begin_answer(ticket, time.monotonic())

    async def _wait(self, ticket: Ticket) -> bool:
        """Wait until a request has its slot; return False if it cannot be in time."""
        started: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._started[ticket] = started
        self._keep_reporting()
        if not self.line.share.is_contended:
            # The home may grant what is spare; in a large fleet, the next report is
            # due in more than a second.
            self._wake.set()
        self._schedule_start_check()
        try:
            return await started
        except BaseException:
            # The caller left, perhaps just as the slot was assigned.
            if ticket.is_started:
                self.line.end(ticket, time.monotonic(), has_run=False)
                self._start_waiting()
            else:
                self.line.withdraw(ticket)
            raise
        finally:
            del self._started[ticket]

    def _refused(
        self, job: Job, ticket: Ticket, verdict: TooLate, now_s: float
    ) -> Refused:
        self._overload.record_refusal(now_s)
        share = self.line.share
        n_slots = share.of(ticket.account, ticket.weight)
        decided_by = f"home {self.home_id}" if self.home_id else "this gateway"
        return Refused(
            reason=Reason.SHARE_EXCEEDED
            if verdict.is_beyond_share
            else Reason.PREDICTED_LATE,
            retry_after_s=self._overload.retry_after_s(now_s),
            detail=(
                f"account {job.account.name}: {n_slots:.2f} of"
                f" {share.n_slots:.1f} slots of {self._service} here,"
                f" {self.line.n_waiting} wait, {verdict.wait_s:.2f} s,"
                f" by {decided_by}"
            ),
        )

    def _record_sheds(self, worker_ids: Sequence[str]) -> None:
        """Report sheds if more than one worker sheds, or the only one.

        A single worker may be at fault. The home would shrink the capacity for it, and
        find contention while the others idle.
        """
        now_s = time.monotonic()
        self._shed_s |= dict.fromkeys(worker_ids, now_s)
        self._shed_s = {
            worker_id: shed_s
            for worker_id, shed_s in self._shed_s.items()
            if now_s - shed_s < SHED_WINDOW_S
        }
        published = self._published()
        if published is None or len(self._shed_s) >= min(2, published.n_workers):
            self._n_sheds += len(worker_ids)
            self._keep_reporting()

    def _record_wait(self, job: Job, waited_s: float) -> None:
        self._journal.record(
            Decision(
                event=Event.QUEUED,
                request_id=job.request.request_id,
                entry=job.route.name,
                owner=job.account.name,
                stage=self._service,
                detail="waited for a slot of its account's share",
                figures=(
                    Figure(name="waited_s", value=waited_s),
                    Figure(name="n_running", value=self.line.n_running),
                ),
            )
        )

    def _set_free_limit(self) -> None:
        """Set how many requests may run here while nothing is limited."""
        published = self._published()
        if published is None:
            self.line.free_limit = self.line.capacity = math.inf
            return
        self.line.capacity = published.capacity
        self.line.free_limit = self._unasked_limit(published)
        if self._is_reporting():
            # What the home has found to be spare at the last report, also of capacity
            # that it has measured beyond the published one.
            granted = self.line.share.n_slots
            if math.isinf(granted):
                granted = published.capacity
            self.line.capacity = max(published.capacity, granted)
            self.line.free_limit = max(self.line.free_limit, math.ceil(granted))

    def _unasked_limit(self, published: PublishedSlots) -> int:
        """Return how many requests may run here without a grant."""
        even = FREE_RATIO * published.capacity / (self._n_gateways() + 1)
        return max(MIN_FREE, math.ceil(even))

    def _is_reporting(self) -> bool:
        return self._task is not None and not self._task.done() and bool(self.home_id)

    def _start_waiting(self) -> None:
        """Start the requests that may have a slot now, and refuse those too late."""
        now_s = time.monotonic()
        self._end_grant(now_s)
        if now_s - self._late_check_s >= LATE_CHECK_S:
            self._late_check_s = now_s
            for ticket in self.line.refuse_late(now_s):
                self._resolve(ticket, has_slot=False)
        for ticket in self.line.start_waiting(now_s):
            self._resolve(ticket, has_slot=True)
        self._schedule_start_check()

    def _resolve(self, ticket: Ticket, *, has_slot: bool) -> None:
        started = self._started[ticket]
        if not started.done():
            started.set_result(has_slot)

    def _schedule_start_check(self) -> None:
        if self.line.n_waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(START_CHECK_S, self._on_start_check)

    def _on_start_check(self) -> None:
        self._timer = None
        self._start_waiting()

    def _keep_reporting(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report_while_needed())

    async def _report_while_needed(self) -> None:
        """Report and use what is granted, until the service has slots for all."""
        began_s = time.monotonic()
        # Answers of the time before say nothing about the present throughput.
        self._n_told = self.line.n_answered
        while True:
            try:
                period_s = await self._report(began_s)
            except Exception:
                # An exception would leave requests waiting without any grant.
                logging.log_every_n_seconds(
                    logging.ERROR,
                    "reporting the load of %s failed",
                    1,
                    self._service,
                    exc_info=True,
                )
                period_s = MAX_REPORT_PERIOD_S
                self._start_without_limit()
            if self._may_end(time.monotonic()):
                self.home_id = ""
                return
            await self._sleep(period_s)

    async def _sleep(self, period_s: float) -> None:
        """Wait until the next report is due, or demand rises without contention."""
        shortest_s = min(period_s, max(UNKNOWN_RETRY_S, EARLY_PERIODS * period_s))
        await asyncio.sleep(shortest_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s - shortest_s):
                await self._wake.wait()

    async def _report(self, began_s: float) -> float:
        """Report once; return the seconds until the next report."""
        published = self._published()
        if published is None:
            self._use(FREE)
            return report_period_s(self._n_gateways())
        self._wake.clear()
        report = self._new_report(published)
        asked_s = time.monotonic()
        answer = await self._ask_home(report)
        self.has_reported = True
        now_s = time.monotonic()
        share = None
        if answer is not None:
            home_id, grant = answer
            self._on_uses(uses_from_wire(grant))
            share = share_from_wire(grant)
        period_s = report_period_s(self._n_gateways())
        if share is not None:
            self.home_id = home_id
            # This process may have been paused since the home answered.
            self._granted_s = asked_s
            self._use(share)
            return period_s
        if now_s >= max(self._grant_ends_s(), began_s + GRANT_WAIT_S):
            self.home_id = ""
            share = self._even_share(published)
            if share.is_contended:
                self._contended_until_s = max(
                    self._contended_until_s, now_s + CONTENTION_S
                )
            self._use(share)
        return UNKNOWN_RETRY_S if answer is not None else period_s

    def _grant_ends_s(self) -> float:
        """Return the monotonic time at which the last grant ends."""
        period_s = report_period_s(self._n_gateways())
        return self._granted_s + max(GRANT_VALID_S, GRANT_VALID_PERIODS * period_s)

    def _end_grant(self, now_s: float) -> None:
        """Use an even share if the grant has ended, as after a pause of the process.

        The home may have granted its slots to other gateways meanwhile.
        """
        if not self.home_id or not self.line.share.is_contended:
            return
        published = self._published()
        if now_s >= self._grant_ends_s() and published is not None:
            self.home_id = ""
            self.line.use(self._even_share(published), now_s)
            self._set_free_limit()

    def _new_report(self, published: PublishedSlots) -> SlotReport:
        n_answered = self.line.n_answered - self._n_told
        n_sheds, self._n_sheds = self._n_sheds, 0
        self._n_told = self.line.n_answered
        load = ServiceLoad(
            accounts=self.line.loads(time.monotonic()),
            n_slots=published.n_slots,
            n_workers=published.n_workers,
            base_s=self.line.base_s,
            n_answered=n_answered,
            n_sheds=n_sheds,
        )
        return load_to_wire(
            self._service, load, may_grow=self._may_grow(), uses=self._uses()
        )

    def _even_share(self, published: PublishedSlots) -> SlotShare:
        """Return an even part of the capacity, for when no home grants any.

        Accounts are limited only while they demand about that much here: a limit
        without a shortage would never end without a home.
        """
        n_slots = published.capacity / max(1, self._n_gateways())
        demands = [
            AccountDemand(account=account, weight=load.weight, n_slots=load.demand)
            for account, load in self.line.loads(time.monotonic()).items()
        ]
        total = sum(demand.n_slots for demand in demands)
        if total <= CONTENTION_SHARE * n_slots:
            return SlotShare(is_contended=False, n_slots=n_slots)
        level = min(n_slots, max_min_level(demands, n_slots))
        return SlotShare(is_contended=True, n_slots=n_slots, level=level)

    def _use(self, share: SlotShare) -> None:
        self.line.use(share, time.monotonic())
        if not share.is_contended:
            self._set_free_limit()
        self._start_waiting()

    def _start_without_limit(self) -> None:
        """Start all waiting requests."""
        self.line.use(FREE, time.monotonic())
        self.line.free_limit = math.inf
        self._start_waiting()

    def _may_end(self, now_s: float) -> bool:
        """Return True if no report is needed.

        The home forgets how much the workers do if nobody reports what is more than
        they publish, and would find contention again.
        """
        published = self._published()
        return (
            not self.line.share.is_contended
            and not self.line.n_waiting
            and now_s >= self._contended_until_s
            and (
                published is None
                or self.line.n_running <= self._unasked_limit(published)
            )
        )
