"""Scenarios that test the guarantees with complete entry instances in virtual time."""
