"""Stand-in servers for external systems, for tests, the demo and manual trials."""
