"""Budget of memory for heads, bodies and answers in progress.

One budget is shared by all connections of a process, so that clients that
send bodies of legal size, but many at once or never to their end, can not use
up the memory of the VM.

Nothing here has I/O or a clock.  A connection reserves memory before it keeps
what it has received.  A reservation that does not fit revokes others: first
those of clients that stopped sending or reading, then those of the requests
that began last.  Reservations of requests that are being handled are never
revoked, as these requests may have had an effect.
"""

__all__ = (
    'DEFAULT_BUDGET_BYTES',
    'HANDLING',
    'MemoryBudget',
    'RECEIVING',
    'Reservation',
    'SENDING',
    'STALL_S',
)

# What a reservation is for.
RECEIVING = 'receiving'
HANDLING = 'handling'
SENDING = 'sending'

# A process grows by up to 1.7 times its budget above the 37 MB when idle.
# That and the 24 MiB of a link queue fit into the smallest VM, of 200 MB.
DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024
# A client that sent or accepted nothing for so long counts as stopped.  A lost
# packet is sent again within a fraction of it.
STALL_S = 1.0


class Reservation:
    """What one connection holds of the budget.

    Args:
        revoke: function without arguments that ends the request of the
            connection, with a refusal if nothing of an answer was sent.

    Attributes:
        byte_count: reserved memory, in bytes.
        active_s: monotonic time in seconds at which the client last sent or
            accepted something.
        phase: ``RECEIVING`` a request, ``HANDLING`` it or ``SENDING`` its
            answer.
    """

    __slots__ = (
        '_revoke',
        'active_s',
        'byte_count',
        'phase',
        'sequence',
    )

    def __init__(self, revoke):
        self._revoke = revoke
        self.byte_count = 0
        self.active_s = 0.0
        self.phase = RECEIVING
        # Position of the request in the order in which requests began.
        self.sequence = 0

    def revoke(self):
        """Ends the request that the memory is reserved for."""
        self._revoke()


class MemoryBudget:
    """Memory that the connections of a process may use together.

    Args:
        max_bytes: size of the budget, in bytes.

    Attributes:
        max_bytes: size of the budget, in bytes.
        used_bytes: sum of all reservations, in bytes.
    """

    __slots__ = ('_last_sequence', '_reservations', 'max_bytes', 'used_bytes')

    def __init__(self, max_bytes=DEFAULT_BUDGET_BYTES):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._last_sequence = 0
        self._reservations = set()

    def resize(self, reservation, byte_count, now_s):
        """Changes a reservation; revokes others if it does not fit.

        Args:
            reservation: the ``Reservation``.
            byte_count: its new size in bytes; 0 ends it.
            now_s: monotonic time in seconds.

        Returns:
            False if it does not fit; it then keeps its size, and the caller
            has to refuse the request.
        """
        added_bytes = byte_count - reservation.byte_count
        if added_bytes > 0:
            if not reservation.byte_count:
                self._last_sequence += 1
                reservation.sequence = self._last_sequence
                self._reservations.add(reservation)
            if (
                self.used_bytes + added_bytes > self.max_bytes
                and not self._make_room(reservation, added_bytes, now_s)
            ):
                if not reservation.byte_count:
                    self._reservations.discard(reservation)
                return False
        elif not byte_count:
            self._reservations.discard(reservation)
        reservation.byte_count = byte_count
        self.used_bytes += added_bytes
        return True

    def _make_room(self, asking, added_bytes, now_s):
        """Revokes reservations until ``added_bytes`` fit.

        Returns:
            False if they do not fit without revoking what came earlier.
        """
        stalled = []
        later = []
        for reservation in self._reservations:
            if reservation is asking or reservation.phase == HANDLING:
                continue
            if now_s - reservation.active_s > STALL_S:
                stalled.append(reservation)
            elif (
                reservation.phase == RECEIVING
                and reservation.sequence > asking.sequence
            ):
                later.append(reservation)
        stalled.sort(key=lambda reservation: reservation.active_s)
        later.sort(key=lambda reservation: -reservation.sequence)
        needed_bytes = self.used_bytes + added_bytes - self.max_bytes
        revoked = []
        for reservation in stalled + later:
            if needed_bytes <= 0:
                break
            revoked.append(reservation)
            needed_bytes -= reservation.byte_count
        # Stalled reservations are revoked even if the asking request does not
        # fit.  Later ones are kept then, as revoking them would not help it.
        if needed_bytes > 0:
            revoked = stalled
        for reservation in revoked:
            self._release(reservation)
            reservation.revoke()
        return needed_bytes <= 0

    def _release(self, reservation):
        self.used_bytes -= reservation.byte_count
        reservation.byte_count = 0
        self._reservations.discard(reservation)
