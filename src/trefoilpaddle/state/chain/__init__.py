"""State of gateways that call targets themselves: routes, workers, queues."""
