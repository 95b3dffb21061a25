"""Conversion of nginx configuration to a transport map."""
