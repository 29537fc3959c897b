"""Request keys under any order of tries, losses and outcomes: only one try runs."""

import asyncio
import itertools

from hypothesis import given
from hypothesis import strategies as st

from tests.claims_fleet import WINDOW_S, Fleet, host
from trefoilpaddle.coordination.claims.claim_outcomes import KeyGranted

STEP_NAMES = [
    "claim",
    "claim",
    "claim",
    "race",
    "settle",
    "pause",
    "wake",
    "cut",
    "heal",
    "restart",
    "drop",
    "add",
    "tell",
    "age",
    "lossy",
]

STEPS = st.lists(
    st.tuples(
        st.sampled_from(STEP_NAMES),
        st.integers(0, 9),
    ),
    min_size=5,
    max_size=40,
)


class Schedule:
    """Runs random steps and records the grants of one non-idempotent key."""

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(n_sidecars=5, seed=seed)
        self.grants: list[tuple[float, str, KeyGranted]] = []
        self.n_added = 0

    def sidecars(self) -> list[str]:
        return sorted(n for n in self.fleet.processes if n[0] != "g")

    def record(self, name: str, outcome: object) -> None:
        if isinstance(outcome, KeyGranted):
            self.grants.append((self.fleet.clock(), name, outcome))

    async def claim(self, name: str) -> None:
        self.record(name, await self.fleet.processes[name].claim("k"))

    async def run_step(self, step: str, n: int) -> None:
        fleet = self.fleet
        sidecar = self.sidecars()[n % len(self.sidecars())]
        gateway = ("g1", "g2")[n % 2]
        match step:
            case "claim":
                await self.claim(gateway)
            case "race":
                await asyncio.gather(self.claim("g1"), self.claim("g2"))
            case "settle" if self.grants:
                _, name, outcome = self.grants[-1]
                await fleet.processes[name].claimer.settle(outcome, is_run=True)
            case "pause":
                fleet.net.paused.add(fleet.address(sidecar))
            case "wake":
                for address in sorted(fleet.net.paused):
                    await fleet.net.resume(address)
            case "cut":
                pair = {fleet.address(sidecar), fleet.address(gateway)}
                fleet.net.partitioned.add(frozenset(pair))
            case "heal":
                fleet.net.partitioned.clear()
            case "restart":
                fleet.net.paused.discard(fleet.address(sidecar))
                syncs = fleet.restart(sidecar).syncs
                if n % 3:
                    await syncs.fetch_once()
            case "drop" if len(fleet.hosts) > 5:
                fleet.replace_hosts(fleet.hosts_without(sidecar))
            case "add" if self.n_added < 3:
                self.n_added += 1
                new = host(f"t{self.n_added}", domain=f"d{n % 3}")
                fleet.replace_hosts([*fleet.hosts, new])
                fleet.start(new)
            case "tell":
                names = sorted(fleet.processes)
                fleet.deliver_list(
                    *(name for i, name in enumerate(names) if i % 3 != n % 3)
                )
            case "age":
                fleet.advance_time(float(n))
            case "lossy":
                fleet.net.reply_loss_share = n / 30


class TestSchedules:
    @given(steps=STEPS, seed=st.integers(0, 1000))
    def test_no_two_grants_of_a_key(
        self, steps: list[tuple[str, int]], seed: int
    ) -> None:
        """Random claims, races, pauses, partitions, restarts and list changes.

        Two tries of one key within its retry window must never both run, whichever
        gateways and host lists they use.
        """

        async def run_schedule() -> None:
            schedule = Schedule(seed)
            for step, n in steps:
                await schedule.run_step(step, n)
                await asyncio.sleep(0)
            times = [at_s for at_s, _, _ in schedule.grants]
            for earlier, later in itertools.pairwise(times):
                assert later - earlier > WINDOW_S, schedule.grants

        asyncio.run(run_schedule())
