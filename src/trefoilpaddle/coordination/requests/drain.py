"""A sidecar's planned stop: refuses new work, finishes, counts the interrupted."""

import asyncio
import contextlib

from ...protocol.reasons import Reason
from ..targets.dispatcher import Dispatcher
from .attempts import AttemptTable


async def drain(*, table: AttemptTable, dispatcher: Dispatcher, drain_s: float) -> int:
    """Wait until no attempt is open or held; return how many were interrupted.

    Queued work is started as long as it can end within `drain_s`. Other queued work
    is answered as not run, which interrupts no request: its gateway can send it to
    another target. Queued work is not returned at once, as this may be the only
    target of its service; gateways recall the work that another target has a free
    slot for.

    Parameters
    ----------
    table : AttemptTable
        All attempts of the sidecar.
    dispatcher : Dispatcher
        Starts queued attempts; refuses new ones from now on.
    drain_s : float
        Longest wait, in seconds.
    """
    dispatcher.begin_leaving(within_s=drain_s)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(drain_s):
            await table.wait_empty()
    dispatcher.reject_queued(Reason.LEAVING)
    return len(table)
