"""Write the reference pages, or with ``--check`` list those that are out of date."""

import asyncio
import sys
from collections.abc import Iterator
from pathlib import Path

from prometheus_client import CollectorRegistry

from tools.reference import (
    ROOT,
    catalogue_page,
    events_page,
    metrics_page,
    settings_page,
)
from trefoilpaddle.roles.operators import OperatorsView
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.transport.connection import Address


async def _registry() -> CollectorRegistry:
    """Return the metrics registry of a process that is not started."""
    identity = Identity(
        process_id="h1-sidecar",
        incarnation=1,
        role="sidecar",
        failure_domain="a",
        region="r1",
    )
    process = Process(
        identity=identity,
        listen=Address(ip="127.0.0.1", port=0),
        journal=Journal(process_id=identity.process_id, n_records=1),
    )
    return OperatorsView(process=process, is_ready=bool).metrics.registry


def pages() -> Iterator[tuple[Path, str]]:
    """Yield the path of each page and its generated content."""
    docs = ROOT / "docs"
    yield docs / "reference" / "settings.md", settings_page()
    yield docs / "reference" / "catalogue.md", catalogue_page()
    yield docs / "reference" / "metrics.md", metrics_page(asyncio.run(_registry()))
    yield docs / "EVENTS.md", events_page()


def main() -> None:
    is_check = "--check" in sys.argv
    stale = [
        path for path, text in pages() if not path.exists() or path.read_text() != text
    ]
    if is_check:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is out of date; run make docs")
        sys.exit(1 if stale else 0)
    for path, text in pages():
        path.write_text(text)
        print(path.relative_to(ROOT))


if __name__ == "__main__":
    main()
