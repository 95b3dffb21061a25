"""The thin platform front: HTTP/1.1 on the sender side, to next hops, and to discovery."""
