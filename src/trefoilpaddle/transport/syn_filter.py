"""Keeps new connections away from a listening socket that is about to close."""

import socket
import struct
import sys
from typing import Final

from absl import logging

SO_ATTACH_FILTER: Final = 26
"""Socket option of Linux; the ``socket`` module does not define it."""

LOAD_BYTE: Final = 0x30
AND: Final = 0x54
JUMP_IF_EQUAL: Final = 0x15
RETURN: Final = 0x06
"""Operations of the classic Berkeley packet filter."""

FLAGS_OFFSET: Final = 13
"""Offset of the flags in a TCP header."""

SYN: Final = 0x02
SYN_OR_ACK: Final = 0x12
DROP: Final = 0
KEEP_ALL_BYTES: Final = 0xFFFFFFFF

DROP_SYN: Final = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_OR_ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, KEEP_ALL_BYTES),
)
"""Drops the first packet of a handshake and accepts all others.

The last packet of a handshake passes the filter of the listening socket too; handshakes
that have begun must complete.
"""


def drop_new_connections(listening: socket.socket) -> bool:
    """Let the kernel ignore new connections to `listening`; needs no privilege.

    A caller whose first packet is dropped sends it again a second later and is refused
    then, if the socket is closed. It has sent nothing else.

    Parameters
    ----------
    listening : socket.socket
        A listening TCP socket.

    Returns
    -------
    bool
        False if the system has no such filter; the socket is unchanged then.
    """
    if sys.platform != "linux":
        return False
    # The import takes time that only a stop needs.
    import ctypes

    code = b"".join(struct.pack("HBBI", *each) for each in DROP_SYN)
    instructions = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HP", len(DROP_SYN), ctypes.addressof(instructions))
    try:
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        logging.info("the listening socket takes no packet filter: %s", error)
        return False
    return True
