"""Measures the operations of the control plane in one process by input size.

    python -m trefoilpaddle.replay.fleet_steps

Processor time is the minimum of several runs, to exclude the load of the machine.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import fire
import orjson
from rich.console import Console
from rich.table import Table

from ..coordination.configuration.config_wire import pack_hosts, unpack_hosts
from ..coordination.members.member_wire import to_wire
from ..coordination.members.overlay import neighbours
from ..coordination.members.subset import subset
from ..protocol.const import MS_PER_S
from ..protocol.frames import encode
from ..protocol.gen.membership.ttypes import Gossip
from ..state.catalogue_build import CatalogueBuilder
from ..state.config_items import ConfigItems, PublishedItem, Version
from ..state.hosts import Host, HostList
from ..state.hosts_read import read_hosts
from ..state.members import MemberRecord, MemberState, MemberTable

N_RUNS: Final = 5
N_DOMAINS: Final = 5
N_SERVICES: Final = 10
GATEWAY_SHARE: Final = 0.3
KIB: Final = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One operation measured at one size.

    Parameters
    ----------
    name : str
        Name of the operation.
    size : int
        Number of keys or processes in its input.
    cpu_ms : float
        Processor time in milliseconds.
    size_kb : float
        KiB of memory held or of data sent, according to the name.
    """

    name: str
    size: int
    cpu_ms: float
    size_kb: float = 0.0


def cpu_ms(step: Callable[[], object]) -> float:
    """Return the minimum processor time of several runs, in milliseconds."""
    times_s: list[float] = []
    for _ in range(N_RUNS):
        gc.collect()
        began_s = time.process_time()
        step()
        times_s.append(time.process_time() - began_s)
    return min(times_s) * MS_PER_S


def items_of(n_keys: int) -> list[PublishedItem]:
    """Return a catalogue of `n_keys` keys, with as many accounts as entries."""
    values: dict[str, object] = {
        f"service/s{number}": {"kind": "pool"} for number in range(N_SERVICES)
    }
    for number in range(N_SERVICES):
        stage = {"name": "a", "service": f"s{number}", "path": "/a"}
        values[f"pipeline/p{number}"] = {"stages": [stage]}
    for number in range((n_keys - len(values)) // 2):
        values[f"account/a{number}"] = {"token_sha256": f"{number:064x}"}
        values[f"entry/e{number}"] = {
            "owner": f"o{number}",
            "class_of_work": "drafts",
            "pipelines": [f"p{number % N_SERVICES}"],
            "accounts": [f"a{number}"],
            "limits": {"rate_per_s": 5.0},
        }
    return [
        PublishedItem(
            key=key, version=Version(revision=number, value=orjson.dumps(value))
        )
        for number, (key, value) in enumerate(values.items(), start=1)
    ]


def catalogue_steps(n_keys: int) -> list[Step]:
    """Measure the first build of a catalogue and one change to it."""
    published = items_of(n_keys)
    revision = len(published)
    items, builder = ConfigItems(), CatalogueBuilder()

    def build() -> None:
        fresh = ConfigItems()
        fresh.merge(published, revision=revision)
        CatalogueBuilder().activate(fresh)

    tracemalloc.start()
    items.merge(items_of(n_keys), revision=revision)
    selection = builder.activate(items)
    memory_kb = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    assert not selection.held_back
    changed = published[-1]

    def change() -> None:
        at = items.revision + 1
        version = Version(revision=at, value=changed.version.value)
        item = PublishedItem(key=changed.key, version=version)
        builder.activate(items, items.merge([item], revision=at))

    return [
        Step(
            name="first catalogue; memory",
            size=n_keys,
            cpu_ms=cpu_ms(build),
            size_kb=memory_kb,
        ),
        Step(name="one change", size=n_keys, cpu_ms=cpu_ms(change)),
    ]


def records_of(n: int) -> list[MemberRecord]:
    """Return `n` members, of which `GATEWAY_SHARE` are gateways, others sidecars."""
    n_gateways = int(n * GATEWAY_SHARE)
    return [
        MemberRecord(
            process_id=f"host-{number}-{_role(number, n_gateways)}",
            incarnation=number + 1,
            address=f"10.0.{number // 250}.{number % 250}:7000",
            role=_role(number, n_gateways),
            failure_domain=f"d{number % N_DOMAINS}",
            region="r1",
            service=f"s{number % N_SERVICES}" if number >= n_gateways else "",
            target=f"t{number}" if number >= n_gateways else "",
            state=MemberState.LIVE,
            beat=1,
        )
        for number in range(n)
    ]


def _role(number: int, n_gateways: int) -> str:
    return "gateway" if number < n_gateways else "sidecar"


def hosts_json(n: int) -> bytes:
    """Return a host list of `n` hosts in its published form."""
    hosts = [
        {
            "name": record.process_id.removesuffix(f"-{record.role}"),
            "failure_domain": record.failure_domain,
            "region": record.region,
            "role": record.role,
            "peer_address": record.address,
            "service": record.service,
            "target": record.target,
            "state": "live",
        }
        for record in records_of(n)
    ]
    return orjson.dumps({"revision": 1, "hosts": hosts})


def list_steps(n: int) -> list[Step]:
    """Measure how a new host list of `n` hosts is read and divided into subsets."""
    published = hosts_json(n)
    packed = pack_hosts(published)

    def unpack() -> HostList:
        return read_hosts(unpack_hosts(packed).unwrap()).unwrap().hosts

    hosts = unpack()
    gateways = [host.process_id for host in hosts.hosts if host.role == "gateway"]
    targets = hosts.sidecars("s0")
    own = gateways[0]
    return [
        Step(
            name="new host list; on the wire",
            size=n,
            cpu_ms=cpu_ms(unpack),
            size_kb=len(packed) / KIB,
        ),
        Step(
            name="subsets of all services",
            size=n,
            cpu_ms=N_SERVICES * cpu_ms(lambda: subset(own, gateways, _copy(targets))),
        ),
    ]


def _copy(targets: Sequence[Host]) -> list[Host]:
    return list(targets)


def member_steps(n: int) -> list[Step]:
    """Measure joining, choosing neighbours and sending with `n` members."""
    tracemalloc.start()
    table = MemberTable()
    table.merge(records_of(n))
    memory_kb = tracemalloc.get_traced_memory()[0] / KIB
    tracemalloc.stop()
    records = list(table.records.values())
    names = list(table.records)
    gossip = Gossip(members=[to_wire(record) for record in records])
    return [
        Step(
            name="members joined; memory",
            size=n,
            cpu_ms=cpu_ms(lambda: MemberTable().merge(records)),
            size_kb=memory_kb,
        ),
        Step(
            name="neighbours chosen",
            size=n,
            cpu_ms=cpu_ms(lambda: neighbours(names[0], names)),
        ),
        Step(
            name="all members sent; on the wire",
            size=n,
            cpu_ms=cpu_ms(lambda: encode(gossip)),
            size_kb=len(encode(gossip)) / KIB,
        ),
    ]


def measure(
    keys: Sequence[int] = (1000, 2000, 4000, 8000),
    processes: Sequence[int] = (160, 320, 655, 1310),
) -> None:
    """Print processor time and size of each step.

    Parameters
    ----------
    keys : sequence of int
        Sizes of the catalogue.
    processes : sequence of int
        Sizes of the fleet.
    """
    steps: list[Step] = []
    for n_keys in keys:
        steps += catalogue_steps(n_keys)
    for n in processes:
        steps += [*list_steps(n), *member_steps(n)]
    table = Table(title="Steps of control in one process")
    for column in ("step", "size", "CPU ms", "KB"):
        table.add_column(column, justify="left" if column == "step" else "right")
    for step in sorted(steps, key=lambda each: (each.name, each.size)):
        size_kb = f"{step.size_kb:.0f}" if step.size_kb else ""
        table.add_row(step.name, str(step.size), f"{step.cpu_ms:.2f}", size_kb)
    Console().print(table)


def main() -> None:
    """Measure with the arguments of the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
