"""Reads and checks all configuration, and fills in its defaults."""
