"""Loopback ports that stay free while their process is restarted.

The ports lie below the range that the kernel hands to outgoing connections,
so that none of those takes the port of a daemon that is down for a moment.
"""

import os
import socket

from fuchsiatrestle import errors

__all__ = ('free_ports',)

LOWEST = 12000
HIGHEST = 32000
STRIDE = 61


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def free_ports(count, taken=()):
    """Returns ``count`` distinct ports; processes begin at other places.

    Args:
        count: how many.
        taken: ports that are planned for something else.

    Raises:
        errors.Error: there are not as many free ports.
    """
    span = HIGHEST - LOWEST
    start = os.getpid() * STRIDE % span
    found = []
    for step in range(span):
        port = LOWEST + (start + step) % span
        if port not in taken and _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise errors.Error(f'no {count} free ports', step='free_ports')
