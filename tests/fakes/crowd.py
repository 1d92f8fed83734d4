"""Many connections of clients that break off, linger or do not read."""

import os
import selectors
import socket
import time

__all__ = (
    'Crowd',
    'count_descriptors',
    'read_memory_kb',
    'reset_memory_peak',
)

SEND_TIMEOUT_S = 10.0
RECEIVE_BUFFER_BYTES = 4096
PIECE_PAUSE_S = 0.2


class Crowd:
    """Connections to one address, none of which reads what it is sent.

    Args:
        address: ``settings.Address`` of the listener.
        size: number of connections.
        source_count: number of loopback addresses that they come from.
    """

    def __init__(self, address, size, source_count=1):
        self._socks = []
        for number in range(size):
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.bind((f'127.0.10.{1 + number % source_count}', 0))
            sock.settimeout(SEND_TIMEOUT_S)
            self._socks.append(sock)
            try:
                sock.connect((address.host, address.port))
            except OSError:
                continue  # Refused, which is allowed.

    def send(self, data, timeout_s=SEND_TIMEOUT_S):
        """Sends bytes on all connections at the same time.

        Args:
            data: the bytes.
            timeout_s: time after which bytes that were not accepted are left
                unsent, in seconds.
        """
        selector = selectors.DefaultSelector()
        for sock in self._socks:
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_WRITE, memoryview(data))
        end_s = time.monotonic() + timeout_s
        while selector.get_map() and time.monotonic() < end_s:
            for key, _ in selector.select(0.1):
                unsent = _send_some(key.fileobj, key.data)
                if unsent:
                    selector.modify(key.fileobj, key.events, unsent)
                else:
                    selector.unregister(key.fileobj)
        selector.close()

    def send_slowly(self, data, piece_bytes, piece_count):
        """Sends pieces of ``data`` on all connections, with pauses.

        Args:
            data: the bytes, sent from their beginning.
            piece_bytes: size of a piece.
            piece_count: number of pieces.
        """
        for number in range(piece_count):
            start = number * piece_bytes
            self.send(data[start : start + piece_bytes], PIECE_PAUSE_S)
            time.sleep(PIECE_PAUSE_S)

    def close(self):
        """Closes all connections."""
        for sock in self._socks:
            sock.close()


def _send_some(sock, unsent):
    """Returns what is still to be sent; nothing on a closed connection."""
    try:
        return unsent[sock.send(unsent) :]
    except BlockingIOError:
        return unsent
    except OSError:
        return None


def read_memory_kb(pid, field):
    """Returns a field of ``/proc/PID/status`` such as ``VmHWM``, in kB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        for line in status:
            if line.startswith(f'{field}:'):
                return int(line.split()[1])
    raise KeyError(field)


def reset_memory_peak(pid):
    """Makes ``VmHWM`` of a process start again at its present memory."""
    with open(f'/proc/{pid}/clear_refs', 'w', encoding='ascii') as refs:
        refs.write('5')


def count_descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))
