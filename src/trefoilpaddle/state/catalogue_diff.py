"""Lists the differences between two catalogues, key by key."""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Final

from .catalogue import Catalogue, CatalogueValue

REDACTED: Final = "token_sha256"


@unique
class Change(StrEnum):
    """Effect that publishing would have on a key."""

    ADD = "add"
    CHANGE = "change"
    RETIRE = "retire"


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One key, or one field of a key, that differs.

    Parameters
    ----------
    change : Change
        Effect of publishing.
    key : str
        Published key; for a change, followed by a dot and the field's path.
    was, becomes : str
        Old and new value of the field; empty if a whole key is added or retired.
    """

    change: Change
    key: str
    was: str = ""
    becomes: str = ""

    def __str__(self) -> str:
        if self.change is Change.CHANGE:
            return f"{self.change} {self.key}: {self.was} -> {self.becomes}"
        return f"{self.change} {self.key}"


def differences(*, active: Catalogue, published: Catalogue) -> Iterator[Difference]:
    """Yield the changes if `published` replaced `active`."""
    was, becomes = _by_key(active), _by_key(published)
    for key in sorted(was.keys() | becomes.keys()):
        if key not in was:
            yield Difference(change=Change.ADD, key=key)
        elif key not in becomes:
            yield Difference(change=Change.RETIRE, key=key)
        else:
            yield from _field_differences(key, was[key], becomes[key])


def _by_key(catalogue: Catalogue) -> dict[str, CatalogueValue]:
    return {
        f"{kind}/{name}": value
        for kind, values in (
            ("account", catalogue.accounts),
            ("entry", catalogue.entries),
            ("pipeline", catalogue.pipelines),
            ("service", catalogue.services),
        )
        for name, value in values.items()
    }


def _field_differences(
    key: str, was: CatalogueValue, becomes: CatalogueValue
) -> Iterator[Difference]:
    old, new = dataclasses.asdict(was), dataclasses.asdict(becomes)
    for path, before, after in _leaves(old, new):
        shown = ("…", "another") if REDACTED in path else (str(before), str(after))
        yield Difference(
            change=Change.CHANGE, key=f"{key}.{path}", was=shown[0], becomes=shown[1]
        )


def _leaves(
    old: dict[str, Any], new: dict[str, Any], at: str = ""
) -> Iterator[tuple[str, object, object]]:
    for name in old:
        before, after = old[name], new[name]
        if isinstance(before, dict) and isinstance(after, dict):
            yield from _leaves(before, after, f"{at}{name}.")
        elif before != after:
            yield f"{at}{name}", before, after
