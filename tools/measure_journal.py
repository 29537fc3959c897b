"""Print the cost of one decision: record, index, log line, write to /dev/null.

Run it with ``python tools/measure_journal.py >/dev/null``; it prints the figures to
standard error.
"""

import asyncio
import sys
import time

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state import logs
from trefoilpaddle.state.journal import Decision, Event, Figure, Journal
from trefoilpaddle.state.settings import LogFormat, LogSettings

N_DECISIONS = 50_000


async def measure(settings: LogSettings) -> float:
    """Return the time of one decision in microseconds."""
    logs.set_up(
        format=settings.format, verbosity=settings.verbosity, process_id="h1-gateway"
    )
    journal = Journal(process_id="h1-gateway", n_records=20_000)
    begin_s = time.perf_counter()
    for index in range(N_DECISIONS):
        decision = Decision(
            event=Event.ROUTED,
            request_id=f"h1-gateway.1f.{index // 8:x}",
            entry="drafting",
            owner="bank-a",
            config_revision=7,
            stage="generate",
            peer="h9-sidecar",
            reason=Reason.NONE,
            figures=(
                Figure(name="predicted_s", value=0.25),
                Figure(name="slack_s", value=1.5),
            ),
        )
        journal.record(decision)
    journal.flush()
    return (time.perf_counter() - begin_s) / N_DECISIONS * 1e6


def main() -> None:
    for format in LogFormat:
        cost_us = asyncio.run(measure(LogSettings(format=format)))
        print(f"{format}: {cost_us:.1f} us a decision", file=sys.stderr)
    cost_us = asyncio.run(measure(LogSettings(verbosity="warning")))
    print(f"not logged, only kept: {cost_us:.1f} us a decision", file=sys.stderr)


if __name__ == "__main__":
    main()
