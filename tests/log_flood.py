"""Log more request lines than the limit allows, then one that the process stopped.

Run it with ``python -m tests.log_flood FORMAT``.
"""

import asyncio
import sys
from typing import Final

from absl import logging

from trefoilpaddle.state import logs
from trefoilpaddle.state.journal import MAX_UNFLUSHED, Decision, Event, Journal
from trefoilpaddle.state.log_format import LogFormat

N_REQUESTS: Final = 400 * MAX_UNFLUSHED - 1
"""The next decision is flushed at once, together with lines of requests."""

PROBLEM: Final = "a problem"


async def main() -> None:
    logs.set_up(format=LogFormat(sys.argv[1]), verbosity="info", process_id="g0")
    journal = Journal(process_id="g0", n_records=N_REQUESTS)
    refused = Decision(event=Event.REQUEST_REFUSED, request_id="r1")
    for _ in range(N_REQUESTS):
        journal.record(refused)
    journal.record(Decision(event=Event.PROCESS_STOPPED, peer="g0"))
    logging.error(PROBLEM)
    for _ in range(N_REQUESTS):
        journal.record(refused)


if __name__ == "__main__":
    asyncio.run(main())
