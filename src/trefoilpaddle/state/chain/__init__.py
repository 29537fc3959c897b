"""State of gateways that call workers directly: routes, workers and queues."""
