"""Problems in settings and catalogues, each with its key and what is accepted."""

import dataclasses
import difflib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from pydantic import ValidationError

Location = tuple[int | str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One problem of an input file or a published value.

    Parameters
    ----------
    source : str
        File or published key.
    key : str
        Dotted path of the invalid key; empty if the problem concerns the whole
        source.
    value : str
        The invalid value, shortened.
    detail : str
        Description of the problem.
    accepted : str
        What would be accepted; for an unknown key, the most similar known key.
    """

    source: str
    key: str
    value: str
    detail: str
    accepted: str

    def __str__(self) -> str:
        where = f"{self.source}: {self.key}" if self.key else self.source
        value = f" = {self.value}" if self.value else ""
        accepted = f"; accepted: {self.accepted}" if self.accepted else ""
        return f"{where}{value}: {self.detail}{accepted}"


MAX_VALUE_CHARS: Final = 60
DETAILS: Final = {
    "missing": "is missing",
    "unexpected_keyword_argument": "is no known key",
    "extra_forbidden": "is no known key",
    "string_pattern_mismatch": "does not have the form asked for",
    "enum": "is not among the choices",
    "literal_error": "is not among the choices",
    "greater_than": "is out of bounds",
    "greater_than_equal": "is out of bounds",
    "less_than_equal": "is out of bounds",
    "string_type": "is no text",
    "int_type": "is no whole number",
    "int_parsing": "is no whole number",
    "int_from_float": "is no whole number",
    "float_type": "is no number",
    "float_parsing": "is no number",
    "bool_type": "is neither true nor false",
    "bool_parsing": "is neither true nor false",
    "tuple_type": "is no list",
    "too_short": "has too few items",
    "too_long": "has too many items",
    "dataclass_type": "is no table",
}
"""Description of each kind of error; independent of the version of pydantic."""
BOUNDS: Final = (("ge", "at least"), ("gt", "more than"), ("le", "at most"))
SECRETS: Final = frozenset({"token", "token_sha256"})
"""Keys whose values are never shown."""


def problems_of(error: ValidationError, *, source: str, cls: type) -> Iterator[Problem]:
    """Yield a problem for each error that pydantic found while reading a `cls`."""
    faults = error.errors(include_url=False)
    paths = [fault["loc"] for fault in faults]
    for fault in faults:
        if fault["type"] == "too_short" and _has_inner(fault["loc"], paths):
            continue  # reported only because invalid items are not counted
        path = [part for part in fault["loc"] if part != "args"]
        key = ".".join(str(part) for part in path)
        is_shown = fault["type"] != "missing" and not _is_secret(key)
        value = _short(fault["input"]) if is_shown else ""
        yield Problem(
            source=source,
            key=key,
            value=value,
            detail=DETAILS.get(fault["type"], fault["msg"]),
            accepted=_accepted(fault["type"], fault.get("ctx", {}), path, cls),
        )


def _has_inner(outer: Location, paths: Sequence[Location]) -> bool:
    return any(path[: len(outer)] == outer and path != outer for path in paths)


def _is_secret(key: str) -> bool:
    return key.rpartition(".")[2] in SECRETS


def _short(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[: MAX_VALUE_CHARS - 1] + "…"


def _accepted(kind: str, context: object, path: Sequence[object], cls: type) -> str:
    if kind in {"unexpected_keyword_argument", "extra_forbidden"}:
        known = list(_known_keys(cls, path[:-1]))
        near = difflib.get_close_matches(str(path[-1]), known, n=1)
        return near[0] if near else ", ".join(known)
    if not isinstance(context, dict):
        return ""
    if "accepted" in context:
        return str(context["accepted"])
    if "pattern" in context:
        return f"text that matches {context['pattern']}"
    if "expected" in context:
        return f"one of {context['expected']}"
    bounds = [f"{words} {context[name]}" for name, words in BOUNDS if name in context]
    return " and ".join(bounds)


def _known_keys(cls: type, path: Sequence[object]) -> Iterator[str]:
    for part in path:
        fields = {field.name: field for field in dataclasses.fields(cls)}
        field = fields.get(str(part))
        if field is None or not dataclasses.is_dataclass(field.type):
            return
        cls = field.type  # type: ignore[assignment]
    for field in dataclasses.fields(cls):
        yield field.name
