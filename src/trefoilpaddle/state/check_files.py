"""Checks settings and catalogue files before they are used or published.

A catalogue file is JSON or TOML. JSON holds values by key, ``{"entry/NAME":
{…}}``, or one value if the file is called ``KIND/NAME.json``. TOML holds a
table for each value, ``[entry.NAME]``. A settings file is TOML with a table
``[process]``.
"""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from .catalogue import KINDS, Catalogue
from .catalogue_build import build_catalogue
from .catalogue_warnings import catalogue_warnings
from .problems import Problem
from .settings_read import load_gateway, load_sidecar
from .settings_warnings import settings_warnings

SUFFIXES: Final = {".json", ".toml"}


@dataclass(slots=True, kw_only=True)
class CheckResult:
    """Result of a check.

    Parameters
    ----------
    sources : list of str
        Files that were read as settings or catalogue.
    skipped : list of str
        Files that are neither.
    problems : list of Problem
        Errors; a file with an error is not accepted.
    warnings : list of Problem
        Values that are accepted but cannot work as written.
    catalogue : Catalogue, optional
        The catalogue of all files together; None if it has errors or there is no
        catalogue file.
    """

    sources: list[str] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    warnings: list[Problem] = field(default_factory=list)
    catalogue: Catalogue | None = None


@dataclass(slots=True, kw_only=True)
class _Values:
    """Catalogue values by key, and the file of each."""

    json_by_key: dict[str, bytes] = field(default_factory=dict)
    files: dict[str, str] = field(default_factory=dict)


def check_path(path: Path) -> CheckResult:
    """Check the file at `path`, or all settings and catalogue files under it."""
    checked = CheckResult()
    values = _Values()
    for file in _files(path, checked):
        _check_file(file, _named(file, path), checked, values)
    if values.json_by_key:
        _check_catalogue(values, checked)
    if not checked.sources and not checked.problems:
        detail = "holds no settings and no catalogue"
        checked.problems.append(_fault(str(path), detail, "a .toml or .json file"))
    return checked


def _files(path: Path, checked: CheckResult) -> list[Path]:
    if path.is_dir():
        return sorted(p for p in path.rglob("*") if p.suffix in SUFFIXES)
    if path.is_file():
        return [path]
    checked.problems.append(_fault(str(path), "does not exist", "a file or a folder"))
    return []


def _named(file: Path, path: Path) -> str:
    """Return the name of `file` in messages, relative to the folder `path`."""
    return str(file.relative_to(path)) if path.is_dir() else file.name


def _check_file(file: Path, source: str, checked: CheckResult, values: _Values) -> None:
    match _read(file, source):
        case Err(problem):
            checked.problems.append(problem)
        case Ok(table) if "process" in table:
            checked.sources.append(source)
            _check_settings(file, source, table, checked)
        case Ok(table) if not _is_catalogue(file, table):
            checked.skipped.append(source)
        case Ok(table):
            checked.sources.append(source)
            _collect(file, source, table, checked, values)


def _is_catalogue(file: Path, table: dict[str, Any]) -> bool:
    """Return True if `file` or a key of `table` has the form of a catalogue value."""
    if file.suffix == ".toml":
        return bool(KINDS.keys() & table.keys())
    return file.parent.name in KINDS or any("/" in key for key in table)


def _read(file: Path, source: str) -> Result[dict[str, Any], Problem]:
    try:
        data = file.read_bytes()
        if file.suffix == ".toml":
            return Ok(tomllib.loads(data.decode()))
        table = orjson.loads(data)
    except (OSError, ValueError) as error:
        kind = "a TOML file" if file.suffix == ".toml" else "a JSON file"
        return Err(_fault(source, f"cannot be read: {error}", kind))
    if not isinstance(table, dict):
        return Err(_fault(source, "is no JSON object", '{"KIND/NAME": {…}}'))
    return Ok(table)


def _check_settings(
    file: Path, source: str, table: dict[str, Any], checked: CheckResult
) -> None:
    loaded = load_sidecar(file) if "target" in table else load_gateway(file)
    match loaded:
        case Ok(settings):
            checked.warnings += settings_warnings(settings, source=source)
        case Err(problems):
            checked.problems += (replace(one, source=source) for one in problems)


def _collect(
    file: Path,
    source: str,
    table: dict[str, Any],
    checked: CheckResult,
    values: _Values,
) -> None:
    for key, value in _by_key(file, table):
        if key in values.files:
            detail = f"stands in {values.files[key]} too"
            checked.problems.append(
                Problem(
                    source=source,
                    key=key,
                    value="",
                    detail=detail,
                    accepted="one of the two",
                )
            )
            continue
        values.files[key] = source
        values.json_by_key[key] = orjson.dumps(value)


def _by_key(file: Path, table: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    if file.suffix == ".json" and file.parent.name in KINDS:
        yield f"{file.parent.name}/{file.stem}", table
        return
    for key, value in table.items():
        if file.suffix == ".toml" and isinstance(value, dict):
            yield from ((f"{key}/{name}", inner) for name, inner in value.items())
        else:
            yield key, value


def _check_catalogue(values: _Values, checked: CheckResult) -> None:
    match build_catalogue(values.json_by_key):
        case Ok(catalogue):
            checked.catalogue = catalogue
            found = catalogue_warnings(catalogue)
            checked.warnings += (_in_file(one, values) for one in found)
        case Err(problems):
            checked.problems += (_in_file(one, values) for one in problems)


def _in_file(problem: Problem, values: _Values) -> Problem:
    """Return `problem` with the file as source, and the published key in its key."""
    file = values.files.get(problem.source, "")
    key = f"{problem.source}.{problem.key}" if problem.key else problem.source
    return replace(problem, source=file, key=key) if file else problem


def _fault(source: str, detail: str, accepted: str) -> Problem:
    return Problem(source=source, key="", value="", detail=detail, accepted=accepted)
