"""Connections to endpoints through a peer, for an instance that lost its own path to them."""
