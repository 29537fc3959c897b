"""Calls at a target's sidecar, and the stages and requests that they serve."""
