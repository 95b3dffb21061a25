"""Runtime services of all other packages: event loop, buffers, TLS, logs, signals."""
