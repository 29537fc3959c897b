"""Entries that other writers wrote to the store: they never affect valid entries."""

import base64
import string
from typing import Any

import orjson
import pytest
from adapter import names
from adapter.entries import EntryReader, RemovedEntry, TableEntry
from adapter.store import Page, StoreClient, decode_page
from hypothesis import example, given
from hypothesis import strategies as st
from result import Ok

from trefoilpaddle.coordination.published.published_store import (
    StoreChanges,
    UnreadableEntry,
)
from trefoilpaddle.coordination.published.store_position import StorePosition
from trefoilpaddle.standins.platform.site import entry
from trefoilpaddle.standins.platform.store import TABLE_KEY
from trefoilpaddle.state.chain.workers import Worker

DOMAINS = frozenset({"a", "b"})
GOOD = entry("encode", "10.0.0.1:80", zone="a", born=7)

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 2**40)
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)


def encoded(fields: object) -> str:
    return base64.b64encode(orjson.dumps(fields)).decode()


def item(worker_id: str, fields: object = GOOD, **other: object) -> dict[str, object]:
    known = {"key": f"servers/{worker_id}", "value": encoded(fields), "revision": 1}
    return known | other


def read(*items: object) -> StoreChanges:
    client = StoreClient(
        address="s:1",
        failure_domains=DOMAINS,
        session=None,  # type: ignore[arg-type]
    )
    return client._changes(list(items), StorePosition(revision=5))


def without(name: str) -> dict[str, Any]:
    return {key: value for key, value in GOOD.items() if key != name}


class TestReadable:
    def test_every_field_is_decoded(self) -> None:
        (found,) = read(item("w", GOOD | {"state": "draining"})).workers
        assert found == Worker(
            worker_id="w",
            service="encode",
            address="10.0.0.1:80",
            failure_domain="a",
            software_version="v1",
            is_leaving=True,
            born_ms=7,
            n_slots=GOOD["slots"],
        )

    @pytest.mark.parametrize("slots", [-3, 0, 0.5, 1e30])
    def test_slots_that_are_not_credible_are_unknown(self, slots: float) -> None:
        # Guards against a worker that is never used, or used without any limit.
        (found,) = read(item("w", GOOD | {"slots": slots})).workers
        assert found.n_slots == 0

    def test_unknown_fields_are_ignored(self) -> None:
        # Later versions of the platform write more fields.
        assert read(item("w", GOOD | {"colour": [1]})).workers

    def test_a_worker_without_a_start_time_is_used(self) -> None:
        (found,) = read(item("w", without("born"))).workers
        assert found.born_ms == 0


UNREADABLE: dict[str, dict[str, object]] = {
    **{f"without {name}": item("x", without(name)) for name in GOOD if name != "born"},
    **{
        f"{name} of another type": item("x", GOOD | {name: [GOOD[name]]})
        for name in GOOD
    },
    "born as text": item("x", GOOD | {"born": "7"}),
    "born with a fraction": item("x", GOOD | {"born": 7.5}),
    "born true": item("x", GOOD | {"born": True}),
    "another state": item("x", GOOD | {"state": "resting"}),
    "a zone that is none": item("x", GOOD | {"zone": "nowhere"}),
    "an address without a port": item("x", GOOD | {"address": "10.0.0.1"}),
    "an address of a name": item("x", GOOD | {"address": "host:80"}),
    "a port too large": item("x", GOOD | {"address": "10.0.0.1:99999"}),
    "a list": item("x", [1]),
    "a number": item("x", 4),
    "no value": {"key": "servers/x", "revision": 1},
    "a value that is no text": item("x", value=4),
    "no base64": item("x", value="*"),
    "no JSON": item("x", value=base64.b64encode(b"{\xff").decode()),
}


class TestUnreadable:
    @pytest.mark.parametrize("name", UNREADABLE)
    def test_an_unreadable_entry_does_not_affect_others(self, name: str) -> None:
        # Another process writes into the workers' part of the store. One entry whose
        # address was a list made every read of it fail: no more workers and no more
        # configurations were applied.
        changes = read(item("a"), UNREADABLE[name], item("b"))
        assert [worker.worker_id for worker in changes.workers] == ["a", "b"]
        assert [entry.worker_id for entry in changes.unreadable] == ["x"]
        assert changes.unreadable[0].problem

    @pytest.mark.parametrize("key", [None, 4, ["servers/x"], {"servers/x": 1}])
    def test_an_item_without_a_key_is_ignored(self, key: object) -> None:
        changes = read(item("a"), item("x", key=key), "nonsense", None, item("b"))
        assert [worker.worker_id for worker in changes.workers] == ["a", "b"]

    def test_the_last_entry_of_a_worker_counts(self) -> None:
        bad = item("w", value="*")
        assert read(item("w"), bad).workers == ()
        assert read(bad, item("w")).unreadable == ()
        removed = {"key": "servers/w", "revision": 2, "removed": True}
        assert read(bad, removed).removed == ("w",)

    def test_a_relisted_worker_is_reported(self) -> None:
        # Other gateways may know that it was removed, or withdrawn.
        bad = item("w", value="*")
        gone = {"key": "servers/w", "revision": 2, "removed": True}
        assert read(gone, item("w")).relisted == ("w",)
        assert read(bad, item("w")).relisted == ("w",)
        assert read(item("w"), gone, item("w")).relisted == ("w",)
        assert read(item("w")).relisted == ()
        assert read(gone, item("w"), gone).relisted == ()
        assert read(gone, item("w"), bad).relisted == ()

    # Guards against orders that are missed, or are in force after their end.
    @pytest.mark.parametrize(
        ("removals", "evacuated", "returned"),
        [
            ((False,), frozenset("a"), frozenset()),
            ((False, True), frozenset(), frozenset("a")),
            ((True, False), frozenset("a"), frozenset()),
            ((), frozenset(), frozenset()),
        ],
    )
    def test_the_last_event_of_an_evacuation_counts(
        self,
        removals: tuple[bool, ...],
        evacuated: frozenset[str],
        returned: frozenset[str],
    ) -> None:
        events = [
            {"key": "op/evacuate/a", "revision": 9, "removed": True}
            if is_removal
            else {"key": "op/evacuate/a", "revision": 9, "value": encoded({})}
            for is_removal in removals
        ]
        changes = read(item("w"), *events)
        assert (changes.evacuated, changes.returned) == (evacuated, returned)

    def test_an_order_for_an_unknown_failure_domain_is_reported(self) -> None:
        changes = read({"key": "op/evacuate/z", "value": encoded({})})
        assert not changes.evacuated
        assert changes.unreadable == (
            UnreadableEntry(worker_id="", problem="evacuation of an unknown zone: z"),
        )

    def test_an_undecodable_table_does_not_affect_workers(self) -> None:
        for value in (None, 4, "*", encoded([1]), encoded({"version": 4, "routes": 1})):
            changes = read({"key": TABLE_KEY, "value": value}, item("a"))
            assert changes.table is None
            assert len(changes.workers) == 1


class TestPages:
    async def test_all_pages_are_read_in_any_order_of_keys(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A hundred workers are listed on pages whose keys are in an order that the
        # store defines. The greatest key of a page was taken for its last: workers on
        # the pages between were dropped with each new list, for half a minute.
        order = ["z", "a", "b", "c"]
        items = [item(name) for name in order]
        client = StoreClient(
            address="s:1",
            failure_domains=DOMAINS,
            session=None,  # type: ignore[arg-type]
        )

        async def get(_: object, path: str, query: dict[str, str]) -> Ok[Page]:
            if query["prefix"] == names.OPERATORS_PREFIX:
                return Ok(
                    Page(
                        items=[],
                        position=StorePosition(revision=5),
                        has_more=False,
                        last_key="",
                    )
                )
            after = query.get("after", "").removeprefix("servers/")
            first = order.index(after) + 1 if after else 0
            body = {
                "items": items[first : first + 2],
                "has_more": first + 2 < len(items),
                "store_revision": 5,
            }
            return Ok(decode_page(orjson.dumps(body)))

        monkeypatch.setattr(StoreClient, "_get", get)
        changes = (await client.snapshot()).unwrap()
        assert sorted(worker.worker_id for worker in changes.workers) == sorted(order)


class TestAnything:
    @given(value=JSON)
    @example(value={"service": {}, "address": [], "zone": 1, "state": None})
    def test_any_json_is_read_or_told(self, value: object) -> None:
        changes = read(item("a"), item("x", value), item("b"))
        assert [w.worker_id for w in changes.workers if w.worker_id != "x"] == [
            "a",
            "b",
        ]
        assert len(changes.workers) + len(changes.unreadable) == 3

    @given(data=st.binary(max_size=40))
    def test_any_bytes_are_read_or_told(self, data: bytes) -> None:
        changes = read(item("x", value=base64.b64encode(data).decode()), item("a"))
        assert [worker.worker_id for worker in changes.workers] == ["a"]

    @given(whole=JSON, key=st.text(string.printable, max_size=12))
    def test_any_item_is_read_or_told(self, whole: object, key: str) -> None:
        reader = EntryReader(failure_domains=DOMAINS)
        kinds = TableEntry | Worker | RemovedEntry | UnreadableEntry | None
        assert isinstance(reader.read(whole), kinds)
        assert isinstance(reader.read({"key": f"servers/{key}", "value": whole}), kinds)

    @given(body=st.binary(max_size=60) | JSON.map(orjson.dumps))
    def test_any_answer_is_a_page_or_an_error(self, body: bytes) -> None:
        try:
            page = decode_page(body)
        except ValueError:
            return
        assert isinstance(page.items, list)
