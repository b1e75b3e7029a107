"""Follows the configuration service: an interface, and who keeps the records."""
