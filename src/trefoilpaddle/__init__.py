"""Serve multi-stage model pipelines, driven by a published catalogue."""

from typing import Final

__version__: Final = "0.1.0"
