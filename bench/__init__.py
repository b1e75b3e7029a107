"""Seeded benchmarks that print their results as text or JSON."""
