"""Decisions of gateways that call targets directly, without sidecars."""
