"""A gateway's contact with one home of limits: probes, asks, notices its loss."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Final, Protocol

from result import Ok

from ...protocol.const import NS_PER_S
from ...protocol.gen.limits.ttypes import LeaseAnswer, LeaseAsk
from ...state.places import Place
from ..requests.peer_client import PeerClient, query_address

ASK_TIMEOUT_S: Final = 0.4
"""Longest wait for the home, and the pause after it was not heard."""

PERIOD_S: Final = 0.6
"""Time between asks when no request waits; several fit into one lease."""

IDLE_PERIOD_S: Final = 1.5
"""The same while no entry of the home is in use; shorter than a lease."""

MIN_PERIOD_S: Final = 0.01
"""Least time between two asks to one home, however many requests wait."""


class Ledger(Protocol):
    """What a contact asks for and where answers go; `Limiter` is one."""

    def next_ask(self, home: Place, incarnation: int, now_s: float) -> LeaseAsk:
        """Return what to ask of `home` now; counted as sent."""
        ...

    def take(self, home: Place, answer: LeaseAnswer, *, sent_s: float) -> None:
        """Take the answer to the ask sent at `sent_s`."""
        ...

    def lose(self, home: Place) -> None:
        """Note that `home` answers no more."""
        ...


class HomeContact:
    """Keeps in touch with one home; one task, ended with the contact.

    A home that was silent is first probed by an ask that commits to nothing: a
    real one would let it count on this gateway's share, and a home that stands
    still would hold that share for as long as it is asked.

    Parameters
    ----------
    home : Place
        The sidecar asked.
    asker : PeerClient
        Reaches it.
    ledger : Ledger
        What to ask, and who takes the answers.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_incarnation",
        "_kick",
        "_ledger",
        "_period_s",
        "_round",
        "_stamp_ns",
        "_stamped_s",
        "_turned",
        "_turning",
        "home",
    )

    def __init__(
        self,
        *,
        home: Place,
        asker: PeerClient,
        ledger: Ledger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.home = home
        self._asker = asker
        self._ledger = ledger
        self._clock = clock
        self._incarnation = 0
        self._stamp_ns = 0
        self._stamped_s = 0.0
        self._kick = asyncio.Event()
        self._period_s = PERIOD_S
        self._round = 0
        self._turning = False
        self._turned = asyncio.Condition()

    @property
    def is_heard(self) -> bool:
        """Return True if the home answered the last ask."""
        return self._incarnation != 0

    def kick(self) -> None:
        """Ask soon."""
        self._kick.set()

    async def refresh(self, *, timeout_s: float) -> None:
        """Wait for the answer to an ask that is sent from now on."""
        wanted = self._round + 2 if self._turning else self._round + 1
        self._kick.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._turned:
                await self._turned.wait_for(lambda: self._round >= wanted)

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            await self.turn()
            await asyncio.sleep(MIN_PERIOD_S if self.is_heard else ASK_TIMEOUT_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._period_s):
                    await self._kick.wait()

    async def turn(self) -> None:
        """Probe the home if it was silent, then ask it once."""
        self._kick.clear()
        self._turning = True
        if not self.is_heard:
            await self._probe()
        if self.is_heard:
            await self._ask()
        self._turning = False
        async with self._turned:
            self._round += 1
            self._turned.notify_all()

    async def _probe(self) -> None:
        answer = await self._send(LeaseAsk())
        if answer is not None:
            self._note_stamp(answer)

    async def _ask(self) -> None:
        sent_s = self._clock()
        ask = self._ledger.next_ask(self.home, self._incarnation, sent_s)
        self._period_s = PERIOD_S if ask.wants else IDLE_PERIOD_S
        ask.home_incarnation = self._incarnation
        ask.stamp_ns = self._stamp_ns
        ask.elapsed_ns = int((sent_s - self._stamped_s) * NS_PER_S)
        answer = await self._send(ask)
        if answer is None or not answer.mine:
            self._incarnation = 0
            self._ledger.lose(self.home)
            return
        self._note_stamp(answer)
        self._ledger.take(self.home, answer, sent_s=sent_s)

    async def _send(self, ask: LeaseAsk) -> LeaseAnswer | None:
        reply = await query_address(
            self._asker, self.home.address, ask, timeout_s=ASK_TIMEOUT_S
        )
        match reply:
            case Ok(LeaseAnswer() as answer):
                return answer
            case _:
                return None

    def _note_stamp(self, answer: LeaseAnswer) -> None:
        self._incarnation = answer.incarnation
        self._stamp_ns = answer.stamp_ns
        self._stamped_s = self._clock()
