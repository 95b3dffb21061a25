"""The SMPP 3.4 front: contractors bind to it, and it binds to gateways."""
