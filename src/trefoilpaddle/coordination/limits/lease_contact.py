"""Contact of a gateway with one home of limits.

It probes the home, sends lease requests and detects that the home is lost.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Final, Protocol

from result import Ok

from ...protocol.const import NS_PER_S
from ...protocol.gen.limits.ttypes import LeaseAnswer, LeaseAsk
from ...state.replicas import Replica
from ..requests.peer_client import PeerClient, query_address

LEASE_REQUEST_TIMEOUT_S: Final = 0.4
"""Longest wait for a response, and the pause after a request without one."""

PERIOD_S: Final = 0.6
"""Time between lease requests when no caller waits; several fit into a lease."""

IDLE_PERIOD_S: Final = 1.5
"""Time between lease requests while no entry of the home is in use.

It is shorter than a lease.
"""

MIN_PERIOD_S: Final = 0.01
"""Shortest time between two lease requests to one home, even under load."""


class LeaseHolder(Protocol):
    """Builds lease requests and applies the responses; `Limiter` implements it."""

    def next_lease_request(
        self, home: Replica, incarnation: int, now_s: float
    ) -> LeaseAsk:
        """Return the lease request to send to `home` now, recorded as sent."""
        ...

    def apply_answer(
        self, home: Replica, answer: LeaseAnswer, *, sent_s: float
    ) -> None:
        """Apply the response to the lease request sent at `sent_s`."""
        ...

    def record_home_lost(self, home: Replica) -> None:
        """Record that `home` does not respond any more."""
        ...


class HomeContact:
    """Sends lease requests to one home from one task, which ends with the contact.

    A home that was unresponsive is first probed by an empty lease request. A real
    one would delegate this gateway's share to the home, and a home that is
    paused would keep that share for as long as lease requests are sent to it.

    Parameters
    ----------
    home : Replica
        The sidecar that is the home.
    asker : PeerClient
        Sends messages to the home.
    holder : LeaseHolder
        Builds the lease requests and applies the responses.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_holder",
        "_incarnation",
        "_is_exchanging",
        "_period_s",
        "_round",
        "_round_done",
        "_stamp_ns",
        "_stamped_s",
        "_triggered",
        "home",
    )

    def __init__(
        self,
        *,
        home: Replica,
        asker: PeerClient,
        holder: LeaseHolder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.home = home
        self._asker = asker
        self._holder = holder
        self._clock = clock
        self._incarnation = 0
        self._stamp_ns = 0
        self._stamped_s = 0.0
        self._triggered = asyncio.Event()
        self._period_s = PERIOD_S
        self._round = 0
        self._is_exchanging = False
        self._round_done = asyncio.Condition()

    @property
    def is_responsive(self) -> bool:
        """Return True if the home responded to the last lease request."""
        return self._incarnation != 0

    def trigger(self) -> None:
        """Send a lease request soon."""
        self._triggered.set()

    async def refresh(self, *, timeout_s: float) -> None:
        """Wait for the response to a lease request that is sent after this call."""
        target_round = self._round + 2 if self._is_exchanging else self._round + 1
        self._triggered.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._round_done:
                await self._round_done.wait_for(lambda: self._round >= target_round)

    async def run(self) -> None:
        """Send lease requests until cancelled."""
        while True:
            await self.exchange_once()
            await asyncio.sleep(
                MIN_PERIOD_S if self.is_responsive else LEASE_REQUEST_TIMEOUT_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._triggered.wait()

    async def exchange_once(self) -> None:
        """Probe the home if it was unresponsive, then send one lease request."""
        self._triggered.clear()
        self._is_exchanging = True
        if not self.is_responsive:
            await self._probe()
        if self.is_responsive:
            await self._request_leases()
        self._is_exchanging = False
        async with self._round_done:
            self._round += 1
            self._round_done.notify_all()

    async def _probe(self) -> None:
        answer = await self._send(LeaseAsk())
        if answer is not None:
            self._record_stamp(answer)

    async def _request_leases(self) -> None:
        sent_s = self._clock()
        request = self._holder.next_lease_request(self.home, self._incarnation, sent_s)
        self._period_s = PERIOD_S if request.wants else IDLE_PERIOD_S
        request.home_incarnation = self._incarnation
        request.stamp_ns = self._stamp_ns
        request.elapsed_ns = int((sent_s - self._stamped_s) * NS_PER_S)
        answer = await self._send(request)
        if answer is None or not answer.mine:
            self._incarnation = 0
            self._holder.record_home_lost(self.home)
            return
        self._record_stamp(answer)
        self._holder.apply_answer(self.home, answer, sent_s=sent_s)

    async def _send(self, request: LeaseAsk) -> LeaseAnswer | None:
        reply = await query_address(
            self._asker, self.home.address, request, timeout_s=LEASE_REQUEST_TIMEOUT_S
        )
        match reply:
            case Ok(LeaseAnswer() as answer):
                return answer
            case _:
                return None

    def _record_stamp(self, answer: LeaseAnswer) -> None:
        self._incarnation = answer.incarnation
        self._stamp_ns = answer.stamp_ns
        self._stamped_s = self._clock()
