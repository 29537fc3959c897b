"""The command line interface."""
