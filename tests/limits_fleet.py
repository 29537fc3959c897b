"""Limiters and limit homes on a fake network, each with its own clock."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from tests.claims_fleet import FakeAsker, FakeClock, FakeNetwork, host
from trefoilpaddle.coordination.limits.lease_home import LeaseHome
from trefoilpaddle.coordination.limits.limits import Limiter
from trefoilpaddle.coordination.requests.request_guards import Permit
from trefoilpaddle.protocol.errors import NotRun
from trefoilpaddle.protocol.frames import Message
from trefoilpaddle.protocol.gen.limits.ttypes import LeaseAsk
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.catalogue import Catalogue, Entry, Limits
from trefoilpaddle.state.gateway_shares import bucket_key, bucket_of
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.state.published import Published
from trefoilpaddle.state.replicas import replica_list
from trefoilpaddle.state.settings import LogFormat

ENTRY = "bank-a.draft"
DEADLINE_S = 5.0


@dataclass
class SkewedClock:
    """Clock of one host, slightly fast or slow, with its own zero."""

    base: FakeClock
    rate: float
    zero_s: float

    def __call__(self) -> float:
        return self.zero_s + self.rate * self.base()


def entry_of(limits: Limits) -> Entry:
    return Entry(
        owner="bank-a",
        class_of_work="draft",
        pipelines=("p",),
        accounts=("a",),
        limits=limits,
        deadline_s=DEADLINE_S,
    )


@dataclass
class RunningRequest:
    """An admitted request that has not finished."""

    gateway: str
    permit: Permit
    finish_s: float


class LimitsFleet:
    def __init__(
        self, limits: Limits, *, n_gateways: int = 2, n_sidecars: int = 4, seed: int = 0
    ) -> None:
        self.clock = FakeClock()
        self.net = FakeNetwork(seed)
        self.entry = entry_of(limits)
        self.revision = 1
        self.hosts = [
            host(f"g{i}", domain=f"d{i}", role="gateway") for i in range(n_gateways)
        ] + [host(f"s{i}", domain=f"d{i % 3}") for i in range(n_sidecars)]
        self.published: dict[str, Published] = {}
        self.limiters: dict[str, Limiter] = {}
        self.running: list[RunningRequest] = []
        self.admitted_s: list[float] = []
        self._n_started = 0
        for listed in self.hosts:
            self.start(listed)

    def start(self, listed: Host) -> None:
        self._n_started += 1
        skew = 1.0 + 0.02 * ((self._n_started % 3) - 1)
        clock = SkewedClock(self.clock, skew, 500.0 * self._n_started)
        published = Published()
        self.published[listed.name] = published
        journal = Journal(
            process_id=listed.process_id, n_records=10, format=LogFormat.KEY_VALUE
        )
        incarnation = self._n_started
        if listed.role == "gateway":
            hello = Hello(process_id=listed.process_id, incarnation=incarnation)
            self.limiters[listed.name] = Limiter(
                gateway=listed.process_id,
                incarnation=incarnation,
                published=published,
                asker=FakeAsker(self.net, listed.peer_address, lambda: hello),
                journal=journal,
                clock=clock,
            )
        else:
            home = LeaseHome(
                process_id=listed.process_id,
                incarnation=incarnation,
                published=published,
                journal=journal,
                clock=clock,
            )

            async def answer(message: Message, sender: Hello) -> Message:
                assert isinstance(message, LeaseAsk)
                return await home.answer(message, sender)

            self.net.handlers[listed.peer_address] = answer
        published.set_catalogue(Catalogue(revision=1, entries={ENTRY: self.entry}))
        self.deliver_list(listed.name)

    def deliver_list(self, *names: str) -> None:
        for name in names:
            hosts = HostList(revision=self.revision, hosts=tuple(self.hosts))
            self.published[name].set_hosts(hosts)

    def replace_hosts(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.revision += 1

    def hosts_without(self, *names: str) -> list[Host]:
        return [listed for listed in self.hosts if listed.name not in names]

    def host_of(self, name: str) -> Host:
        return next(listed for listed in self.hosts if listed.name == name)

    def home_name(self) -> str:
        """Name of the home of the entry under the current list."""
        hosts = HostList(revision=self.revision, hosts=tuple(self.hosts))
        pair = replica_list(hosts).pair(bucket_key(bucket_of(ENTRY)))
        return pair[0].process_id.removesuffix("-sidecar")

    def address(self, name: str) -> str:
        return f"127.0.0.1:{int.from_bytes(name.encode()[:2])}"

    async def exchange(self, *names: str) -> None:
        """Make the named gateways, or all, exchange once with each of their homes."""
        for name in names or sorted(self.limiters):
            for contact in list(self.limiters[name].contacts.values()):
                await contact.exchange_once()

    async def request(
        self, name: str, *, lasts_s: float = DEADLINE_S, n_tokens: int = 0
    ) -> Result[Permit, NotRun]:
        """Request admission; the gateway exchanges with its homes while it waits."""
        limiter = self.limiters[name]
        task = asyncio.create_task(limiter.admit(ENTRY, self.entry, n_tokens))
        await asyncio.sleep(0)
        while not task.done():
            await self.exchange(name)
            await asyncio.sleep(0)
        outcome = await task
        match outcome:
            case Ok(permit):
                finish_s = self.clock() + lasts_s
                self.running.append(
                    RunningRequest(gateway=name, permit=permit, finish_s=finish_s)
                )
                self.admitted_s.append(self.clock())
        return outcome

    async def n_admitted(self, name: str, n: int, **options: float) -> int:
        """Return how many of `n` simultaneous requests are admitted."""
        outcomes = [await self.request(name, **options) for _ in range(n)]  # type: ignore[arg-type]
        return sum(isinstance(outcome, Ok) for outcome in outcomes)

    def advance_time(self, seconds: float) -> None:
        """Advance the time and finish the requests whose duration is over."""
        self.clock.now_s += seconds
        for running in [r for r in self.running if r.finish_s <= self.clock()]:
            self.finish(running)

    def finish(self, running: RunningRequest) -> None:
        self.running.remove(running)
        running.permit.release()

    async def run_for(self, seconds: float, *names: str, step_s: float = 0.5) -> None:
        """Advance the time while the named gateways, or all, exchange with homes."""
        left_s = seconds
        while left_s > 1e-9:
            self.advance_time(min(step_s, left_s))
            left_s -= step_s
            await self.exchange(*names)

    def partition(self, gateway: str) -> None:
        """Partition a gateway from every sidecar."""
        for name in self.published:
            if name[0] != "g":
                pair = {self.address(gateway), self.address(name)}
                self.net.partitioned.add(frozenset(pair))


def refusal(outcome: Result[Permit, NotRun]) -> NotRun:
    assert isinstance(outcome, Err)
    return outcome.err_value
