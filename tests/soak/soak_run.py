"""Runs one soak: a site, its gateways, callers, and faults from outside."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import assert_never

import aiohttp

from tests.harness_relay import Relay
from trefoilpaddle.standins.platform.gateway_process import GatewayProcess
from trefoilpaddle.standins.platform.site import N_EVENTS, Site, entry
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.standins.platform.worker import PlatformWorker
from trefoilpaddle.standins.web import serving
from trefoilpaddle.transport.connection import Address

from .soak_actions import (
    SERVICES,
    Action,
    BreakAnswers,
    DisturbStore,
    DisturbWorker,
    ForgetHistory,
    HangUpGateway,
    KillGateway,
    PauseGateway,
    PublishTable,
    RefuseReads,
    ReplaceWorker,
    RestartWorker,
    ReturnStore,
    StopGateway,
    WriteEntry,
    schedule,
)
from .soak_callers import Callers, one_connection
from .soak_patient import PatientCallers, table
from .soak_record import GRACE_S, Mark, Record, StopOrder
from .soak_returns import StoreReturns
from .soak_stalls import note_stalls
from .soak_stops import stop_schedule

DOMAINS = ("a", "a", "b")
N_CALLERS = 6
HEAL_S = 6.0
"""Time after the faults in which all must be served again."""

LINGER_S = 3.0
"""A replaced worker serves on for so long after its entry said so."""

PROBE_S = 0.25

LOADED_WORK_S = {"stock": 0.3, "encode": 0.4, "model": 0.1}
"""Time of a call under load; pieces of forty requests queue for eight seconds.

A plain request takes longer than a handler has once its connection is closed.
"""

CALM_WORK_S = 0.005

BORN_S = 0.2
"""A worker that crashed is back after so long."""

BEAT_S = 1.2
"""A worker writes its entry again after so long."""


class SoakSite:
    """A stand-in site whose store and workers are reached through relays."""

    def __init__(self, *, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack
        self._n_workers = 0
        self._version = 1
        self.site = Site(stack=stack)
        self.returns = StoreReturns(site=self.site, rng=random.Random(0))
        self.by_service: dict[str, list[str]] = {name: [] for name in SERVICES}
        self.domains: dict[str, str] = {}
        self.relays: dict[str, Relay] = {}
        self.store_relays: list[Relay] = []
        self.record = Record(workers=[])

    @property
    def key(self) -> str:
        """The key that the newest table holds."""
        return f"key{self._version}"

    def publish(self) -> None:
        """Publish a table in which another key is valid."""
        old = self.key
        self._version += 1
        self.returns.write(TABLE_KEY, table(self._version, self.key))
        self.record.revoked_s[old] = time.monotonic()

    async def relay_to(self, address: str) -> Relay:
        """Return a new relay to an address."""
        relay = await self._stack.enter_async_context(Relay().running())
        relay.upstream = Address.parse(address).unwrap()
        return relay

    async def add_worker(self, service: str) -> str:
        """Start a worker, behind a relay, and list it."""
        self._n_workers += 1
        worker_id = f"{service}{self._n_workers}"
        n_events = N_EVENTS if service == "model" else 0
        worker = PlatformWorker(worker_id=worker_id, n_events=n_events)
        url = await self._stack.enter_async_context(serving(worker.application()))
        relay = await self.relay_to(url.removeprefix("http://"))
        worker.address = str(relay.address)
        self.site.workers[worker_id] = worker
        self.record.workers.append(worker)
        self.relays[worker_id] = relay
        self.by_service[service].append(worker_id)
        self.domains[worker_id] = "ab"[self._n_workers % 2]
        self.list_again(worker_id, service)
        return worker_id

    def load(self) -> None:
        """Let calls take so long that requests wait for their stages for seconds."""
        for service, work_s in LOADED_WORK_S.items():
            for worker_id in self.by_service[service]:
                self.site.workers[worker_id].work_s = work_s

    def unload(self) -> None:
        """Let calls be as short as at first."""
        for worker in self.site.workers.values():
            worker.work_s = CALM_WORK_S

    def list_again(self, worker_id: str, service: str) -> None:
        """Write a worker's entry, as it does with each heartbeat."""
        self._say(worker_id, service, state="ready")

    def _say(self, worker_id: str, service: str, *, state: str) -> None:
        worker = self.site.workers[worker_id]
        said = entry(
            service,
            worker.address,
            zone=self.domains[worker_id],
            state=state,
            born=worker.born_ms,
        )
        self.returns.write(f"servers/{worker_id}", said)

    async def restart_worker(self, service: str) -> None:
        """Crash the newest worker of a service and start it under the same id."""
        worker_id = self.by_service[service][-1]
        self.site.workers[worker_id].restart()
        self.relays[worker_id].cut()
        await asyncio.sleep(BORN_S)
        self.list_again(worker_id, service)

    async def write_entry(self, action: WriteEntry) -> None:
        """Write what names no worker to use."""
        if action.is_own:
            self.site.store.put("servers/foreign", action.value)
            return
        worker_id = self.by_service[action.service][-1]
        self.site.store.put(f"servers/{worker_id}", action.value)
        await asyncio.sleep(BEAT_S)
        if worker_id in self.by_service[action.service]:
            self.list_again(worker_id, action.service)

    async def replace_worker(self, service: str, *, says_so: bool) -> None:
        """List a new worker and take the oldest of its service away."""
        await self.add_worker(service)
        old = self.by_service[service].pop(0)
        if says_so:
            self._say(old, service, state="draining")
        else:
            self.returns.remove(f"servers/{old}")
        self.record.left_s[old] = time.monotonic()
        await asyncio.sleep(LINGER_S)
        self.returns.remove(f"servers/{old}")
        self.relays[old].is_refusing = True
        self.relays[old].cut()


@contextlib.asynccontextmanager
async def soak_site() -> AsyncIterator[SoakSite]:
    """Serve a store and two workers of each service, all behind relays."""
    async with contextlib.AsyncExitStack() as stack:
        made = SoakSite(stack=stack)
        url = await stack.enter_async_context(serving(made.site.store.application()))
        made.site.store_address = url.removeprefix("http://")
        made.returns.write(TABLE_KEY, table(1, made.key))
        for service in SERVICES:
            for _ in range(2):
                await made.add_worker(service)
        yield made


class Soak:
    """One run: the gateways, and what is done to them and around them."""

    def __init__(self, *, site: SoakSite, gateways: list[GatewayProcess]) -> None:
        self._site = site
        self._gateways = gateways
        self._locks = [asyncio.Lock() for _ in gateways]
        self._is_over = False

    async def act(self, action: Action) -> None:
        """Do one thing, and note from when to when it was in force."""
        began_s = time.monotonic()
        host = await self._do(action)
        self._site.record.marks.append(
            Mark(action=action, host=host, began_s=began_s, ended_s=time.monotonic())
        )

    async def _do(self, action: Action) -> int | None:
        site = self._site
        match action:
            case PauseGateway(number=number, for_s=for_s):
                async with self._locks[number]:
                    self._gateways[number].signal(signal.SIGSTOP)
                    await asyncio.sleep(for_s)
                    self._gateways[number].signal(signal.SIGCONT)
                return number
            case KillGateway(number=number, for_s=for_s):
                async with self._locks[number]:
                    self._gateways[number].kill()
                    await asyncio.sleep(for_s)
                    self._gateways[number].start()
                return number
            case StopGateway(number=number):
                async with self._locks[number]:
                    await self._stop(number)
                    self._gateways[number].start()
                return number
            case HangUpGateway(number=number):
                # A process that has just been started has no handler yet.
                if number in self.started():
                    self._gateways[number].signal(signal.SIGHUP)
                return number
            case DisturbWorker(service=service, for_s=for_s):
                relay = site.relays[site.by_service[service][0]]
                relay.delay_s = action.delay_s
                relay.delay_back_s = action.delay_back_s
                relay.is_stalled = action.is_silent
                relay.is_refusing = action.is_cut
                if action.is_cut:
                    relay.cut()
                await asyncio.sleep(for_s)
                relay.heal()
                return None
            case BreakAnswers(service=service, for_s=for_s):
                worker = site.site.workers[site.by_service[service][-1]]
                worker.interrupts_answers = True
                await asyncio.sleep(for_s)
                worker.interrupts_answers = False
                return None
            case ReplaceWorker(service=service, says_so=says_so):
                await site.replace_worker(service, says_so=says_so)
                return None
            case DisturbStore(number=number, for_s=for_s, is_silent=is_silent):
                chosen = site.store_relays
                for relay in chosen if number is None else [chosen[number]]:
                    relay.is_stalled = is_silent
                    relay.is_refusing = not is_silent
                    if not is_silent:
                        relay.cut()
                await asyncio.sleep(for_s)
                for relay in chosen:
                    relay.heal()
                return number
            case RefuseReads(for_s=for_s):
                site.site.store.is_refusing = True
                await asyncio.sleep(for_s)
                site.site.store.is_refusing = False
                return None
            case ForgetHistory():
                site.site.store.discard_history()
                return None
            case ReturnStore(for_s=for_s, age_s=age_s):
                site.site.store.is_refusing = True
                await asyncio.sleep(for_s)
                site.returns.come_back(age_s)
                site.site.store.is_refusing = False
                return None
            case PublishTable():
                site.publish()
                return None
            case RestartWorker(service=service):
                await site.restart_worker(service)
                return None
            case WriteEntry():
                await site.write_entry(action)
                return None
            case _:
                assert_never(action)

    async def _stop(self, number: int) -> None:
        """Order a gateway to stop, and kill it at the end of its grace."""
        gateway, record = self._gateways[number], self._site.record
        # Until it listens for signals, the order ends it at once.
        is_early = number not in self.started()
        ordered_s = time.monotonic()
        gateway.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                await gateway.wait_exit()
        # One that is gone already, though this process did not look, is not killed.
        gateway.kill()
        code = await gateway.wait_exit()
        if code == -signal.SIGKILL:
            record.problems.append(f"g{number} was not gone within its grace")
        elif code and not (is_early and code == -signal.SIGTERM):
            record.problems.append(f"g{number} stopped with {code}")
        record.orders.append(
            StopOrder(host=number, ordered_s=ordered_s, ended_s=time.monotonic())
        )

    def started(self) -> set[int]:
        """Return the gateways whose last start has logged that it runs."""
        return {
            number
            for number, gateway in enumerate(self._gateways)
            if "process_started" in gateway.logs[-1].read_text()
        }

    async def watch(self) -> None:
        """Note a gateway that ends though nobody has ended it."""
        while not self._is_over:
            for number, gateway in enumerate(self._gateways):
                run, is_free = gateway.run, not self._locks[number].locked()
                if is_free and run is not None and run.poll() is not None:
                    self._site.record.problems.append(
                        f"g{number} ended by itself with {run.returncode}"
                    )
                    self._is_over = True
            await asyncio.sleep(0.1)


async def run_soak(
    seed: int,
    folder: Path,
    *,
    length_s: float,
    with_entries: bool = True,
    with_returns: bool = True,
    is_stops: bool = False,
) -> tuple[Record, Callers]:
    """Run a seed; return what was done and what the callers saw.

    Parameters
    ----------
    is_stops : bool
        Planned stops alone, under load and beside patient callers; else all faults.
    """
    async with (
        soak_site() as site,
        site.returns.copying(),
        contextlib.AsyncExitStack() as stack,
    ):
        gateways: list[GatewayProcess] = []
        for number, domain in enumerate(DOMAINS):
            relay = await site.relay_to(site.site.store_address)
            site.store_relays.append(relay)
            gateways.append(
                GatewayProcess(
                    host=f"g{number}",
                    domain=domain,
                    folder=folder,
                    store=str(relay.address),
                    seeds=[each.peers_address for each in gateways],
                    grace_s=GRACE_S,
                )
            )
        for gateway in gateways:
            stack.callback(gateway.kill)
            gateway.start()
        async with aiohttp.ClientSession() as client:
            for gateway in gateways:
                await gateway.wait_ready(client)
        callers = Callers(
            gateways=gateways, key=lambda: site.key, rng=random.Random(seed)
        )
        soak = Soak(site=site, gateways=gateways)
        background = [
            asyncio.create_task(work)
            for work in (
                callers.balance(),
                soak.watch(),
                note_stalls(site.record.stalls.append),
                probe_revoked(site, callers),
                *(callers.call_on() for _ in range(N_CALLERS)),
            )
        ]
        patient: list[asyncio.Task[None]] = []
        if is_stops:
            steps = stop_schedule(seed, length_s=length_s, n_gateways=len(gateways))
            site.load()
            patient = PatientCallers(callers=callers, rng=random.Random(seed)).begin()
        else:
            steps = schedule(
                seed,
                length_s=length_s,
                n_gateways=len(gateways),
                with_entries=with_entries,
                with_returns=with_returns,
            )
        await asyncio.gather(*(_later(soak, step.at_s, step.action) for step in steps))
        site.unload()
        for task in patient:
            task.cancel()
        background += patient
        site.record.healed_s = time.monotonic()
        await asyncio.sleep(HEAL_S)
        for task in background:
            task.cancel()
        ends = await asyncio.gather(*background, return_exceptions=True)
        site.record.problems += [
            f"the soak itself: {end!r}" for end in ends if isinstance(end, Exception)
        ]
        site.record.problems += _logged_errors(gateways)
        return site.record, callers


async def _later(soak: Soak, at_s: float, action: Action) -> None:
    await asyncio.sleep(at_s)
    await soak.act(action)


async def probe_revoked(site: SoakSite, callers: Callers) -> None:
    """Call with keys that were revoked, at every gateway in turn."""
    async with one_connection() as client:
        while True:
            for key in list(site.record.revoked_s)[-2:]:
                for number in sorted(callers.ready):
                    await callers.call(client, number, key=key)
            await asyncio.sleep(PROBE_S)


def _logged_errors(gateways: list[GatewayProcess]) -> list[str]:
    """Return the errors in the gateways' own logs, one for each kind."""
    found: dict[str, str] = {}
    for gateway in gateways:
        for line in gateway.log().splitlines():
            if "Traceback" in line or "level=error" in line:
                found.setdefault(line[-60:], f"{gateway.host} logged: {line[:200]}")
    return list(found.values())
