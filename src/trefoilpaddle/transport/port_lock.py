"""A lock on a target: a listening port that one process holds at a time."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from typing import Final

from absl import logging

from .connection import Address

RETRY_S: Final = 0.1
LOG_EVERY_S: Final = 5.0


class PortLockError(Exception):
    """The lock port was still in use at the end of the wait."""


@contextlib.asynccontextmanager
async def held_port(address: Address, *, wait_s: float) -> AsyncIterator[None]:
    """Hold the lock port at `address` while the context is open.

    Guards against two sidecars of one target: a paused sidecar that resumes next to
    its successor would start work a second time. The kernel frees the port only
    when the process that holds it exits, so a paused holder keeps the port and its
    successor cannot start.

    Parameters
    ----------
    address : Address
        The port, on the target's host.
    wait_s : float
        Longest time in seconds to wait for a previous holder to exit.

    Raises
    ------
    PortLockError
        If the port is still in use after `wait_s`.
    """
    with await _bind(address, wait_s=wait_s):
        yield


async def _bind(address: Address, *, wait_s: float) -> socket.socket:
    deadline_s = time.monotonic() + wait_s
    log_s = 0.0
    while True:
        try:
            return _listen(address)
        except OSError as error:
            now_s = time.monotonic()
            if now_s >= deadline_s:
                raise PortLockError(
                    f"lock port {address} is in use ({error.strerror}): another "
                    "sidecar of this target runs or is paused; end it, or correct "
                    "target.lock_port"
                ) from error
            if now_s >= log_s:
                logging.warning("waiting for lock port %s, which is in use", address)
                log_s = now_s + LOG_EVERY_S
        await asyncio.sleep(RETRY_S)


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    lock_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        # SO_REUSEADDR and SO_REUSEPORT stay off: on some systems, either allows a
        # second holder.
        lock_socket.bind((address.ip, address.port))
        lock_socket.listen(1)
    except OSError:
        lock_socket.close()
        raise
    return lock_socket
