"""Decision module of a courier that delivers messages to many destinations."""

from snowlock.control import Controller

__all__ = ["Controller"]
