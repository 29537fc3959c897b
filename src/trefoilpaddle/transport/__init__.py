"""Framed connections between processes, and HTTP to the platform and targets."""
