"""A link for a few questions to a process that may not be there."""

import contextlib
from collections.abc import AsyncIterator

from ...protocol.frames import Message
from ...transport.connection import Address
from ...transport.link import Link
from ..own_process import OwnProcess


def _ignore_message(link: Link, message: Message) -> None:
    """Drop what a probed process says unasked."""


@contextlib.asynccontextmanager
async def probe_link(process: OwnProcess, address: Address) -> AsyncIterator[Link]:
    """Yield a link to `address` that is closed when the context ends.

    Kept apart from the links of `Peers`, which redial for ever: a host list
    that names dead hosts would leave one such link for each.
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
