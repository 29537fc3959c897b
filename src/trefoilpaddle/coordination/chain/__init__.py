"""Decisions of gateways that call targets themselves, with no sidecars."""
