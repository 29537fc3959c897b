"""Placement of models: which models a target should hold, and orders to load them."""
