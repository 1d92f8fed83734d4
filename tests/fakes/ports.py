"""Selection of free loopback ports for tests that start listeners."""

import socket

__all__ = ('find_free_ports',)


def find_free_ports(count):
    """Returns ``count`` distinct TCP ports that are free.

    All of them are bound at the same time, so that no port is returned twice,
    and closed on return.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
