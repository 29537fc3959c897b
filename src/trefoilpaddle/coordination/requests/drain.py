"""A sidecar's planned stop: refuse, finish, hand over, count what was cut off."""

import asyncio
import contextlib

from ...protocol.reasons import Reason
from ..targets.dispatcher import Dispatcher
from .attempts import AttemptTable


async def drain(*, table: AttemptTable, dispatcher: Dispatcher, drain_s: float) -> int:
    """Wait until no attempt is open or held; return how many were cut off.

    Work that waits is begun as long as it can end within `drain_s`, and else answered
    as not run, which cuts off nobody: its gateway can send it elsewhere. It is not
    given back at once, as this may be the only target of its service; gateways
    call back what another one has a place for.

    Parameters
    ----------
    table : AttemptTable
        All attempts.
    dispatcher : Dispatcher
        Starts them; is told to refuse new ones.
    drain_s : float
        Longest wait.
    """
    dispatcher.leave(within_s=drain_s)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(drain_s):
            await table.wait_empty()
    dispatcher.give_back_waiting(Reason.LEAVING)
    return len(table)
