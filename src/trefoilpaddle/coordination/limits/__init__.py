"""Limits of entries, which gateways lease from the home processes."""
