"""Acceptance of published versions, independent of the order of their arrival."""

import orjson
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.state.catalogue_build import CatalogueBuilder, build_catalogue
from trefoilpaddle.state.config_items import ConfigItems, PublishedItem, Version

SERVICE = {"kind": "pool"}
PIPELINE = {"stages": [{"name": "find", "service": "search", "path": "/find"}]}
ACCOUNT = {"token_sha256": "0" * 64}
ENTRY = {
    "owner": "bank-a",
    "class_of_work": "drafts",
    "pipelines": ["draft"],
    "accounts": ["officer"],
}


def item(key: str, revision: int, value: object) -> PublishedItem:
    data = None if value is None else orjson.dumps(value)
    return PublishedItem(key=key, version=Version(revision=revision, value=data))


COMPLETE = [
    item("service/search", 1, SERVICE),
    item("pipeline/draft", 2, PIPELINE),
    item("account/officer", 3, ACCOUNT),
    item("entry/drafts", 4, ENTRY),
]


class TestBuildCatalogue:
    def test_complete_catalogue_has_no_problems(self) -> None:
        values = {one.key: one.version.value or b"" for one in COMPLETE}
        catalogue = build_catalogue(values).unwrap()
        assert list(catalogue.entries) == ["drafts"]

    def test_every_problem_names_its_key(self) -> None:
        values = {
            "service/search": b'{"kind": "pol"}',
            "pipeline/draft": orjson.dumps(PIPELINE),
            "shelf/x": b"{}",
            "account/officer": b"{",
        }
        problems = build_catalogue(values).unwrap_err()
        assert {problem.source for problem in problems} == set(values)

    def test_newer_schema_is_refused_with_its_number(self) -> None:
        values = {"service/search": orjson.dumps(SERVICE | {"schema": 2})}
        (problem,) = build_catalogue(values).unwrap_err()
        assert "schema 2" in problem.detail


class TestHoldingBack:
    def test_invalid_change_is_held_back_and_the_last_valid_value_stays(self) -> None:
        items, builder = ConfigItems(), CatalogueBuilder()
        items.merge(COMPLETE, revision=4)
        builder.activate(items)
        items.merge([item("entry/drafts", 5, ENTRY | {"weight": -1})], revision=5)
        selection = builder.activate(items)
        assert selection.catalogue.entries["drafts"].weight == 1.0
        assert selection.catalogue.revision == 5
        (held,) = selection.held_back
        assert (held.key, held.revision, held.stays) == ("entry/drafts", 5, 4)
        assert held.problems[0].key == "weight"

    def test_deletion_of_a_used_key_is_held_back_while_it_is_used(self) -> None:
        items, builder = ConfigItems(), CatalogueBuilder()
        items.merge(COMPLETE, revision=4)
        builder.activate(items)
        items.merge([item("service/search", 5, None)], revision=5)
        selection = builder.activate(items)
        assert "search" in selection.catalogue.services
        assert "draft" in selection.catalogue.pipelines
        assert selection.held_back[0].key == "service/search"
        deleted = [item("entry/drafts", 6, None), item("pipeline/draft", 7, None)]
        items.merge(deleted, revision=7)
        selection = builder.activate(items)
        assert not selection.held_back
        assert not selection.catalogue.services

    def test_late_joiner_takes_the_last_valid_value_from_a_peer(self) -> None:
        early, builder = ConfigItems(), CatalogueBuilder()
        early.merge(COMPLETE, revision=4)
        builder.activate(early)
        early.merge([item("entry/drafts", 5, {"owner": "X"})], revision=5)
        expected = builder.activate(early)
        late = ConfigItems()
        late.merge([*COMPLETE[:3], item("entry/drafts", 5, {"owner": "X"})], revision=5)
        assert not CatalogueBuilder().activate(late).catalogue.entries
        late.merge(early.since(0), revision=early.revision)
        assert CatalogueBuilder().activate(late) == expected
        assert late.digest == early.digest


VALUES: dict[str, list[object]] = {
    "service/search": [SERVICE, {"kind": "plain"}, {"kind": "?"}, None],
    "pipeline/draft": [
        PIPELINE,
        {"stages": []},
        {"stages": [{"name": "find", "service": "other", "path": "/find"}]},
        None,
    ],
    "account/officer": [ACCOUNT, {}, None],
    "entry/drafts": [ENTRY, ENTRY | {"weight": 2}, ENTRY | {"weight": 0}, None],
}
changes = st.lists(
    st.sampled_from(sorted(VALUES)).flatmap(
        lambda key: st.tuples(st.just(key), st.sampled_from(VALUES[key]))
    ),
    min_size=1,
    max_size=14,
)


class TestOrder:
    @given(changes=changes, data=st.data())
    def test_processes_that_exchange_versions_converge(
        self, changes: list[tuple[str, object]], data: st.DataObject
    ) -> None:
        published = [
            item(key, number, value)
            for number, (key, value) in enumerate(changes, start=1)
        ]
        processes = [(ConfigItems(), CatalogueBuilder()) for _ in range(3)]
        for items, builder in processes:
            at = 0
            while at < len(published):
                to = data.draw(st.integers(at + 1, len(published)))
                last = {one.key: one for one in published[at:to]}
                items.merge(last.values(), revision=to)
                builder.activate(items)
                at = to
        for _ in range(2):
            for items, builder in processes:
                for other, _ in processes:
                    items.merge(other.since(0), revision=other.revision)
                builder.activate(items)
        first, *rest = [builder.activate(items) for items, builder in processes]
        assert all(other == first for other in rest)
        assert len({items.digest for items, _ in processes}) == 1
