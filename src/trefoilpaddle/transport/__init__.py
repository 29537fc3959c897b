"""Connections: framed links between processes."""
