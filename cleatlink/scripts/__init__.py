"""The command-line interface."""
