"""``trefoilpaddle explain``: shows the timeline of a request."""

import sys
from typing import Final
from urllib.parse import quote

from pydantic import ValidationError
from result import Err, Ok

from ..state import timeline_text
from ..state.timeline import TIMELINE
from .operators_http import get

EXIT_UNKNOWN: Final = 1
EXIT_NO_ANSWER: Final = 2


def explain(request_id: str, *, at: str, as_json: bool) -> int:
    """Print the timeline of a request; return the exit code.

    `at` is the URL of the operators' port of any process.
    """
    match get(at, f"/v1/explain/{quote(request_id, safe='')}"):
        case Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_NO_ANSWER
        case Ok(reply):
            return _show(reply.body, as_json=as_json)


def _show(body: bytes, *, as_json: bool) -> int:
    try:
        timeline = TIMELINE.validate_json(body)
    except ValidationError:
        print("the process answered something that is no timeline", file=sys.stderr)
        return EXIT_NO_ANSWER
    if as_json:
        print(body.decode())
    else:
        for line in timeline_text.lines(timeline):
            print(line)
    return 0 if timeline.steps else EXIT_UNKNOWN
