"""What the platform's store publishes, and how gateways read it and agree on it."""
