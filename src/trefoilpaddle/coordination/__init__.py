"""How processes act together: routing, retries, limits, membership."""
