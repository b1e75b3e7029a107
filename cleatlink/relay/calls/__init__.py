"""Execution of calls: plain calls and streams with their prefill, reservations and queues."""
