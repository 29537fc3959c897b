"""A lock on a target: one listening port, held for the life of a process."""

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
    """The port of the lock stayed in use for longer than the wait allowed."""


@contextlib.asynccontextmanager
async def held_port(address: Address, *, wait_s: float) -> AsyncIterator[None]:
    """Hold the port at `address` while the context is open.

    Guards against two sidecars of one target: an old one that was paused and
    wakes up beside its successor would start work a second time. The kernel
    frees the port when its holder dies and at no other time, so a paused
    holder keeps it and its successor cannot begin.

    Parameters
    ----------
    address : Address
        The port, on the target's host.
    wait_s : float
        Seconds to wait for a former holder to end.

    Raises
    ------
    PortLockError
        If the port is still in use after `wait_s`.
    """
    with await _bind(address, wait_s=wait_s):
        yield


async def _bind(address: Address, *, wait_s: float) -> socket.socket:
    give_up_s = time.monotonic() + wait_s
    log_s = 0.0
    while True:
        try:
            return _listen(address)
        except OSError as error:
            now_s = time.monotonic()
            if now_s >= give_up_s:
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
    held = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Without SO_REUSEADDR and SO_REUSEPORT: either would let a second
        # holder in on some systems.
        held.bind((address.ip, address.port))
        held.listen(1)
    except OSError:
        held.close()
        raise
    return held
