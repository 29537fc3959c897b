"""Reads and checks one published value, independent of all other values."""

from collections.abc import Iterator
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .catalogue import KINDS, CatalogueValue, Entry, Pipeline
from .config_items import Version
from .problems import Problem, problems_of

CATALOGUE_SCHEMA: Final = 1
"""Highest schema number of published values that this release can read."""

SCHEMA_KEY: Final = "schema"
"""Field of a value with the schema number that it needs; 1 if absent."""

ADAPTERS: Final = {kind: TypeAdapter(cls) for kind, cls in KINDS.items()}

Verdict = Result[CatalogueValue | None, list[Problem]]
"""The typed value, None for a deletion, or the problems found."""


def read_value(key: str, version: Version) -> Verdict:
    """Return the typed value of one version; depends only on its key and value."""
    kind, _, name = key.partition("/")
    if kind not in KINDS or not name:
        return _bad(key, "not a catalogue key", "KIND/NAME, KIND: " + ", ".join(KINDS))
    if version.value is None:
        return Ok(None)
    try:
        table = orjson.loads(version.value)
    except orjson.JSONDecodeError as error:
        return _bad(key, f"not JSON: {error}", "a JSON object")
    if not isinstance(table, dict):
        return _bad(key, "not a JSON object", "a JSON object")
    return _check(key, kind, table)


def _check(key: str, kind: str, table: dict[str, object]) -> Verdict:
    schema = table.pop(SCHEMA_KEY, 1)
    if not isinstance(schema, int) or not 1 <= schema <= CATALOGUE_SCHEMA:
        detail = f"needs schema {schema!r}; this release knows {CATALOGUE_SCHEMA}"
        return _bad(key, detail, "a value of a known schema, or a newer release")
    try:
        value: CatalogueValue = ADAPTERS[kind].validate_python(table)
    except ValidationError as error:
        return Err(list(problems_of(error, source=key, cls=KINDS[kind])))
    problems = list(_own_problems(key, value))
    return Err(problems) if problems else Ok(value)


def _own_problems(key: str, value: CatalogueValue) -> Iterator[Problem]:
    if not isinstance(value, Pipeline):
        return
    names = [stage.name for stage in value.stages]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield Problem(
            source=key,
            key="stages",
            value=name,
            detail="two stages have this name",
            accepted="a name of its own for each stage",
        )


def _bad(key: str, detail: str, accepted: str) -> Verdict:
    problem = Problem(source=key, key="", value="", detail=detail, accepted=accepted)
    return Err([problem])


def referenced_keys(value: CatalogueValue | None) -> Iterator[str]:
    """Yield the keys that must exist for `value` to be valid."""
    match value:
        case Entry():
            yield from (f"pipeline/{name}" for name in value.pipelines)
            yield from (f"account/{name}" for name in value.accounts)
        case Pipeline():
            yield from (f"service/{stage.service}" for stage in value.stages)
        case _:
            return
