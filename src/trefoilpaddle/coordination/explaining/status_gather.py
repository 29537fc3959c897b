"""Gathers the status of every listed process."""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Final

from result import Err, Ok, Result

from ...state.catalogue import Catalogue
from ...state.hosts import Host, HostList, HostState
from ...state.status import EntryStatus, FleetStatus, ProcessStatus
from ...state.timeline import Absence
from ..requests.operator_queries import OperatorQueries

MAX_CONCURRENT_QUERIES: Final = 32
"""Largest number of processes queried at the same time."""


async def gather_status(
    *,
    queries: OperatorQueries,
    own: ProcessStatus,
    hosts: HostList,
    catalogue: Catalogue,
) -> FleetStatus:
    """Return the status of this process and of all on `hosts` that respond.

    Parameters
    ----------
    queries : OperatorQueries
        Queries other processes.
    own : ProcessStatus
        Status of this process.
    hosts : HostList
        The active host list.
    catalogue : Catalogue
        The active catalogue, with the entries.
    """
    others = [host for host in hosts.hosts if host.process_id != own.process_id]
    limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(host: Host) -> Result[ProcessStatus, Absence]:
        async with limit:
            return await queries.status(host)

    processes = [own]
    unresponsive: list[Absence] = []
    for answer in await asyncio.gather(*map(query, others)):
        match answer:
            case Ok(status):
                processes.append(status)
            case Err(absence):
                unresponsive.append(absence)
    return FleetStatus(
        asked_of=own.process_id,
        config_revision=own.config_revision,
        hosts_revision=own.hosts_revision,
        processes=tuple(sorted(processes, key=lambda status: status.process_id)),
        silent=tuple(unresponsive),
        leaving=tuple(sorted(_leaving(processes, hosts))),
        entries=tuple(_entries(catalogue)),
    )


def _leaving(processes: Iterable[ProcessStatus], hosts: HostList) -> set[str]:
    listed = {h.process_id for h in hosts.hosts if h.state is HostState.LEAVING}
    return listed | {status.process_id for status in processes if status.is_leaving}


def _entries(catalogue: Catalogue) -> Iterator[EntryStatus]:
    for name in sorted(catalogue.entries):
        entry = catalogue.entries[name]
        yield EntryStatus(
            name=name,
            owner=entry.owner,
            class_of_work=entry.class_of_work,
            revision=catalogue.entry_revisions.get(name, 0),
            weight=entry.weight,
            floor_share=entry.floor_share,
            rate_per_s=entry.limits.rate_per_s,
            n_concurrent=entry.limits.n_concurrent,
            tokens_per_s=entry.limits.tokens_per_s,
        )
