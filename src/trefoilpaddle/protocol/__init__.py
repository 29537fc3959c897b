"""Messages between processes, their codec, and shared error types."""
