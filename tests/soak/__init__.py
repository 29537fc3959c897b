"""Randomised soak tests: real gateways under injected faults, guarantees checked."""
