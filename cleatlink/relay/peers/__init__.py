"""Messages between instances: heartbeats, work, limits, endpoint failures and configuration."""
