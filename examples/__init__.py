"""Examples: two whole configurations and a program that embeds the library."""
