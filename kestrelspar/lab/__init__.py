"""Fault injection with real processes, a modelled network, checkers and reports. Never imported by the server."""
