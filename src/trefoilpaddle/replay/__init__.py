"""Replay of recorded traces: baseline against product, measured and audited."""
