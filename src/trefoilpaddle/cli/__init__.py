"""The command line and its tools."""
