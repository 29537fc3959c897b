"""Ports for processes that a test or a demo starts."""

import random
import socket
from typing import Final

IP: Final = "127.0.0.1"

PORTS: Final = range(20_000, 32_000)
"""Below those that the kernel gives to outgoing connections, from 32,768 on.

A port that was probed is bound some tenths of a second later. Among the kernel's
own, any connection of any process may take it meanwhile, and the process that was
given it ends with "address already in use".
"""

BLOCK: Final = 40
"""Ports that a process takes at a time, which makes 300 blocks.

Three gateways of a soak need twelve ports, a run of all tests some hundreds.
"""

_LEFT: Final[list[int]] = []
"""Ports of this process's blocks that it has not given yet."""

_HOLDS: Final[list[socket.socket]] = []
"""Bound to the first port of each block of this process, and open until its end."""

_RANDOM: Final = random.SystemRandom()
"""Not seeded by tests: two that run side by side must not try the same blocks."""


def free_port() -> int:
    """Return a port that nobody listens on now and that nobody else is given.

    Guards against two processes that run side by side and are given the same port,
    which shows as "address already in use" in whichever binds it later: at its
    first start, or after a stop, when its port lay free for seconds. Each process
    gives ports of its own blocks only, each of them once, and the kernel lets one
    process alone have the first port of a block.

    Raises
    ------
    RuntimeError
        If other processes have all blocks.
    """
    while True:
        if not _LEFT:
            _LEFT.extend(_take_block())
        port = _LEFT.pop()
        probe = _bound(port)
        if probe is not None:
            probe.close()
            return port


def _take_block() -> list[int]:
    """Take a block that no process has; return its ports but for the first."""
    for first in _RANDOM.sample(PORTS[::BLOCK], len(PORTS[::BLOCK])):
        hold = _bound(first)
        if hold is not None:
            _HOLDS.append(hold)
            ports = range(first + 1, min(first + BLOCK, PORTS.stop))
            return _RANDOM.sample(ports, len(ports))
    raise RuntimeError(
        f"other processes hold all blocks of ports from {PORTS.start} to"
        f" {PORTS.stop}; end some of them"
    )


def _bound(port: int) -> socket.socket | None:
    """Return a socket bound to `port`, or None if another one has it."""
    bound = socket.socket()
    try:
        bound.bind((IP, port))
    except OSError:
        bound.close()
        return None
    return bound
