"""Limits of entries, leased from their homes."""
