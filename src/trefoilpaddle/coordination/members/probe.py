"""Temporary links to processes that may not exist any more."""

import contextlib
from collections.abc import AsyncIterator

from ...protocol.frames import Message
from ...transport.connection import Address
from ...transport.link import Link
from ..own_process import OwnProcess


def _ignore_message(link: Link, message: Message) -> None:
    """Drop a message of the probed process that responds to no request."""


@contextlib.asynccontextmanager
async def probe_link(process: OwnProcess, address: Address) -> AsyncIterator[Link]:
    """Yield a link to `address` that is closed when the context ends.

    It is not one of the links of `Peers`, which redial without end: a host list
    that contains dead hosts would leave one such link for each.
    """
    link = Link(
        address=address,
        own_hello=process.hello,
        own_heartbeat=process.heartbeat,
        on_message=_ignore_message,
    )
    link.start()
    try:
        yield link
    finally:
        await link.stop()
