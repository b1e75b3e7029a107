"""What instances tell each other: presence, work, limits, crashes and what is known."""
