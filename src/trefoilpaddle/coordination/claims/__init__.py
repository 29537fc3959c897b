"""Request keys: which gateway runs the request of a key, and its outcome."""
