"""Bounds and version numbers that every process of the system shares."""

from typing import Final

PROTOCOL_VERSION: Final = 1
"""Version of the frames; two processes talk only when theirs are equal."""

MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
"""Largest frame accepted, header included; holds a configuration value."""

MAX_ITEMS: Final = 20_000
"""Most items in one list of a frame; each costs far more memory than bytes."""

CHUNK_BYTES: Final = 64 * 1024
"""Largest piece of a body or an answer sent in one frame."""

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a stage; a sidecar holds and a gateway takes no larger one."""

INLINE_BODY_BYTES: Final = 64 * 1024
"""Bodies up to this size travel inside the start frame."""

ATTEMPT_ID_BYTES: Final = 16
"""Length of an attempt's random id."""

UNRESPONSIVE_AFTER_S: Final = 2.0
"""A peer not heard from for this long gets no new work."""

HEARTBEAT_S: Final = 0.5
"""Shortest time between heartbeats on a connection."""

NS_PER_S: Final = 1_000_000_000
"""Nanoseconds in a second."""

MS_PER_S: Final = 1000
"""Milliseconds in a second."""
