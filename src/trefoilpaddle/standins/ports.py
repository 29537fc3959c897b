"""Ports for processes that a test or a demo starts."""

import random
import socket
from typing import Final

IP: Final = "127.0.0.1"

PORTS: Final = range(20_000, 32_000)
"""Range below the ephemeral ports of the kernel, which start at 32,768.

A port that was probed is bound some tenths of a second later. In the ephemeral
range, an outgoing connection of any process may use it in the meantime, and the
process that should bind it exits with "address already in use".
"""

BLOCK: Final = 40
"""Ports in a block, which a process reserves at once; there are 300 blocks.

Three gateways of a soak test need twelve ports, a run of all tests some hundreds.
"""

_UNUSED: Final[list[int]] = []
"""Ports of this process's blocks that were not returned yet."""

_BLOCK_LOCKS: Final[list[socket.socket]] = []
"""Sockets bound to the first port of each block until this process exits."""

_RANDOM: Final = random.SystemRandom()
"""Not seeded by tests, as concurrent runs must not try the same blocks."""


def free_port() -> int:
    """Return a port that is free now and that no other process is given.

    Guards against two concurrent processes that are given the same port. The one
    that binds it later would fail with "address already in use": at its first
    start, or at a restart, as the port is free for seconds after a stop. Each
    process returns only ports of its own blocks, each of them once, and the kernel
    lets only one process bind the first port of a block.

    Raises
    ------
    RuntimeError
        If other processes have reserved all blocks.
    """
    while True:
        if not _UNUSED:
            _UNUSED.extend(_reserve_block())
        port = _UNUSED.pop()
        probe = _try_bind(port)
        if probe is not None:
            probe.close()
            return port


def _reserve_block() -> list[int]:
    """Reserve a free block and return its ports except the first one."""
    for first in _RANDOM.sample(PORTS[::BLOCK], len(PORTS[::BLOCK])):
        block_lock = _try_bind(first)
        if block_lock is not None:
            _BLOCK_LOCKS.append(block_lock)
            ports = range(first + 1, min(first + BLOCK, PORTS.stop))
            return _RANDOM.sample(ports, len(ports))
    raise RuntimeError(
        f"other processes have reserved all blocks of ports from {PORTS.start} to"
        f" {PORTS.stop}; stop some of them"
    )


def _try_bind(port: int) -> socket.socket | None:
    """Return a socket bound to `port`, or None if the port is in use."""
    bound = socket.socket()
    try:
        bound.bind((IP, port))
    except OSError:
        bound.close()
        return None
    return bound
