"""The demo: the whole system on loopback as separate processes, and its check."""
