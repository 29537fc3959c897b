"""Planned stops of gateways and sidecars under load, drawn from a seed.

More seeds than the tests play: ``python -m tests.stop_schedules --seeds 50``.
"""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

import fire

from tests.harness import CHAIN, FREE, ONCE, Fleet, GatewaySlot, SidecarSlot, fleet
from tests.soak.soak_stalls import Stall, record_stalls
from tests.waiting import until

N_GATEWAYS: Final = 3
N_PER_SERVICE: Final = 3
N_CALLERS: Final = 24
"""Twice the slots of a service's targets, so that with one stopped work waits."""

N_STOPS: Final = 8
DEADLINE_S: Final = 8.0
"""Beyond what anything waits here; nobody is refused for its deadline."""

SERVICE_S: Final = (0.002, 0.02, 0.1)
DELAYS_S: Final = (0.0, 0.0, 0.01, 0.05, 0.15)
GAPS_S: Final = (0.0, 0.02, 0.1, 0.3)
"""Between orders; a stop and a new start take longer than most of them."""

DOWN_S: Final = (0.0, 0.05, 0.2)
LOOK_S: Final = 0.08
"""The balancer looks this often; longer than a gateway's time to settle."""

SERVICES: Final = ("pool", "plain")
STOPPING: Final = "stopping"


@dataclass(slots=True, kw_only=True)
class StopRun:
    """One seed: the fleet, who may be sent to, and what went wrong.

    Attributes
    ----------
    ordered : set of str
        Names of sidecars from their order to stop until all hear them again.
    ready : set of str
        Names of gateways that the balancer knows, less those ordered to stop.
    draining : set of str
        Names of these; their open calls still need targets for later stages.
    """

    f: Fleet
    rng: random.Random
    ordered: set[str] = field(default_factory=set)
    ready: set[str] = field(default_factory=set)
    draining: set[str] = field(default_factory=set)
    seen_ready: list[int] = field(default_factory=list)
    sent: dict[str, str] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    is_over: bool = False

    async def balance(self) -> None:
        """Look now and then which gateways say that they are ready."""
        while True:
            self.seen_ready = [
                number
                for number, slot in enumerate(self.f.gateways)
                if slot.name in self.ready
                and slot.gateway is not None
                and slot.gateway.is_ready()
            ]
            await asyncio.sleep(LOOK_S)

    async def call_on(self, number: int) -> None:
        """Make one call after the other until told to end."""
        for count in itertools.count():
            if self.is_over:
                return
            pipeline = self.rng.choice((FREE, ONCE, ONCE, CHAIN))
            await self.call(pipeline, f"{pipeline} {number}.{count}")

    async def call(self, pipeline: str, text: str) -> None:
        """Make a call; a gateway that stops may refuse it, nobody else."""
        self.sent[text] = pipeline
        while True:
            await until(lambda: self.seen_ready)
            told = await self.f.call(
                pipeline, text, gateway=self.rng.choice(self.seen_ready)
            )
            if told.is_answered:
                if told.echo != text:
                    self.problems.append(f"{text} was answered with {told.echo}")
                return
            if told.is_unsent:
                continue
            if told.is_lost:
                self.problems.append(f"{text} was cut")
                return
            if (told.outcome, told.reason) != ("not run", STOPPING):
                error = told.body["error"]
                self.problems.append(
                    f"{text} ended {told.outcome}: {told.reason},"
                    f" {error['step']} at {error['peer']}: {error['detail']}"
                )
                return

    async def stop_gateway(self, slot: GatewaySlot, down_s: float) -> None:
        """Stop a gateway as planned and start it again."""
        await until(lambda: slot.name in self.ready and len(self.ready) > 1)
        self.ready.remove(slot.name)
        self.draining.add(slot.name)
        n_cut_off = await self.f.stop_gateway(slot)
        self.draining.remove(slot.name)
        if n_cut_off:
            self.problems.append(f"{slot.name} cut off {n_cut_off}")
        await asyncio.sleep(down_s)
        await self.f.start_gateway(slot)
        self.publish()
        await until(
            lambda: all(any(self._heard(slot, service)) for service in SERVICES)
        )
        self.ready.add(slot.name)

    async def stop_sidecar(self, slot: SidecarSlot, down_s: float) -> None:
        """Stop a sidecar as planned and start it again."""
        await until(lambda: slot.name not in self.ordered and self._may_stop(slot))
        self.ordered.add(slot.name)
        if n_cut_off := await self.f.stop_sidecar(slot):
            self.problems.append(f"{slot.name} cut off {n_cut_off}")
        await asyncio.sleep(down_s)
        await self.f.start_sidecar(slot)
        self.publish()
        await until(lambda: all(self.f.may_send_to(g, slot) for g in self._gateways()))
        self.ordered.remove(slot.name)

    def publish(self) -> None:
        self.f.hosts_revision += 1
        self.f.publish()

    def _may_stop(self, slot: SidecarSlot) -> bool:
        """Return True if each gateway with calls hears another one of its service."""
        serving = [g for g in self.f.gateways if g.name in self.ready | self.draining]
        return all(
            any(other is not slot for other in self._heard(gateway, slot.service))
            for gateway in serving
        )

    def _gateways(self) -> list[GatewaySlot]:
        return [slot for slot in self.f.gateways if slot.name in self.ready]

    def _heard(self, gateway: GatewaySlot, service: str) -> Iterator[SidecarSlot]:
        for slot in self.f.slots:
            is_up = slot.service == service and slot.process is not None
            if (
                is_up
                and slot.name not in self.ordered
                and self.f.may_send_to(gateway, slot)
            ):
                yield slot

    def check_runs(self) -> None:
        """Note each text that was not run exactly once where it must be."""
        runs = Counter(run.text for run in self.f.runs("plain"))
        for text, pipeline in self.sent.items():
            n_expected = 0 if pipeline == FREE else 1
            if runs[text] != n_expected:
                self.problems.append(f"{text} ran {runs[text]} times")


async def run_stops(seed: int) -> tuple[int, list[str]]:
    """Play a seed; return how many calls were made and what went wrong."""
    rng = random.Random(f"planned stops {seed}")
    async with fleet(
        n_gateways=N_GATEWAYS, n_per_service=N_PER_SERVICE, deadline_s=DEADLINE_S
    ) as f:
        service_s = rng.choice(SERVICE_S)
        for slot in f.slots:
            slot.target.service_s = service_s
        for relay in f.all_relays():
            relay.delay_s, relay.delay_back_s = rng.choices(DELAYS_S, k=2)
        played = StopRun(f=f, rng=rng, ready={slot.name for slot in f.gateways})
        stalls: list[Stall] = []
        background = [
            asyncio.create_task(played.balance()),
            asyncio.create_task(record_stalls(stalls.append)),
        ]
        callers = [
            asyncio.create_task(played.call_on(number)) for number in range(N_CALLERS)
        ]
        stops = []
        for _ in range(N_STOPS):
            await asyncio.sleep(rng.choice(GAPS_S))
            down_s = rng.choice(DOWN_S)
            if rng.random() < 0.3:
                stop = played.stop_gateway(rng.choice(f.gateways), down_s)
            else:
                stop = played.stop_sidecar(rng.choice(f.slots), down_s)
            stops.append(asyncio.create_task(stop))
        await asyncio.gather(*stops)
        played.is_over = True
        await asyncio.gather(*callers)
        for task in background:
            task.cancel()
        played.check_runs()
        if played.problems:
            # It excuses nothing, but tells a fault from a machine that was too busy.
            played.problems[:0] = [
                f"the play itself stood still for {stall.ended_s - stall.began_s:.2f} s"
                for stall in stalls
            ]
        return len(played.sent), played.problems


def main(first: int = 100, seeds: int = 50) -> int:
    """Play seeds and print what went wrong; return how many failed."""
    n_failed = 0
    for seed in range(first, first + seeds):
        n_calls, problems = asyncio.run(run_stops(seed))
        n_failed += bool(problems)
        print(f"seed {seed}: {n_calls} calls", *problems[:8], sep="\n  ", flush=True)
    print(f"{n_failed} of {seeds} seeds failed")
    return n_failed


if __name__ == "__main__":
    fire.Fire(main)
