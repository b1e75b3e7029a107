"""Thin commands over the library."""
