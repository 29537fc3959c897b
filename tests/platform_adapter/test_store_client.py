"""The HTTP client that reads the platform's store."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import orjson
import pytest
from adapter import names
from adapter import store as store_module
from adapter.store import MAX_LIST_ATTEMPTS, Page, StoreClient, decode_era
from aiohttp import web
from result import Err, Ok

from trefoilpaddle.coordination.published.published_store import (
    StoreChanges,
    StoreFault,
)
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.standins.platform.site import configuration, entry
from trefoilpaddle.standins.platform.store import TABLE_KEY, PlatformStore
from trefoilpaddle.standins.web import serving

from .test_entries import item


@contextlib.asynccontextmanager
async def opened(store: PlatformStore) -> AsyncIterator[StoreClient]:
    """Serve a store and yield a client of it."""
    async with serving(store.application()) as url, aiohttp.ClientSession() as session:
        yield StoreClient(
            address=url.removeprefix("http://"),
            failure_domains=frozenset("a"),
            session=session,
        )


def filled() -> PlatformStore:
    store = PlatformStore()
    store.put(TABLE_KEY, configuration(1))
    store.put("servers/w1", entry("stock", "127.0.0.1:1"))
    return store


class TestEras:
    async def test_a_store_without_an_era_header_is_in_the_first(self) -> None:
        async with opened(filled()) as client:
            listed = (await client.snapshot()).unwrap()
        assert listed.position == StorePosition(revision=2)

    async def test_each_response_contains_its_era(self) -> None:
        store = filled()
        async with opened(store) as client:
            store.restore_from(store.take_backup())
            assert (await client.snapshot()).unwrap().position.era == 1
            store.restore_from(store.take_backup())
            store.put("servers/w2", entry("stock", "127.0.0.1:2"))
            after = StorePosition(era=1, revision=2)
            changes = (await client.changes(after)).unwrap()
        assert changes.position == StorePosition(era=2, revision=3)
        assert [worker.worker_id for worker in changes.workers] == ["w2"]

    async def test_a_response_to_an_unknown_revision_contains_the_era(self) -> None:
        # When this counted as lost history only, each gateway listed the whole store.
        store = filled()
        backup = store.take_backup()
        store.put("servers/w2", entry("stock", "127.0.0.1:2"))
        async with opened(store) as client:
            store.restore_from(backup)
            answer = await client.changes(StorePosition(revision=3))
            assert answer == Ok(StoreChanges(position=StorePosition(era=1)))
            answer = await client.changes(StorePosition(era=1, revision=3))
            assert answer == Err(StoreFault.HISTORY_LOST)

    @pytest.mark.parametrize("era", ["", "-1", "one", "1.5", "\u0663"])
    def test_an_era_that_is_no_number_is_an_error(self, era: str) -> None:
        with pytest.raises(ValueError, match="era"):
            decode_era(era)


class TestLists:
    async def test_a_list_refused_for_lost_history_is_not_empty(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def get(_: object, path: str, query: dict[str, str]) -> Ok[Page]:
            return Ok(
                Page(items=[], position=StorePosition(era=1), is_history_lost=True)
            )

        monkeypatch.setattr(StoreClient, "_get", get)
        assert await _client_without_session().snapshot() == Err(StoreFault.REFUSED)


class TestPagesOfTwoEras:
    async def test_the_list_is_read_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The store is restored between two pages; the second has other entries.
        eras = [1, 1, 2, 2, 2, 2]
        requested: list[str] = []

        async def get(_: object, path: str, query: dict[str, str]) -> Ok[Page]:
            era = eras[len(requested)]
            requested.append(query.get("after", ""))
            is_first = (
                "after" not in query and query["prefix"] != names.OPERATORS_PREFIX
            )
            name = "w1" if is_first else "w2"
            return Ok(
                Page(
                    items=[item(f"{name}of{era}")],
                    position=StorePosition(era=era, revision=5),
                    has_more=is_first,
                    last_key="servers/w1",
                )
            )

        monkeypatch.setattr(StoreClient, "_get", get)
        listed = (await _client_without_session().snapshot()).unwrap()
        assert listed.position == StorePosition(era=2, revision=5)
        assert {worker.worker_id[-3:] for worker in listed.workers} == {"of2"}

    async def test_a_list_is_abandoned_if_the_store_is_restored_repeatedly(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        requested: list[str] = []

        async def get(_: object, path: str, query: dict[str, str]) -> Ok[Page]:
            requested.append(path)
            return Ok(
                Page(
                    items=[],
                    position=StorePosition(era=len(requested), revision=5),
                    has_more=False,
                    last_key="",
                )
            )

        monkeypatch.setattr(StoreClient, "_get", get)
        assert await _client_without_session().snapshot() == Err(StoreFault.SILENT)
        assert len(requested) == 2 * MAX_LIST_ATTEMPTS


class TestEndlessLists:
    # Guards against pages that fill the memory of the gateway.
    async def test_a_list_of_many_large_pages_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        n_pages, value = 10, "x" * 1000
        monkeypatch.setattr(store_module, "MAX_ANSWER_BYTES", n_pages * len(value))
        n_read = 0

        async def answer(request: web.Request) -> web.Response:
            nonlocal n_read
            n_read += 1
            entries = [{"key": f"servers/w{n_read}", "value": value, "revision": 1}]
            page = {"items": entries, "has_more": True, "store_revision": 4}
            return web.json_response(page)

        app = web.Application()
        app.router.add_get(names.STORE_RANGE_PATH, answer)
        async with serving(app) as url, aiohttp.ClientSession() as session:
            client = StoreClient(
                address=url.removeprefix("http://"),
                failure_domains=frozenset("a"),
                session=session,
            )
            assert await client.snapshot() == Err(StoreFault.REFUSED)
        assert n_read <= n_pages


def _client_without_session() -> StoreClient:
    return StoreClient(
        address="s:1",
        failure_domains=frozenset(),
        session=None,  # type: ignore[arg-type]
    )


class TestSlowLink:
    async def test_a_response_whose_bytes_keep_arriving_is_not_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a limit on the whole transfer, which no large list can keep on
        # a slow link.
        monkeypatch.setattr(store_module, "READ_TIMEOUT_S", 0.3)
        body = orjson.dumps({"items": [], "has_more": False, "store_revision": 4})

        async def send_slowly(request: web.Request) -> web.StreamResponse:
            answer = web.StreamResponse()
            await answer.prepare(request)
            for begin in range(0, len(body), 8):
                await answer.write(body[begin : begin + 8])
                await asyncio.sleep(0.1)
            return answer

        app = web.Application()
        app.router.add_get("/trefoilpaddle/kv-range", send_slowly)
        async with serving(app) as url, aiohttp.ClientSession() as session:
            client = StoreClient(
                address=url.removeprefix("http://"),
                failure_domains=frozenset("a"),
                session=session,
            )
            listed = (await client.snapshot()).unwrap()
        assert listed.position == StorePosition(revision=4)
