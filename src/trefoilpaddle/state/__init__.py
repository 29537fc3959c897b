"""What one process knows and holds, in memory only."""
