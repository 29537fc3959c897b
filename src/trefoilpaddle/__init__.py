"""Serve multi-stage model pipelines, driven by a published catalogue."""
