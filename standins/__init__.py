"""Small stand-ins for what the router meets: engines, a plain service, the platform."""
