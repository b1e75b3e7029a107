"""Stand-ins for the systems around the router: model engines, plain services, the platform."""
