"""Newest announcement of each upstream, from itself or from other entries."""

from fuchsiatrestle import messages

__all__ = (
    'FORGET_UPSTREAM_AFTER_MS',
    'LEAVING',
    'MAX_USABLE_AGE_MS',
    'READY',
    'AnnouncementTable',
)

READY = 'ready'
LEAVING = 'leaving'
# An upstream announces itself each second.  One announcement may be lost, and
# the next may be half a second late.  The age of a forwarded announcement is
# counted from the echo, which is up to 0.3 s before it was sent.
MAX_USABLE_AGE_MS = 2800
FORGET_UPSTREAM_AFTER_MS = 60000
MAX_UPSTREAMS = 4096


class _TableRow:
    """Newest announcement of one upstream.

    Attributes:
        announcement: the ``messages.Announcement``.
        received_ms: earliest time at which this or another entry may have
            received it from the upstream itself.
    """

    __slots__ = ('announcement', 'received_ms')

    def __init__(self, announcement, received_ms):
        self.announcement = announcement
        self.received_ms = received_ms


def _order_key(announcement):
    """Returns the key by which announcements of an address are ordered."""
    return announcement.incarnation, announcement.seq


class AnnouncementTable:
    """Newest announcement by address.

    A newer incarnation replaces an older one.  Within an incarnation the
    higher sequence number replaces the lower, and ``leaving`` is final, so
    that a late or repeated announcement neither revives an upstream nor
    cancels its departure.
    """

    def __init__(self):
        self._newest_by_address = {}
        # Addresses of upstreams whose newest announcement is to be forwarded,
        # as the keys of a dict in the order of arrival.
        self._unforwarded_addresses = {}

    def __len__(self):
        return len(self._newest_by_address)

    def add(self, announcement, received_ms, is_from_upstream=False):
        """Stores an announcement if it is newer than the stored one.

        The stored one was sent before it, so the time of receipt never
        decreases.  If it is the stored one itself, the later of the two times
        of receipt is kept.

        Args:
            announcement: the ``messages.Announcement``.
            received_ms: earliest time at which this or another entry may have
                received it from the upstream itself.
            is_from_upstream: True if the upstream sent it to this entry
                itself; it is then forwarded to the other entries.

        Returns:
            True if it was stored; False if it is not newer, if the upstream
            process has announced that it leaves, or if the table is full.
        """
        address = announcement.address
        row = self._newest_by_address.get(address)
        if row is not None:
            received_ms = max(received_ms, row.received_ms)
            if _order_key(announcement) < _order_key(row.announcement):
                return False
            if _order_key(announcement) == _order_key(row.announcement):
                row.received_ms = received_ms
                return False
            if _has_announced_leaving(row.announcement, announcement):
                return False
        elif len(self._newest_by_address) >= MAX_UPSTREAMS:
            return False
        self._newest_by_address[address] = _TableRow(announcement, received_ms)
        if is_from_upstream:
            self._unforwarded_addresses[address] = True
        return True

    def is_usable(self, address, now_ms):
        """Tells whether requests may be sent to an upstream.

        Its newest announcement must say that it is ready and be younger than
        ``MAX_USABLE_AGE_MS``.
        """
        row = self._newest_by_address.get(address)
        if row is None or row.announcement.state != READY:
            return False
        return now_ms - row.received_ms < MAX_USABLE_AGE_MS

    def age_ms(self, address, now_ms):
        """Returns the largest possible age of the newest announcement.

        Raises:
            KeyError: the address is unknown.
        """
        return now_ms - self._newest_by_address[address].received_ms

    def get(self, address):
        """Returns the newest announcement of an address, None if unknown."""
        row = self._newest_by_address.get(address)
        return None if row is None else row.announcement

    def addresses(self):
        """Returns a list of all known addresses."""
        return list(self._newest_by_address)

    def pop_unforwarded(self, now_ms):
        """Returns the announcements to forward, each with its current age.

        They are the announcements that this entry received from upstreams
        themselves since the last call.
        """
        addresses, self._unforwarded_addresses = (
            self._unforwarded_addresses,
            {},
        )
        return [self._copy_with_age(address, now_ms) for address in addresses]

    def list_recent(self, now_ms):
        """Returns the announcements that aren't too old, with their ages.

        They are those younger than ``MAX_USABLE_AGE_MS``.
        """
        return [
            self._copy_with_age(address, now_ms)
            for address, row in self._newest_by_address.items()
            if now_ms - row.received_ms < MAX_USABLE_AGE_MS
        ]

    def drop_old_announcements(self, now_ms):
        """Drops the announcements older than ``FORGET_UPSTREAM_AFTER_MS``.

        Returns:
            A list of the addresses of their upstreams.
        """
        old_addresses = [
            address
            for address, row in self._newest_by_address.items()
            if now_ms - row.received_ms > FORGET_UPSTREAM_AFTER_MS
        ]
        for address in old_addresses:
            del self._newest_by_address[address]
            self._unforwarded_addresses.pop(address, None)
        return old_addresses

    def _copy_with_age(self, address, now_ms):
        """Returns the newest announcement of an address with its age set."""
        row = self._newest_by_address[address]
        newest = row.announcement
        return messages.Announcement(
            service=newest.service,
            address=newest.address,
            incarnation=newest.incarnation,
            seq=newest.seq,
            state=newest.state,
            slots=newest.slots,
            connections=newest.connections,
            age_ms=now_ms - row.received_ms,
            data_centre=newest.data_centre,
        )


def _has_announced_leaving(stored, new):
    """Tells whether the sender of ``new`` said before that it leaves."""
    return stored.state == LEAVING and new.incarnation == stored.incarnation
