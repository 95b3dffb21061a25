"""The SMPP 3.4 front end: an SMPP server for contractors, and an SMPP client of gateways."""
