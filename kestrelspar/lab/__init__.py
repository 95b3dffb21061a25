"""Fault injection into real processes and a simulated network, checkers and reports. Never imported by the server."""
