"""Bounds, periods and the protocol version that all processes share."""

from typing import Final

PROTOCOL_VERSION: Final = 1
"""Version of the protocol; two processes connect only if theirs are equal."""

MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
"""Largest accepted frame, including its header; fits a configuration value."""

MAX_ITEMS: Final = 20_000
"""Most items in one list of a frame.

A decoded item takes far more memory than its bytes in the frame.
"""

CHUNK_BYTES: Final = 64 * 1024
"""Largest part of a body or an answer in one frame."""

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a stage that sidecars keep and gateways accept."""

INLINE_BODY_BYTES: Final = 64 * 1024
"""Bodies up to this size are sent inside the start frame."""

ATTEMPT_ID_BYTES: Final = 16
"""Length of the random id of an attempt."""

UNRESPONSIVE_AFTER_S: Final = 2.0
"""Seconds without data after which a peer gets no new work."""

HEARTBEAT_S: Final = 0.5
"""Shortest period in seconds of the heartbeats on a connection."""

NS_PER_S: Final = 1_000_000_000
"""Nanoseconds in a second."""

MS_PER_S: Final = 1000
"""Milliseconds in a second."""
