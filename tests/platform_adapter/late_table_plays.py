"""Configurations that spread over crowded links beside a slow store, in virtual time.

``PYTHONPATH=platform python -m tests.platform_adapter.late_table_plays`` draws for each
seed how slow the store is, what callers' streams leave of weak links, which hosts read
for the others, and how many messages are late or lost. It prints the seeds in which a
version is not active everywhere in time.
"""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any, Final

import fire
import pytest
from absl import logging

from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.chain.ttypes import StoreNews, TablePart

from ..chain.virtual_time import run_virtual
from . import weak_link_network
from .weak_link_network import Gateway, Hosts, Network, PeerLink

CONFIGURATION_S: Final = 3.0
"""Time within which a change must be active everywhere."""

HOSTS: Final = Hosts(n_strong=4, n_weak=8)
N_WEAK_READERS: Final = 2
READER_MILLICORES: Final = 3000

LINK_BYTES_PER_S: Final = 1_250_000
FIRST_ROUTES: Final = 400
N_MORE: Final = 1400
N_GROWTHS: Final = 3
SETTLED_S: Final = 6.0
BETWEEN_S: Final = 8.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Troubles:
    """What a play draws.

    Parameters
    ----------
    store_delay_s : float
        Time that the store takes for each answer.
    taken : float
        Share of weak links that callers' streams take.
    has_weak_readers : bool
        True if hosts on weak links read for the others.
    lost_updates, lost_parts : float
        Share of the updates of readers, and of the parts of tables, that are lost.
    late_s : float
        Longest delay of every second update.
    """

    store_delay_s: float
    taken: float
    has_weak_readers: bool
    lost_updates: float
    lost_parts: float
    late_s: float


def drawn(rng: random.Random, *, loses_parts: bool) -> Troubles:
    """Return the troubles of a play."""
    return Troubles(
        store_delay_s=rng.choice([0.05, 0.3, 0.3, 0.6, 0.9, 1.5, 2.25]),
        taken=rng.choice([0.5, 0.7, 0.85]),
        has_weak_readers=rng.random() < 0.3,
        lost_updates=rng.choice([0.0, 0.0, 0.1, 0.3]),
        lost_parts=rng.choice([0.0, 0.1, 0.4]) if loses_parts else 0.0,
        late_s=rng.choice([0.0, 0.0, 0.5, 5.0]),
    )


class LatePlay:
    """One network, and when each version became active at each gateway.

    Parameters
    ----------
    rng : random.Random
        Draws messages that are late or lost.
    troubles : Troubles
        What happens in the play.
    """

    def __init__(self, *, rng: random.Random, troubles: Troubles) -> None:
        self._rng = rng
        self._troubles = troubles
        self._is_troubled = False

    async def run(self) -> list[float]:
        """Return the times in seconds until each version was active everywhere."""
        network = Network(HOSTS, n_routes=FIRST_ROUTES)
        if self._troubles.has_weak_readers:
            n_others = len(network.members) - N_WEAK_READERS
            network.members[n_others:] = [
                replace(each, millicores=READER_MILLICORES)
                for each in network.members[n_others:]
            ]
        network.start()
        await asyncio.sleep(SETTLED_S)
        network.start_task(network.write_heartbeats())
        network.store_delay_s = self._troubles.store_delay_s
        self._is_troubled = True
        await asyncio.sleep(SETTLED_S + self._rng.random())
        active: list[asyncio.Task[float]] = []
        n_routes = FIRST_ROUTES
        for _ in range(N_GROWTHS):
            n_routes += N_MORE
            for pause_s in (self._rng.choice([0.05, 0.4, 1.2, 2.4]), BETWEEN_S):
                version = network.publish(n_routes)
                active.append(asyncio.create_task(network.activation_s(version)))
                await asyncio.sleep(pause_s)
        return [await each for each in active]

    @contextmanager
    def losing_messages(self) -> Iterator[None]:
        """Delay and lose messages between gateways while the context is open."""
        receive, carry = Gateway.receive, PeerLink._carry

        def receive_late(gateway: Gateway, message: Message) -> None:
            if not self._is_troubled or not isinstance(message, StoreNews):
                receive(gateway, message)
            elif self._rng.random() >= self._troubles.lost_updates:
                is_late = self._rng.random() < 0.5
                late_s = self._troubles.late_s * self._rng.random() if is_late else 0.0
                loop = asyncio.get_running_loop()
                loop.call_later(late_s, receive, gateway, message)

        async def carry_or_lose(link: PeerLink, message: Message, *ends: Any) -> None:
            await carry(link, message, *ends)
            may_be_lost = self._is_troubled and isinstance(message, TablePart)
            if may_be_lost and self._rng.random() < self._troubles.lost_parts:
                raise asyncio.CancelledError

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Gateway, "receive", receive_late)
            patch.setattr(PeerLink, "_carry", carry_or_lose)
            patch.setattr(
                weak_link_network,
                "WEAK_LINK_BYTES_PER_S",
                LINK_BYTES_PER_S * (1 - self._troubles.taken),
            )
            yield


def times_s(seed: int, *, loses_parts: bool) -> tuple[Troubles, list[float]]:
    """Return what a play drew, and when each version was active everywhere."""
    random.seed(seed)
    rng = random.Random(seed)
    troubles = drawn(rng, loses_parts=loses_parts)
    play = LatePlay(rng=rng, troubles=troubles)
    with play.losing_messages(), pytest.MonkeyPatch.context() as patch:
        return troubles, run_virtual(patch, play.run())


def print_plays(first: int = 0, n_seeds: int = 40, loses_parts: bool = False) -> None:
    """Play some seeds; print those in which a version is late, and how many are.

    Parameters
    ----------
    first : int
        The first seed.
    n_seeds : int
        Number of plays.
    loses_parts : bool
        Whether parts of tables are lost as well.
    """
    logging.set_verbosity(logging.FATAL)
    n_late, latest_s = 0, 0.0
    for seed in range(first, first + n_seeds):
        troubles, active_s = times_s(seed, loses_parts=loses_parts)
        latest_s = max(latest_s, *active_s)
        if max(active_s) > CONFIGURATION_S:
            n_late += 1
            print(f"{seed}: {max(active_s):.2f} s, {troubles}", flush=True)
    print(f"{n_late} of {n_seeds} plays late, at most {latest_s:.2f} s")


if __name__ == "__main__":
    fire.Fire(print_plays)
