"""Fleet size from which instances divide work among each other instead of each doing all of it."""

__all__ = ["MAX_DIRECT_PEERS"]

# Largest number of peers to which an instance sends every update directly and at once, and with
# which it does all work itself: a datagram to each peer costs less than decisions based on an
# outdated view.
MAX_DIRECT_PEERS = 16
