"""Free loopback ports for tests that start listeners."""

import socket

__all__ = ('free_ports',)


def free_ports(count):
    """Returns ``count`` distinct TCP ports that were free a moment ago."""
    holders = [socket.socket() for _ in range(count)]
    try:
        for holder in holders:
            holder.bind(('127.0.0.1', 0))
        return [holder.getsockname()[1] for holder in holders]
    finally:
        for holder in holders:
            holder.close()
