"""State of one process, kept in memory only."""
