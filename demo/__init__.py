"""The demo: runs the complete system on loopback as separate processes and checks it."""
