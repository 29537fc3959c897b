"""Faults in settings and catalogues, each with its key and what to do next."""

import dataclasses
import difflib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from pydantic import ValidationError


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One fault of an input file or a published value.

    Parameters
    ----------
    source : str
        File or published key.
    key : str
        Dotted path of the faulty key; empty for the whole.
    value : str
        What stands there, shortened.
    detail : str
        What is wrong.
    accepted : str
        What would be accepted; the nearest known key for an unknown one.
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


MAX_VALUE_CHARS = 60


def problems_of(error: ValidationError, *, source: str, cls: type) -> Iterator[Problem]:
    """Yield each fault that pydantic found while reading a `cls`."""
    for fault in error.errors(include_url=False):
        path = [part for part in fault["loc"] if part != "args"]
        key = ".".join(str(part) for part in path)
        value = "" if fault["type"] == "missing" else _short(fault["input"])
        yield Problem(
            source=source,
            key=key,
            value=value,
            detail=fault["msg"],
            accepted=_accepted(fault["type"], fault.get("ctx", {}), path, cls),
        )


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
    if isinstance(context, dict) and "pattern" in context:
        return f"text that matches {context['pattern']}"
    return ""


def _known_keys(cls: type, path: Sequence[object]) -> Iterator[str]:
    for part in path:
        fields = {field.name: field for field in dataclasses.fields(cls)}
        field = fields.get(str(part))
        if field is None or not dataclasses.is_dataclass(field.type):
            return
        cls = field.type  # type: ignore[assignment]
    for field in dataclasses.fields(cls):
        yield field.name
