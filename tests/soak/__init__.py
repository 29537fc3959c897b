"""Randomised soak: real gateways under faults from outside, promises checked."""
