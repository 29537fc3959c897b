"""Replays traces under a baseline and the product, and measures and audits both."""
