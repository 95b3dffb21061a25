"""kestrelspar: a courier that delivers messages to member systems, on real sockets."""
