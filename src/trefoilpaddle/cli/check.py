"""``trefoilpaddle check``: finds faults in settings and catalogues before use."""

import sys
from pathlib import Path
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..state.catalogue import Catalogue
from ..state.catalogue_diff import Difference, differences
from ..state.check_files import CheckResult, check_path
from .operators_http import get

EXIT_FAULTS: Final = 1
EXIT_NO_ANSWER: Final = 2


def check(path: str, *, against: str, as_json: bool) -> int:
    """Print all faults of `path`; return the exit code.

    Parameters
    ----------
    path : str
        A settings file, a catalogue file or a folder.
    against : str
        URL of the operators' port of a process whose active catalogue is compared;
        empty for no comparison.
    as_json : bool
        True to print JSON.
    """
    checked = check_path(Path(path))
    found: list[Difference] = []
    if against and checked.catalogue is not None:
        match _active_catalogue(against):
            case Err(problem):
                print(problem, file=sys.stderr)
                return EXIT_NO_ANSWER
            case Ok(active):
                found += differences(active=active, published=checked.catalogue)
    if as_json:
        print(_as_json(checked, found))
    else:
        _print(checked, found, is_compared=bool(against))
    return EXIT_FAULTS if checked.problems else 0


def _print(checked: CheckResult, found: list[Difference], *, is_compared: bool) -> None:
    for problem in checked.problems:
        print(f"fault: {problem}")
    for warning in checked.warnings:
        print(f"warning: {warning}")
    for difference in found:
        print(f"would {difference}")
    if is_compared and not found and checked.catalogue is not None:
        print("no difference to what is in force")
    for source in checked.skipped:
        print(f"skipped: {source}: neither settings nor catalogue")
    print(
        f"{len(checked.sources)} files read, {len(checked.problems)} faults,"
        f" {len(checked.warnings)} warnings"
    )


def _as_json(checked: CheckResult, found: list[Difference]) -> str:
    return orjson.dumps(
        {
            "sources": checked.sources,
            "skipped": checked.skipped,
            "faults": checked.problems,
            "warnings": checked.warnings,
            "differences": found,
        }
    ).decode()


def _active_catalogue(at: str) -> Result[Catalogue, str]:
    match get(at, "/v1/catalogue"):
        case Err(problem):
            return Err(problem)
        case Ok(reply):
            try:
                return Ok(TypeAdapter(Catalogue).validate_json(reply.body))
            except ValidationError:
                return Err(f"{at} answered something that is no catalogue")
