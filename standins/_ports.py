"""Finds loopback ports that stay free while their process is restarted.

The ports lie below the ephemeral range of the kernel, so that no outgoing
connection takes the port of a daemon that is down for a moment.
"""

import os
import socket

from fuchsiatrestle import errors

__all__ = ('SLOT_VARIABLE', 'find_free_ports')

LOWEST_PORT = 12000
HIGHEST_PORT = 32000
# Distance between the ports at which processes with consecutive ids begin
# their search.
PID_STRIDE_PORTS = 61
# Environment variable with the number of the port slot, a part of the range,
# to use.  The test runner sets it, so that modules that run at the same time
# use disjoint ports.
SLOT_VARIABLE = 'FUCHSIATRESTLE_PORT_SLOT'
PORTS_PER_SLOT = 4000


def _is_port_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            # All addresses, as the port may be taken on any loopback address.
            probe.bind(('', port))
        except OSError:
            return False
    return True


def _read_port_range():
    """Returns the lowest port to use and the number of ports from there."""
    slot = os.environ.get(SLOT_VARIABLE)
    if slot is None:
        return LOWEST_PORT, HIGHEST_PORT - LOWEST_PORT
    return LOWEST_PORT + int(slot) * PORTS_PER_SLOT, PORTS_PER_SLOT


def find_free_ports(count, reserved_ports=()):
    """Returns distinct free ports.

    The search begins at a port that depends on the process id, so that
    concurrent processes rarely choose the same ports.  The ports are not
    bound, so another process can still take one.

    Args:
        count: number of ports.
        reserved_ports: ports to skip, such as those assigned but not yet
            bound.

    Raises:
        errors.Error: fewer than ``count`` ports are free.
    """
    lowest_port, port_count = _read_port_range()
    first_offset = os.getpid() * PID_STRIDE_PORTS % port_count
    ports = []
    for offset in range(port_count):
        port = lowest_port + (first_offset + offset) % port_count
        if port not in reserved_ports and _is_port_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise errors.Error(
        f'fewer than {count} ports are free', step='find_free_ports'
    )
