"""Request keys: which gateway runs a key, and what became of it."""
