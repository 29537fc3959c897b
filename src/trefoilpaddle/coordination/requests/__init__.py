"""A request at a gateway: its stages, the attempts of each, their answers."""
