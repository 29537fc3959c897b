"""Generates the settings files of gateways and sidecars for a run."""

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
        Keys of the tables with these names; `callers` applies to gateways only.
    """

    policy: Table = field(default_factory=dict)
    retention: Table = field(default_factory=dict)
    stop: Table = field(default_factory=dict)
    log: Table = field(default_factory=dict)
    callers: Table = field(default_factory=dict)
    platform: Table = field(default_factory=dict)


def gateway_settings(
    gateway: GatewayLayout,
    description: Description,
    layout: Layout,
    overrides: Overrides,
) -> str:
    """Return the TOML text of a gateway's settings."""
    process: Table = {
        "host": gateway.host,
        "failure_domain": gateway.failure_domain,
        "region": description.region,
        "listen": gateway.peer_address,
        "operators_listen": gateway.operators_address,
    }
    callers = {"listen": gateway.callers_address, **overrides.callers}
    return _toml({"process": process, "callers": callers, **_common(layout, overrides)})


def sidecar_settings(
    target_layout: TargetLayout,
    description: Description,
    layout: Layout,
    overrides: Overrides,
) -> str:
    """Return the TOML text of the settings of a target's sidecar."""
    process: Table = {
        "host": target_layout.name,
        "failure_domain": target_layout.failure_domain,
        "region": description.region,
        "listen": target_layout.peer_address,
        "operators_listen": target_layout.operators_address,
    }
    target: Table = {
        "name": target_layout.name,
        "service": target_layout.service.name,
        "kind": target_layout.service.kind.value,
        "url": f"http://{target_layout.address}",
        "fencing": target_layout.service.fencing.value,
        "lock_port": target_layout.lock_port,
    }
    return _toml({"process": process, "target": target, **_common(layout, overrides)})


def _common(layout: Layout, overrides: Overrides) -> Tables:
    platform: Table = {
        "config_url": f"http://{layout.config_address}",
        "hosts_url": f"http://{layout.hosts_address}",
        "weight_store_url": f"http://{layout.weights_address}",
        **overrides.platform,
    }
    tables: Tables = {
        "platform": platform,
        "peers": {"seeds": layout.seeds()},
        "policy": overrides.policy,
        "retention": overrides.retention,
        "stop": overrides.stop,
        "log": overrides.log,
    }
    return {name: table for name, table in tables.items() if table}


def _toml(tables: Tables) -> str:
    """Return TOML text; strings, numbers, flags and lists are written as in JSON."""
    lines: list[str] = []
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        lines.append("")
    return "\n".join(lines)
