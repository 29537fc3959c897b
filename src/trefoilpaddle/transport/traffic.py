"""Counters of the traffic between this process and its peers."""

from dataclasses import dataclass
from typing import Final


@dataclass(slots=True, kw_only=True)
class Traffic:
    """Frames and bytes since the process started, without TCP headers."""

    n_frames_sent: int = 0
    sent_bytes: int = 0
    n_frames_received: int = 0
    received_bytes: int = 0


TRAFFIC: Final = Traffic()
"""The counters of this process, over all its connections."""
