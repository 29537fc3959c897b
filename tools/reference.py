"""Generates the reference pages: settings, catalogue, events and metrics."""

import ast
import dataclasses
import inspect
import re
import textwrap
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Final, get_args, get_origin

import orjson
from prometheus_client import CollectorRegistry

from trefoilpaddle.state import catalogue, settings
from trefoilpaddle.state.events import Event
from trefoilpaddle.state.reason_words import REASON_CLAUSES

ROOT: Final = Path(__file__).resolve().parent.parent
GENERATED_NOTICE: Final = "<!-- Made by `make docs` from the code; change it there. -->"

PARAMETER: Final = re.compile(r"^(\w+(?:, \w+)*) : .*$")


def parameters(cls: type) -> dict[str, str]:
    """Return the description of each field in the docstring of a class."""
    doc = inspect.getdoc(cls) or ""
    found: dict[str, str] = {}
    names: list[str] = []
    for line in doc.partition("Parameters\n")[2].splitlines()[1:]:
        match = PARAMETER.match(line)
        if match:
            names = match[1].split(", ")
            found.update(dict.fromkeys(names, ""))
        elif line.startswith("    "):
            for name in names:
                found[name] = f"{found[name]} {line.strip()}".strip()
        elif line.strip():
            break
    return found


def summary(cls: type) -> str:
    """Return the text of a docstring that precedes its sections."""
    doc = inspect.getdoc(cls) or ""
    return doc.partition("\nParameters\n")[0].strip()


def type_text(annotation: Any) -> str:
    """Return the type of a field in terms of TOML and JSON."""
    if get_origin(annotation) is Annotated:
        return type_text(get_args(annotation)[0])
    if isinstance(annotation, type):
        if issubclass(annotation, Enum):
            return " or ".join(f"`{member.value}`" for member in annotation)
        if dataclasses.is_dataclass(annotation):
            return "table"
        names = {str: "text", int: "whole number", float: "number", bool: "boolean"}
        return names.get(annotation, annotation.__name__)
    arguments = [one for one in get_args(annotation) if one is not type(None)]
    if get_origin(annotation) is tuple:
        return f"list of {type_text(arguments[0])}"
    if all(isinstance(one, str) for one in arguments):
        return " or ".join(f"`{one}`" for one in arguments)
    return " or ".join(type_text(one) for one in arguments)


def default_text(field: dataclasses.Field[Any]) -> str:
    """Return the default of a field in TOML notation, or a word if it has none."""
    default = getattr(field.default, "default", field.default)
    if default is dataclasses.MISSING or repr(default) == "PydanticUndefined":
        return "required"
    if dataclasses.is_dataclass(default):
        return "its defaults"
    if default is None:
        return "unbound"
    if isinstance(default, Enum):
        return f"`{default.value}`"
    return f"`{orjson.dumps(default).decode()}`"


def table(cls: type) -> Iterator[str]:
    """Yield the rows that describe a data class's fields.

    Raises
    ------
    ValueError
        If its docstring omits a field.
    """
    documented = parameters(cls)
    yield "| key | type | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for field in dataclasses.fields(cls):
        if not documented.get(field.name):
            raise ValueError(f"{cls.__name__}.{field.name} is not documented")
        kind = type_text(field.type).replace("|", "\\|")
        meaning = documented[field.name].replace("``", "`")
        yield f"| `{field.name}` | {kind} | {default_text(field)} | {meaning} |"


def settings_page() -> str:
    lines = ["# Settings", "", GENERATED_NOTICE, ""]
    lines += [
        "A settings file is TOML, read once at the start and checked whole before",
        "anything opens. `trefoilpaddle check FILE` tells every fault in advance.",
        "Units are in the keys: `_s` seconds, `_bytes` bytes, `n_` and `max_` counts.",
    ]
    roles = (settings.GatewaySettings, settings.SidecarSettings)
    tables: dict[str, type] = {}
    for role in roles:
        for field in dataclasses.fields(role):
            if isinstance(field.type, type):
                tables.setdefault(field.name, field.type)
    for name, cls in tables.items():
        users = [
            role.__name__.removesuffix("Settings").lower()
            for role in roles
            if name in {field.name for field in dataclasses.fields(role)}
        ]
        lines += ["", f"## `[{name}]` ({' and '.join(users)})", ""]
        lines += [summary(cls).replace("``", "`"), "", *table(cls)]
    return "\n".join(lines) + "\n"


def catalogue_page() -> str:
    lines = ["# Catalogue", "", GENERATED_NOTICE, ""]
    lines += [
        "Operators publish values under keys `KIND/NAME` at the platform's",
        "configuration service. `trefoilpaddle check FOLDER` reads them from files",
        'first: JSON `{"KIND/NAME": {…}}`, one value in `KIND/NAME.json`, or TOML',
        "with a table `[KIND.NAME]` for each value.",
        "",
        "A value with any fault is held back whole and what was in force stays.",
    ]
    for kind, cls in catalogue.KINDS.items():
        lines += ["", f"## `{kind}/NAME`", "", summary(cls).replace("``", "`"), ""]
        lines += table(cls)
    for title, part in (("stage", catalogue.Stage), ("limits", catalogue.Limits)):
        lines += ["", f"## Table `{title}`", "", summary(part).replace("``", "`"), ""]
        lines += table(part)
    return "\n".join(lines) + "\n"


def member_docs(cls: type[Enum]) -> dict[str, str]:
    """Return the docstring below each member of an enum."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(cls)))
    body = tree.body[0]
    assert isinstance(body, ast.ClassDef)
    docs: dict[str, str] = {}
    for before, after in zip(body.body, body.body[1:], strict=False):
        if (
            isinstance(before, ast.Assign)
            and isinstance(before.targets[0], ast.Name)
            and isinstance(after, ast.Expr)
            and isinstance(after.value, ast.Constant)
        ):
            docs[before.targets[0].id] = str(after.value.value)
    return docs


def events_page() -> str:
    docs = member_docs(Event)
    lines = ["# Events", "", GENERATED_NOTICE, ""]
    lines += [
        "Each routing or placement decision is one line of the log on standard",
        "output: `time`, `level`, `process`, then `event` (the number), `name`, and",
        "what is known of `request_id`, `attempt_id`, `entry`, `owner`,",
        "`config_revision`, `stage`, `peer`, `detail` and `reason`, then the figures",
        "that the decision was made on, with their unit in the name. `[log] format`",
        "writes them as `key=value` or as one JSON object. Numbers never change",
        "their meaning. Lines are written within 50 ms; a killed process loses the",
        "last ones.",
        "",
        "```",
        "time=2026-05-04T09:30:01.250Z level=info process=g1-gateway event=120"
        " name=routed request_id=g1-gateway.1f.ab entry=bank-a-drafts owner=bank-a"
        " config_revision=7 stage=generate peer=s1-sidecar predicted_s=0.25",
        "```",
        "",
        "| event | name | when |",
        "| --- | --- | --- |",
    ]
    for event in Event:
        lines.append(f"| {int(event)} | `{event.name.lower()}` | {docs[event.name]} |")
    lines += ["", "## Reasons", "", "| reason | because |", "| --- | --- |"]
    for reason, words in REASON_CLAUSES.items():
        lines.append(f"| `{reason.name.lower()}` | {words} |")
    return "\n".join(lines) + "\n"


def metrics_page(registry: CollectorRegistry) -> str:
    lines = ["# Metrics", "", GENERATED_NOTICE, ""]
    lines += [
        "`GET /metrics` at `[process] operators_listen`. Labels are bounded: past",
        "200 owners, entries or stages the rest counts as `other`.",
        "",
        "| metric | type | labels | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for collector in registry._collector_to_names:
        name = collector._name  # type: ignore[attr-defined]
        kind = collector._type  # type: ignore[attr-defined]
        labels = ", ".join(collector._labelnames)  # type: ignore[attr-defined]
        meaning = collector._documentation  # type: ignore[attr-defined]
        shown = f"{name}_total" if kind == "counter" else name
        lines.append(f"| `{shown}` | {kind} | {labels} | {meaning} |")
    return "\n".join(lines) + "\n"
