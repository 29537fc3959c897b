"""Builds the catalogue in force from published versions.

The verdict on a version depends on nothing but published content, so it comes
out the same in every process. A version that cannot be read, or that names
what does not exist, is held back whole; the accepted one below it stays.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .catalogue import (
    KINDS,
    Account,
    Catalogue,
    CatalogueValue,
    Entry,
    Pipeline,
    Service,
)
from .config_items import ConfigItems, KeyState, PublishedItem, Version
from .problems import Problem, problems_of

CATALOGUE_SCHEMA: Final = 1
"""Highest schema of published values that this release understands."""

SCHEMA_KEY: Final = "schema"
"""Field of a value that names the schema it needs; 1 without it."""

ADAPTERS: Final = {kind: TypeAdapter(cls) for kind, cls in KINDS.items()}

Verdict = Result[CatalogueValue | None, list[Problem]]
"""The typed value, None for a deletion, or what is wrong with it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldBack:
    """A published version that is not in force, and why.

    Parameters
    ----------
    key : str
        The key.
    revision : int
        Revision of the version held back.
    stays : int
        Revision of the version that stays in force; 0 if there is none.
    problems : tuple of Problem
        Why.
    """

    key: str
    revision: int
    stays: int
    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The catalogue in force and what was held back from it."""

    catalogue: Catalogue
    held_back: tuple[HeldBack, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Choice:
    """The version chosen for one key; `value` is None where it does not exist."""

    revision: int
    value: CatalogueValue | None


@dataclass(frozen=True, slots=True, kw_only=True)
class _Dangling:
    """A chosen value that names a key which does not exist."""

    holder: str
    named: str


def read_value(key: str, version: Version) -> Verdict:
    """Return the typed value of one version; depends on key and value alone."""
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


def names_of(value: CatalogueValue | None) -> Iterator[str]:
    """Yield the keys that `value` names and cannot do without."""
    match value:
        case Entry():
            yield from (f"pipeline/{name}" for name in value.pipelines)
            yield from (f"account/{name}" for name in value.accounts)
        case Pipeline():
            yield from (f"service/{stage.service}" for stage in value.stages)
        case _:
            return


class CatalogueBuilder:
    """Chooses the version in force of each key; remembers what it has read."""

    __slots__ = ("_read",)

    def __init__(self) -> None:
        self._read: dict[tuple[str, int], Verdict] = {}

    def put_in_force(self, items: ConfigItems) -> Selection:
        """Return the catalogue that `items` put in force and mark it accepted.

        Each key begins with its newest version. While some value names a key
        that does not exist, the newer of the two changes falls back: the
        deletion of what is named, or else the value that names it.
        """
        choices = {key: self._first(key, at) for key, at in items.keys.items()}
        reasons: dict[str, Problem] = {}
        while blamed := _blamed(choices, items):
            for key, problem in blamed.items():
                reasons.setdefault(key, problem)
                choices[key] = self._below(key, items.keys[key], choices[key])
        held_back = tuple(self._held_back(choices, reasons, items))
        for key, choice in choices.items():
            if choice.revision == items.keys[key].newest.revision:
                items.accept(key)
        self._forget(items)
        return Selection(
            catalogue=_catalogue(choices, revision=items.revision), held_back=held_back
        )

    def _held_back(
        self,
        choices: Mapping[str, _Choice],
        reasons: Mapping[str, Problem],
        items: ConfigItems,
    ) -> Iterator[HeldBack]:
        for key in sorted(choices):
            newest = items.keys[key].newest
            if choices[key].revision == newest.revision:
                continue
            match self._verdict(key, newest):
                case Err(found):
                    problems = found
                case Ok(_):
                    problems = [reasons[key]]
            yield HeldBack(
                key=key,
                revision=newest.revision,
                stays=choices[key].revision,
                problems=tuple(problems),
            )

    def _verdict(self, key: str, version: Version) -> Verdict:
        at = (key, version.revision)
        if at not in self._read:
            self._read[at] = read_value(key, version)
        return self._read[at]

    def _first(self, key: str, at: KeyState) -> _Choice:
        match self._verdict(key, at.newest):
            case Ok(value):
                return _Choice(revision=at.newest.revision, value=value)
            case Err(_):
                return self._accepted(key, at)

    def _accepted(self, key: str, at: KeyState) -> _Choice:
        if at.accepted is None or at.accepted == at.newest:
            return _Choice(revision=0, value=None)
        match self._verdict(key, at.accepted):
            case Ok(value):
                return _Choice(revision=at.accepted.revision, value=value)
            case Err(_):
                return _Choice(revision=0, value=None)

    def _below(self, key: str, at: KeyState, choice: _Choice) -> _Choice:
        if choice.revision == at.newest.revision:
            return self._accepted(key, at)
        return _Choice(revision=0, value=None)

    def _forget(self, items: ConfigItems) -> None:
        held = {
            (key, version.revision)
            for key, at in items.keys.items()
            for version in (at.newest, at.accepted)
            if version is not None
        }
        if len(self._read) > 2 * len(held):
            self._read = {at: self._read[at] for at in held & self._read.keys()}


def _blamed(choices: Mapping[str, _Choice], items: ConfigItems) -> dict[str, Problem]:
    """Return the changes that must fall back next, deletions first.

    Deletions go first because restoring what they removed can leave nothing
    else to blame.
    """
    deletions: dict[str, Problem] = {}
    holders: dict[str, Problem] = {}
    for dangling in _danglings(choices):
        if _is_deletion_to_blame(dangling, choices, items):
            deletions[dangling.named] = Problem(
                source=dangling.named,
                key="",
                value="",
                detail=f"deleted while {dangling.holder} names it",
                accepted=f"a change of {dangling.holder} first",
            )
        else:
            holders[dangling.holder] = Problem(
                source=dangling.holder,
                key="",
                value=dangling.named,
                detail=f"names {dangling.named}, which is not in force",
                accepted=f"a published {dangling.named}, or another name",
            )
    return deletions or holders


def _is_deletion_to_blame(
    dangling: _Dangling, choices: Mapping[str, _Choice], items: ConfigItems
) -> bool:
    named = choices.get(dangling.named)
    if named is None or named.revision <= choices[dangling.holder].revision:
        return False
    accepted = items.keys[dangling.named].accepted
    return accepted is not None and accepted.revision < named.revision


def _danglings(choices: Mapping[str, _Choice]) -> Iterator[_Dangling]:
    for holder, choice in choices.items():
        for named in names_of(choice.value):
            if named not in choices or choices[named].value is None:
                yield _Dangling(holder=holder, named=named)


def _catalogue(choices: Mapping[str, _Choice], *, revision: int) -> Catalogue:
    entries: dict[str, Entry] = {}
    pipelines: dict[str, Pipeline] = {}
    services: dict[str, Service] = {}
    accounts: dict[str, Account] = {}
    for key, choice in choices.items():
        name = key.partition("/")[2]
        match choice.value:
            case Entry():
                entries[name] = choice.value
            case Pipeline():
                pipelines[name] = choice.value
            case Service():
                services[name] = choice.value
            case Account():
                accounts[name] = choice.value
    return Catalogue(
        revision=revision,
        entries=entries,
        pipelines=pipelines,
        services=services,
        accounts=accounts,
        entry_revisions={name: choices[f"entry/{name}"].revision for name in entries},
    )


def build_catalogue(
    values: Mapping[str, bytes], *, revision: int = 1
) -> Result[Catalogue, list[Problem]]:
    """Return the catalogue of `values`, JSON by key, or everything wrong with it.

    For a catalogue that is not published yet; nothing is held back, a single
    fault refuses the whole.
    """
    items = ConfigItems()
    versions = {
        key: Version(revision=revision, value=value) for key, value in values.items()
    }
    items.join(
        (PublishedItem(key=key, version=at) for key, at in versions.items()),
        revision=revision,
    )
    selection = CatalogueBuilder().put_in_force(items)
    problems = [problem for held in selection.held_back for problem in held.problems]
    return Err(problems) if problems else Ok(selection.catalogue)
