"""The platform's HTTP/1.1 interface: the sender side, next hops, notices and discovery."""
