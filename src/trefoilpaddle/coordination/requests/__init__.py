"""Requests at a gateway: their stages, the attempts of each stage, the answers."""
