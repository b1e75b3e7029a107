"""From how many instances on they share their work among each other in place of all doing alike."""

__all__ = ["FEW_PEERS"]

# Up to so many other instances each is told everything at once and does everything itself: a
# datagram to each costs less than what an old view does.
FEW_PEERS = 16
