"""A small site on the stand-in platform, its configuration and settings files."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any, Final

from ..web import serving
from .crashing import CRASH_DELAY_S, RESTART_DELAY_S, CrashingServer
from .store import HISTORY_S, TABLE_KEY, PlatformStore
from .worker import PlatformWorker

IP: Final = "127.0.0.1"
HOST: Final = "api.example"
KEY: Final = "a-key"
ACCOUNT: Final = "acme"
N_EVENTS: Final = 5
CALL_S: Final = 0.02
GRACE_S: Final = 4.5

STAGES: Final = [
    {"service": "encode", "after": [], "bytes": 1000},
    {"service": "retrieve", "after": [0], "bytes": 100},
]


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as operators write it."""
    known = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 2000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    return known | fields


def configuration(version: int, **fields: Any) -> dict[str, Any]:
    """Return a configuration as operators write it."""
    known = {
        "version": version,
        "routes": [
            route("hold", "non_idempotent", "stock"),
            route("price", "idempotent", "stock"),
            route(
                "draft",
                "streaming",
                "model",
                stages=STAGES,
                stream_resumption=True,
                gap_target_ms=250,
            ),
        ],
        "services": [
            {"name": "stock"},
            {"name": "model", "engine": {"slots": 8, "cache_tokens": 10000}},
            pieces("encode"),
            pieces("retrieve"),
        ],
        "limits": {"max_body_bytes": 4194304},
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY]}],
    }
    return known | fields


def pieces(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of stage workers as operators write it."""
    load = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_ms": CALL_S * 1000,
        "item_ms": 1.0,
        "headroom_mb": 10.0,
        "handle_s": 4.0,
        "link_mbps": 1000,
    }
    return {"name": name, "pieces": load | fields}


def settings(
    *,
    host: str,
    domain: str,
    ports: list[int],
    store: str,
    seeds: list[str],
    grace_s: float = GRACE_S,
    limits: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the settings file of one gateway.

    Parameters
    ----------
    ports : list of int
        Ports for callers, readiness, peers and metrics.
    grace_s : float
        Time from the stop signal to the kill.
    limits : dict, optional
        Limits of its machine, as the platform writes them.
    """
    callers, ready, peers, metrics = ports
    return {
        "node": host,
        "ip_address": IP,
        "zone": domain,
        "region": "here",
        "listen_addresses": {
            "front": f"{IP}:{callers}",
            "ready": f"{IP}:{ready}",
            "control": f"{IP}:{peers}",
        },
        "internal_port_range": [metrics, metrics + 3],
        "limits": limits or {},
        "seeds": seeds,
        "bounds": {
            "grace_s": grace_s,
            "retry_budget_ratio": 0.2,
            "budget_slack": 50,
            "budget_window_s": 10,
        },
        "platform": {"address": store, "form": "read", "history_s": HISTORY_S},
    }


def entry(service: str, address: str, **fields: Any) -> dict[str, Any]:
    """Return the entry that a worker writes to the store."""
    known = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return known | fields


class Site:
    """A store and its workers, served on loopback.

    Attributes
    ----------
    store : PlatformStore
        Holds the configuration and the workers' entries.
    workers : dict of str to PlatformWorker
        Workers by id.
    store_address : str
        ``ip:port`` of the store.
    """

    __slots__ = ("_stack", "store", "store_address", "workers")

    def __init__(self, *, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack
        self.store = PlatformStore()
        self.store_address = ""
        self.workers: dict[str, PlatformWorker] = {}

    async def add_worker(self, worker_id: str, service: str, **fields: Any) -> None:
        """Start a worker and list it in the store."""
        domain = fields.pop("domain", "a")
        worker = PlatformWorker(worker_id=worker_id, **fields)
        url = await self._stack.enter_async_context(serving(worker.application()))
        worker.address = url.removeprefix("http://")
        self.workers[worker_id] = worker
        self.list_worker(worker_id, service, domain=domain)

    async def add_crashing_worker(
        self,
        worker_id: str,
        service: str,
        *,
        marker: bytes = b"",
        marked_parts: frozenset[str] = frozenset(),
        accepts_when_down: bool = False,
        crash_delay_s: float = CRASH_DELAY_S,
        restart_delay_s: float = RESTART_DELAY_S,
        **fields: Any,
    ) -> CrashingServer:
        """Start and list a worker that marked requests crash.

        A request is marked by `marker` in its body, or by a part of its prompt.
        """
        worker = PlatformWorker(worker_id=worker_id, **fields)
        worker.marker = marker
        worker.marked_parts = marked_parts
        self.workers[worker_id] = worker
        server = CrashingServer(
            worker=worker,
            ip=IP,
            on_start=lambda: self.list_worker(worker_id, service),
            accepts_when_down=accepts_when_down,
            crash_delay_s=crash_delay_s,
            restart_delay_s=restart_delay_s,
        )
        await self._stack.enter_async_context(server.serving())
        self.list_worker(worker_id, service)
        return server

    def list_worker(
        self,
        worker_id: str,
        service: str,
        *,
        state: str = "ready",
        domain: str = "a",
        address: str = "",
    ) -> None:
        """Write the entry of a worker to the store."""
        self.store.put(
            f"servers/{worker_id}",
            entry(
                service,
                address or self.workers[worker_id].address,
                zone=domain,
                state=state,
                born=self.workers[worker_id].born_ms,
                version=self.workers[worker_id].software_version,
                slots=self.workers[worker_id].n_slots or 1,
            ),
        )


@contextlib.asynccontextmanager
async def small_site() -> AsyncIterator[Site]:
    """Serve a site with one or two workers of each service."""
    async with contextlib.AsyncExitStack() as stack:
        site = Site(stack=stack)
        url = await stack.enter_async_context(serving(site.store.application()))
        site.store_address = url.removeprefix("http://")
        site.store.put(TABLE_KEY, configuration(1))
        for worker_id in ("stock1", "stock2"):
            await site.add_worker(worker_id, "stock")
        for worker_id in ("model1", "model2"):
            await site.add_worker(worker_id, "model", n_events=N_EVENTS)
        await site.add_worker("encode1", "encode", work_s=CALL_S)
        await site.add_worker("retrieve1", "retrieve", work_s=CALL_S)
        yield site
