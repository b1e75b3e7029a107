"""Benchmarks: JSON out, seeded."""
