"""Planned stops of gateways and sidecars under load, drawn from a seed.

Run more seeds than the tests do: ``python -m tests.stop_schedules --seeds 50``.
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
"""Twice the slots of the targets of a service, so that calls queue during a stop."""

N_STOPS: Final = 8
DEADLINE_S: Final = 8.0
"""Longer than any wait in a run, so that no call is refused for its deadline."""

SERVICE_S: Final = (0.002, 0.02, 0.1)
DELAYS_S: Final = (0.0, 0.0, 0.01, 0.05, 0.15)
GAPS_S: Final = (0.0, 0.02, 0.1, 0.3)
"""Time between orders; most values are shorter than a stop with a restart."""

DOWN_S: Final = (0.0, 0.05, 0.2)
POLL_S: Final = 0.08
"""Polling period of the load balancer; longer than the settle time of a gateway."""

SERVICES: Final = ("pool", "plain")
STOPPING: Final = "stopping"


@dataclass(slots=True, kw_only=True)
class StopRun:
    """State of one run: the fleet, the processes in use, and the problems found.

    Attributes
    ----------
    ordered : set of str
        Names of sidecars from their order to stop until all ready gateways may send
        to them again.
    ready : set of str
        Names of gateways that are available to the load balancer; not those ordered
        to stop.
    draining : set of str
        Names of stopping gateways; their open calls still need targets for later
        stages.
    seen_ready : list of int
        Indexes of the gateways that were ready at the last poll.
    sent : dict of str to str
        Pipeline of each call, by its text.
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

    async def poll_readiness(self) -> None:
        """Poll the readiness of the gateways, as a load balancer does."""
        while True:
            self.seen_ready = [
                index
                for index, slot in enumerate(self.f.gateways)
                if slot.name in self.ready
                and slot.gateway is not None
                and slot.gateway.is_ready()
            ]
            await asyncio.sleep(POLL_S)

    async def call_repeatedly(self, index: int) -> None:
        """Make calls one after the other until the run is over."""
        for count in itertools.count():
            if self.is_over:
                return
            pipeline = self.rng.choice((FREE, ONCE, ONCE, CHAIN))
            await self.call(pipeline, f"{pipeline} {index}.{count}")

    async def call(self, pipeline: str, text: str) -> None:
        """Make a call until it is answered; only a stopping gateway may refuse it."""
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
                self.problems.append(f"{text} was interrupted")
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
            self.problems.append(f"{slot.name} interrupted {n_cut_off}")
        await asyncio.sleep(down_s)
        await self.f.start_gateway(slot)
        self.publish()
        await until(
            lambda: all(
                any(self._usable_sidecars(slot, service)) for service in SERVICES
            )
        )
        self.ready.add(slot.name)

    async def stop_sidecar(self, slot: SidecarSlot, down_s: float) -> None:
        """Stop a sidecar as planned and start it again."""
        await until(lambda: slot.name not in self.ordered and self._may_stop(slot))
        self.ordered.add(slot.name)
        if n_cut_off := await self.f.stop_sidecar(slot):
            self.problems.append(f"{slot.name} interrupted {n_cut_off}")
        await asyncio.sleep(down_s)
        await self.f.start_sidecar(slot)
        self.publish()
        await until(lambda: all(self.f.may_send_to(g, slot) for g in self._gateways()))
        self.ordered.remove(slot.name)

    def publish(self) -> None:
        self.f.hosts_revision += 1
        self.f.publish()

    def _may_stop(self, slot: SidecarSlot) -> bool:
        """Return True if each gateway with calls may use another sidecar instead."""
        serving = [g for g in self.f.gateways if g.name in self.ready | self.draining]
        return all(
            any(
                other is not slot
                for other in self._usable_sidecars(gateway, slot.service)
            )
            for gateway in serving
        )

    def _gateways(self) -> list[GatewaySlot]:
        return [slot for slot in self.f.gateways if slot.name in self.ready]

    def _usable_sidecars(
        self, gateway: GatewaySlot, service: str
    ) -> Iterator[SidecarSlot]:
        for slot in self.f.slots:
            is_up = slot.service == service and slot.process is not None
            if (
                is_up
                and slot.name not in self.ordered
                and self.f.may_send_to(gateway, slot)
            ):
                yield slot

    def check_runs(self) -> None:
        """Record a problem for each text that did not run exactly as often as it must.

        Texts of idempotent pipelines must not reach the targets of the plain service,
        all others must run there exactly once.
        """
        runs = Counter(run.text for run in self.f.runs("plain"))
        for text, pipeline in self.sent.items():
            n_expected = 0 if pipeline == FREE else 1
            if runs[text] != n_expected:
                self.problems.append(f"{text} ran {runs[text]} times")


async def run_stops(seed: int) -> tuple[int, list[str]]:
    """Run a seed; return the number of calls and the problems found."""
    rng = random.Random(f"planned stops {seed}")
    async with fleet(
        n_gateways=N_GATEWAYS, n_per_service=N_PER_SERVICE, deadline_s=DEADLINE_S
    ) as f:
        service_s = rng.choice(SERVICE_S)
        for slot in f.slots:
            slot.target.service_s = service_s
        for relay in f.all_relays():
            relay.delay_s, relay.delay_back_s = rng.choices(DELAYS_S, k=2)
        run = StopRun(f=f, rng=rng, ready={slot.name for slot in f.gateways})
        stalls: list[Stall] = []
        background = [
            asyncio.create_task(run.poll_readiness()),
            asyncio.create_task(record_stalls(stalls.append)),
        ]
        callers = [
            asyncio.create_task(run.call_repeatedly(index))
            for index in range(N_CALLERS)
        ]
        stops = []
        for _ in range(N_STOPS):
            await asyncio.sleep(rng.choice(GAPS_S))
            down_s = rng.choice(DOWN_S)
            if rng.random() < 0.3:
                stop = run.stop_gateway(rng.choice(f.gateways), down_s)
            else:
                stop = run.stop_sidecar(rng.choice(f.slots), down_s)
            stops.append(asyncio.create_task(stop))
        await asyncio.gather(*stops)
        run.is_over = True
        await asyncio.gather(*callers)
        for task in background:
            task.cancel()
        run.check_runs()
        if run.problems:
            # Stalls excuse no problem, but help to tell a fault from an overloaded
            # machine.
            run.problems[:0] = [
                f"the test process stalled for {stall.ended_s - stall.began_s:.2f} s"
                for stall in stalls
            ]
        return len(run.sent), run.problems


def main(first: int = 100, seeds: int = 50) -> int:
    """Run seeds and print their problems; return how many seeds failed."""
    n_failed = 0
    for seed in range(first, first + seeds):
        n_calls, problems = asyncio.run(run_stops(seed))
        n_failed += bool(problems)
        print(f"seed {seed}: {n_calls} calls", *problems[:8], sep="\n  ", flush=True)
    print(f"{n_failed} of {seeds} seeds failed")
    return n_failed


if __name__ == "__main__":
    fire.Fire(main)
