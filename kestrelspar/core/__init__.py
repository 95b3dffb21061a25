"""Protocol-independent core: the message life cycle and the transport map."""
