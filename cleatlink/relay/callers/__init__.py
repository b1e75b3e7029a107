"""HTTP servers of an instance: callers' requests, and pages for platform, peers and metrics."""
