"""The relay: serves hosts and paths from route tables, in strict HTTP/1.1."""
