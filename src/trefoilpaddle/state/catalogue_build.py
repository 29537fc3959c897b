"""Builds the active catalogue from published versions.

The verdict on a version depends only on published content, so it is the same in
every process. A version that cannot be read, or that refers to a key that does
not exist, is held back as a whole; the last accepted version stays active.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

from result import Err, Ok, Result

from .catalogue import Catalogue, CatalogueValue
from .catalogue_read import read_value, referenced_keys
from .config_items import ConfigItems, KeyState, PublishedItem, Version
from .problems import Problem


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldBack:
    """A published version that is not active, with the reasons.

    Parameters
    ----------
    key : str
        The published key.
    revision : int
        Revision of the version that is held back.
    stays : int
        Revision of the version that stays active; 0 if there is none.
    problems : tuple of Problem
        Why the version is held back.
    """

    key: str
    revision: int
    stays: int
    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The active catalogue and the versions that are held back."""

    catalogue: Catalogue
    held_back: tuple[HeldBack, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Choice:
    """The version chosen for one key.

    Parameters
    ----------
    revision : int
        Revision of the version; 0 if none can be active.
    value : CatalogueValue or None
        The value; None if the key does not exist.
    references : tuple of str
        Keys that must exist for the value to be valid.
    """

    revision: int
    value: CatalogueValue | None
    references: tuple[str, ...] = ()


ABSENT: Final = _Choice(revision=0, value=None)

_Read = Result[_Choice, list[Problem]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _DanglingReference:
    """A reference of a chosen value to a key that does not exist."""

    holder: str
    named: str


class CatalogueBuilder:
    """Chooses the active version of each key; caches the verdicts on versions."""

    __slots__ = ("_choices", "_holders", "_last", "_read")

    def __init__(self) -> None:
        self._read: dict[tuple[str, int], _Read] = {}
        self._choices: dict[str, _Choice] = {}
        self._holders: dict[str, set[str]] = {}
        self._last: Selection | None = None

    def activate(
        self, items: ConfigItems, changed: Collection[str] | None = None
    ) -> Selection:
        """Return the catalogue that results from `items` and mark it accepted.

        Each key starts with its newest version. While some value refers to a key
        that does not exist, the newer of the two changes is reverted: the
        deletion of the referenced key, or else the value that refers to it.

        Parameters
        ----------
        items : ConfigItems
            All known versions.
        changed : collection of str, optional
            Keys that changed since the last call; None means all. The result is
            the same, but is computed faster if nothing is held back.
        """
        selection = (
            self._select_changed(items, changed) if changed is not None else None
        )
        self._last = selection or self._select_all(items)
        self._evict_verdicts(items)
        return self._last

    def _select_all(self, items: ConfigItems) -> Selection:
        choices = {key: self._first(key, at) for key, at in items.keys.items()}
        reasons: dict[str, Problem] = {}
        while reverted := _changes_to_revert(choices, items):
            for key, problem in reverted.items():
                reasons.setdefault(key, problem)
                choices[key] = self._fall_back(key, items.keys[key], choices[key])
        held_back = tuple(self._held_back(choices, reasons, items))
        for key, choice in choices.items():
            if choice.revision == items.keys[key].newest.revision:
                items.accept(key)
        self._choices = choices
        self._holders = {}
        for key, choice in choices.items():
            self._add_references(key, choice)
        return Selection(
            catalogue=_catalogue(choices, revision=items.revision), held_back=held_back
        )

    def _select_changed(
        self, items: ConfigItems, changed: Collection[str]
    ) -> Selection | None:
        """Return the selection after a few changes, or None if it needs all keys.

        If nothing was held back before and the newest version of every changed
        key is valid and consistent, the newest version of each key is active.
        """
        if self._last is None or self._last.held_back:
            return None
        new: dict[str, _Choice] = {}
        for key in changed:
            match self._verdict(key, items.keys[key].newest):
                case Ok(choice):
                    new[key] = choice
                case Err(_):
                    return None
        if any(self._is_inconsistent(key, choice, new) for key, choice in new.items()):
            return None
        for key, choice in new.items():
            self._remove_references(key)
            self._choices[key] = choice
            self._add_references(key, choice)
            items.accept(key)
        last = self._last.catalogue
        return Selection(
            catalogue=_catalogue(new, revision=items.revision, last=last),
            held_back=(),
        )

    def _is_inconsistent(
        self, key: str, choice: _Choice, new: Mapping[str, _Choice]
    ) -> bool:
        """Return True if a change leaves a reference to a key that does not exist."""

        def current(other: str) -> _Choice:
            return new.get(other) or self._choices.get(other) or ABSENT

        if any(current(name).value is None for name in choice.references):
            return True
        if choice.value is not None:
            return False
        holders = self._holders.get(key, set())
        return any(key in current(holder).references for holder in holders)

    def _add_references(self, key: str, choice: _Choice) -> None:
        for name in choice.references:
            self._holders.setdefault(name, set()).add(key)

    def _remove_references(self, key: str) -> None:
        for name in self._choices.get(key, ABSENT).references:
            self._holders.get(name, set()).discard(key)

    def _held_back(
        self,
        choices: Mapping[str, _Choice],
        reasons: Mapping[str, Problem],
        items: ConfigItems,
    ) -> Iterator[HeldBack]:
        outdated = [
            key
            for key, choice in choices.items()
            if choice.revision != items.keys[key].newest.revision
        ]
        for key in sorted(outdated):
            newest = items.keys[key].newest
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

    def _verdict(self, key: str, version: Version) -> _Read:
        at = (key, version.revision)
        read = self._read.get(at)
        if read is None:
            read = read_value(key, version).map(
                lambda value: _Choice(
                    revision=version.revision,
                    value=value,
                    references=tuple(referenced_keys(value)),
                )
            )
            self._read[at] = read
        return read

    def _first(self, key: str, at: KeyState) -> _Choice:
        match self._verdict(key, at.newest):
            case Ok(choice):
                return choice
            case Err(_):
                return self._accepted(key, at)

    def _accepted(self, key: str, at: KeyState) -> _Choice:
        if at.accepted is None or at.accepted.revision == at.newest.revision:
            return ABSENT
        return self._verdict(key, at.accepted).unwrap_or(ABSENT)

    def _fall_back(self, key: str, at: KeyState, choice: _Choice) -> _Choice:
        if choice.revision == at.newest.revision:
            return self._accepted(key, at)
        return ABSENT

    def _evict_verdicts(self, items: ConfigItems) -> None:
        if len(self._read) <= 2 * len(items.keys):
            return
        held = {
            (key, version.revision)
            for key, at in items.keys.items()
            for version in (at.newest, at.accepted)
            if version is not None
        }
        self._read = {at: read for at, read in self._read.items() if at in held}


def _changes_to_revert(
    choices: Mapping[str, _Choice], items: ConfigItems
) -> dict[str, Problem]:
    """Return the changes to revert next, by key; only deletions if there are any.

    Deletions are reverted first because restoring the deleted keys may resolve
    all other dangling references.
    """
    deletions: dict[str, Problem] = {}
    holders: dict[str, Problem] = {}
    for dangling in sorted(_danglings(choices), key=lambda one: one.holder):
        if _is_deletion_to_revert(dangling, choices, items):
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


def _is_deletion_to_revert(
    dangling: _DanglingReference, choices: Mapping[str, _Choice], items: ConfigItems
) -> bool:
    named = choices.get(dangling.named)
    if named is None or named.revision <= choices[dangling.holder].revision:
        return False
    accepted = items.keys[dangling.named].accepted
    return accepted is not None and accepted.revision < named.revision


def _danglings(choices: Mapping[str, _Choice]) -> Iterator[_DanglingReference]:
    for holder, choice in choices.items():
        for named in choice.references:
            if named not in choices or choices[named].value is None:
                yield _DanglingReference(holder=holder, named=named)


def _catalogue(
    choices: Mapping[str, _Choice], *, revision: int, last: Catalogue | None = None
) -> Catalogue:
    """Return `last`, or an empty catalogue, updated by `choices` to `revision`."""
    last = last or Catalogue()
    tables: dict[str, dict[str, Any]] = {
        "entry": dict(last.entries),
        "pipeline": dict(last.pipelines),
        "service": dict(last.services),
        "account": dict(last.accounts),
    }
    entry_revisions = dict(last.entry_revisions)
    for key, choice in choices.items():
        kind, _, name = key.partition("/")
        if choice.value is not None:
            tables[kind][name] = choice.value
        elif kind in tables:
            tables[kind].pop(name, None)
        if kind == "entry":
            entry_revisions[name] = choice.revision
    return Catalogue(
        revision=revision,
        entries=tables["entry"],
        pipelines=tables["pipeline"],
        services=tables["service"],
        accounts=tables["account"],
        entry_revisions={
            name: at for name, at in entry_revisions.items() if name in tables["entry"]
        },
    )


def build_catalogue(
    values: Mapping[str, bytes], *, revision: int = 1
) -> Result[Catalogue, list[Problem]]:
    """Return the catalogue of `values`, JSON by key, or all problems found.

    For a catalogue that is not published yet: nothing is held back, and a single
    problem rejects the whole catalogue.
    """
    items = ConfigItems()
    versions = {
        key: Version(revision=revision, value=value) for key, value in values.items()
    }
    items.merge(
        (PublishedItem(key=key, version=at) for key, at in versions.items()),
        revision=revision,
    )
    selection = CatalogueBuilder().activate(items)
    problems = [problem for held in selection.held_back for problem in held.problems]
    return Err(problems) if problems else Ok(selection.catalogue)
