"""Randomized soak tests: instances run under injected faults and are checked from outside."""
