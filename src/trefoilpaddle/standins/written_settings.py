"""Settings files of gateways and sidecars, written for one run."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from .description import Description
from .layout import GatewayLayout, Layout, TargetLayout

Value = str | bool | int | float | list[str]
Table = Mapping[str, Value]
Tables = dict[str, Table]


@dataclass(frozen=True, slots=True, kw_only=True)
class Overrides:
    """Tables of settings that a run changes in every process.

    Parameters
    ----------
    policy, retention, stop, log, callers, platform : dict
        Keys of the tables of these names; `callers` is for gateways alone.
    """

    policy: Table = field(default_factory=dict)
    retention: Table = field(default_factory=dict)
    stop: Table = field(default_factory=dict)
    log: Table = field(default_factory=dict)
    callers: Table = field(default_factory=dict)
    platform: Table = field(default_factory=dict)


def gateway_settings(
    place: GatewayLayout, description: Description, layout: Layout, change: Overrides
) -> str:
    """Return the TOML text of a gateway's settings."""
    process: Table = {
        "host": place.host,
        "failure_domain": place.failure_domain,
        "region": description.region,
        "listen": place.peer_address,
        "operators_listen": place.operators_address,
    }
    callers = {"listen": place.callers_address, **change.callers}
    return _toml({"process": process, "callers": callers, **_common(layout, change)})


def sidecar_settings(
    place: TargetLayout, description: Description, layout: Layout, change: Overrides
) -> str:
    """Return the TOML text of the settings of a target's sidecar."""
    process: Table = {
        "host": place.name,
        "failure_domain": place.failure_domain,
        "region": description.region,
        "listen": place.peer_address,
        "operators_listen": place.operators_address,
    }
    target: Table = {
        "name": place.name,
        "service": place.service.name,
        "kind": place.service.kind.value,
        "url": f"http://{place.address}",
        "fencing": place.service.fencing.value,
        "lock_port": place.lock_port,
    }
    return _toml({"process": process, "target": target, **_common(layout, change)})


def _common(layout: Layout, change: Overrides) -> Tables:
    platform: Table = {
        "config_url": f"http://{layout.config_address}",
        "hosts_url": f"http://{layout.hosts_address}",
        "weight_store_url": f"http://{layout.weights_address}",
        **change.platform,
    }
    tables: Tables = {
        "platform": platform,
        "peers": {"seeds": layout.seeds()},
        "policy": change.policy,
        "retention": change.retention,
        "stop": change.stop,
        "log": change.log,
    }
    return {name: table for name, table in tables.items() if table}


def _toml(tables: Tables) -> str:
    """Return TOML; strings, numbers, flags and lists are spelled as in JSON."""
    lines: list[str] = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        lines.append("")
    return "\n".join(lines)
