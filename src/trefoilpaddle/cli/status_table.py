"""The status of the fleet as tables for the terminal."""

from collections.abc import Iterator

from rich.console import Group, RenderableType
from rich.table import Table

from ..state.status import FleetStatus, LoadStatus, ProcessStatus, UseStatus, total


def render(status: FleetStatus) -> RenderableType:
    """Return all tables in order; omit empty ones of leases and inactive changes."""
    return Group(*_parts(status))


def _parts(status: FleetStatus) -> Iterator[RenderableType]:
    yield (
        f"asked {status.asked_of}: {len(status.processes)} processes answered,"
        f" {len(status.silent)} did not; catalogue revision {status.config_revision},"
        f" host list revision {status.hosts_revision}"
    )
    yield _processes(status)
    yield _targets(status)
    yield _owners(status)
    yield _stages(status)
    yield from _leases(status)
    yield from _held_back(status)
    for absence in status.silent:
        yield f"silent: {absence.process_id}: {absence.detail}"


def _processes(status: FleetStatus) -> Table:
    table = _table("Processes", "process", "domain", "state", "revision", "peers")
    newest = max((one.config_revision for one in status.processes), default=0)
    for one in status.processes:
        behind = newest - one.config_revision
        revision = f"{one.config_revision}" + (f" ({behind} behind)" if behind else "")
        table.add_row(
            one.process_id,
            one.failure_domain,
            _state(one, status),
            revision,
            f"{one.n_peers_heard}/{one.n_peers}",
        )
    return table


def _state(one: ProcessStatus, status: FleetStatus) -> str:
    if one.is_leaving or one.process_id in status.leaving:
        return "leaving"
    return "ready" if one.is_ready else "not ready"


def _targets(status: FleetStatus) -> Table:
    table = _table(
        "Targets", "target", "service", "up", "running", "queued", "wait", "slowness"
    )
    for one in status.processes:
        if one.load is not None:
            table.add_row(one.target, one.service, *_load_cells(one.load))
    return table


def _load_cells(load: LoadStatus) -> Iterator[str]:
    yield "up" if load.is_target_up else "DOWN"
    yield f"{load.n_running}/{load.n_slots}"
    yield str(load.n_queued)
    yield f"{(load.queued_work_s + load.running_work_s) / max(1, load.n_slots):.2f} s"
    yield f"{load.slowness:.2f}"


def _owners(status: FleetStatus) -> Table:
    table = _table(
        "Owners, last minute",
        "owner",
        "share due",
        "share used",
        "accepted",
        "answered",
        "failed",
        "refused",
    )
    weights: dict[str, float] = {}
    for entry in status.entries:
        weights[entry.owner] = max(weights.get(entry.owner, 0.0), entry.weight)
    uses = {use.name: use for use in total(_uses(status))}
    cost_s = sum(use.cost_s for use in uses.values())
    for owner in sorted(weights | uses):
        use = uses.get(owner, UseStatus(name=owner))
        table.add_row(
            owner,
            _percent(weights.get(owner, 0.0), sum(weights.values())),
            _percent(use.cost_s, cost_s),
            str(use.n_accepted),
            str(use.n_answered),
            str(use.n_failed),
            _refused(use),
        )
    return table


def _uses(status: FleetStatus) -> Iterator[UseStatus]:
    for one in status.processes:
        yield from one.owners


def _stages(status: FleetStatus) -> Table:
    table = _table(
        "Stages, last minute", "stage", "calls", "mean wait", "cost", "refused"
    )
    for use in total(s for one in status.processes for s in one.stages):
        table.add_row(
            use.name,
            str(use.n_calls),
            f"{use.queued_s / max(1, use.n_calls):.3f} s",
            f"{use.cost_s:.2f} target-s",
            _refused(use),
        )
    return table


def _leases(status: FleetStatus) -> Iterator[Table]:
    rows = [(one.process_id, lease) for one in status.processes for lease in one.leases]
    if not rows:
        return
    table = _table("Leases", "held by", "entry", "limit", "granted", "used", "")
    for process_id, lease in rows:
        table.add_row(
            process_id,
            lease.entry,
            lease.kind,
            f"{lease.granted:g}",
            f"{lease.used:g}",
            lease.detail,
        )
    yield table


def _held_back(status: FleetStatus) -> Iterator[Table]:
    held = {
        (one.key, one.revision): one
        for process in status.processes
        for one in process.held_back
    }
    if not held:
        return
    table = _table("Changes not in force", "key", "revision", "stays", "why")
    for key, revision in sorted(held):
        one = held[key, revision]
        table.add_row(key, str(revision), str(one.stays_revision), one.detail)
    yield table


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    return table


def _refused(use: UseStatus) -> str:
    return ", ".join(
        f"{one.reason.replace('_', ' ')} {one.n_refused}" for one in use.refused
    )


def _percent(part: float, total_value: float) -> str:
    return f"{100 * part / total_value:.0f} %" if total_value else "-"
