"""Values in pages: a revision counts once all values up to it are here."""

from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from trefoilpaddle.coordination.configuration import config_readers
from trefoilpaddle.coordination.configuration.config_peers import ConfigPeers
from trefoilpaddle.coordination.configuration.config_readers import ConfigReader
from trefoilpaddle.coordination.configuration.config_state import ConfigState
from trefoilpaddle.protocol.gen.config.ttypes import ConfigDelta, ConfigPull, Item
from trefoilpaddle.state.published import Published
from trefoilpaddle.transport.connection import Address
from trefoilpaddle.transport.platform_http import PublishedValue, ValuesPage

from .chain.fakes import journal, process


def page(revision: int, *revisions: int, has_more: bool) -> ValuesPage:
    values = tuple(
        PublishedValue(key=f"entry/e{each}", revision=each, value=b"{}")
        for each in revisions
    )
    return ValuesPage(revision=revision, values=values, has_more=has_more)


class Client:
    """Returns the next of some pages, and the last one again and again."""

    def __init__(self, *pages: ValuesPage) -> None:
        self._pages = list(pages)

    async def values(self, *, after: int) -> Result[ValuesPage, Any]:
        return Ok(self._pages.pop(0) if len(self._pages) > 1 else self._pages[0])


def reader(*pages: ValuesPage) -> tuple[ConfigReader, ConfigState]:
    state = ConfigState(published=Published(), journal=journal())
    unused: Any = None
    client: Any = Client(*pages)
    return (
        ConfigReader(
            client=client,
            state=state,
            platform=unused,
            journal=journal(),
            selection=unused,
        ),
        state,
    )


class TestService:
    async def test_all_pages_are_applied(self) -> None:
        # Guards against the refusals of the other tests for pages that are complete.
        reads, state = reader(page(9, 1, has_more=True), page(9, 5, has_more=False))
        assert await reads.read_values()
        assert state.items.revision == 9
        assert len(state.items.keys) == 2

    async def test_a_page_that_lacks_the_announced_values(self) -> None:
        # Guards against a revision that passes values which the service did not send.
        reads, state = reader(page(9, 1, has_more=True), page(9, has_more=True))
        assert not await reads.read_values()
        assert state.items.revision == 0

    async def test_more_pages_than_are_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a revision that passes the values after the last page read.
        monkeypatch.setattr(config_readers, "MAX_PAGES", 3)
        reads, state = reader(page(9, 1, has_more=True))
        assert not await reads.read_values()
        assert state.items.revision == 0


class Link:
    """A link to a peer that sends pages."""

    def __init__(self, *pages: ConfigDelta) -> None:
        self._pages = list(pages)
        self.address = Address(ip="127.0.0.1", port=1)
        self.peer = None

    async def ask(
        self, message: ConfigPull, *, timeout_s: float
    ) -> Result[ConfigDelta, Any]:
        return Ok(self._pages.pop(0)) if self._pages else Err("silent")


class TestPeers:
    async def test_a_page_that_lacks_the_announced_values(self) -> None:
        # Guards against a revision that passes values which the peer did not send.
        state = ConfigState(published=Published(), journal=journal())
        own: Any = process("g")
        own.published = SimpleNamespace(hosts=SimpleNamespace(revision=0))
        members: Any = SimpleNamespace()
        peers = ConfigPeers(process=own, state=state, membership=members)
        item = Item(key="entry/e1", revision=1, value=b"{}")
        link: Any = Link(
            ConfigDelta(revision=9, items=[item], more=True),
            ConfigDelta(revision=9, more=True),
        )
        assert not await peers.pull(link)
        assert state.items.revision == 0
