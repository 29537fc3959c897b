"""Pytest plugin: failures of tests listed in KNOWN-RED.txt do not fail the run.

A line has the form ``TEST | CAUSE | ISSUE``; lines that begin with ``#`` are comments.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import pytest

FILE_NAME: Final = "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownRed:
    """A test that fails because of a known fault that is not fixed yet."""

    node_id: str
    cause: str
    issue: str


def read(path: Path) -> Iterator[KnownRed]:
    """Yield the listed tests.

    Raises
    ------
    pytest.UsageError
        If a line lacks one of its parts.
    """
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path}: {line!r} is not TEST | CAUSE | ISSUE")
        yield KnownRed(node_id=parts[0], cause=parts[1], issue=parts[2])


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    path = config.rootpath / FILE_NAME
    listed = list(read(path))
    by_id = {item.nodeid: item for item in items}
    for known in listed:
        item = by_id.get(known.node_id)
        if item is None:
            if _is_full_run(config):
                raise pytest.UsageError(f"{path}: no test {known.node_id}; take it out")
            continue
        item.add_marker(pytest.mark.xfail(reason=known.cause, strict=False))


def _is_full_run(config: pytest.Config) -> bool:
    return config.args == config.getini("testpaths") and not config.option.keyword


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    listed = list(read(config.rootpath / FILE_NAME))
    if not listed:
        return
    terminalreporter.section(f"passed over, listed in {FILE_NAME}")
    for known in listed:
        line = f"{known.node_id}: {known.cause} ({known.issue})"
        terminalreporter.write_line(line)
