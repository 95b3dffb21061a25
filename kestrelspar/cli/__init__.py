"""Command line of the courier: one module for each command of ``kestrelspar``."""
