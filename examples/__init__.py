"""Examples: two complete configurations and a program that uses cleatlink as a library."""
