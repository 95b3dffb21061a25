"""State shared between couriers: membership, budgets, counters and endpoint observations.

The protocol modules do no I/O; ``link`` and ``broker_link`` connect them to sockets, clock and log.
"""
