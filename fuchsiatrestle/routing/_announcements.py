"""Newest announcement of each upstream, received directly or from peers."""

from fuchsiatrestle import messages

__all__ = (
    'FORGET_AFTER_MS',
    'LEAVING',
    'MAX_USABLE_AGE_MS',
    'READY',
    'AnnouncementTable',
)

READY = 'ready'
LEAVING = 'leaving'
# An upstream announces itself each second.  Two announcements in a row may be
# lost, and the next may be half a second late.
MAX_USABLE_AGE_MS = 2500
FORGET_AFTER_MS = 60000
MAX_UPSTREAMS = 4096


class _TableRow:
    """Newest announcement of one upstream, and when it was made."""

    __slots__ = ('announcement', 'made_ms')

    def __init__(self, announcement, made_ms):
        self.announcement = announcement
        self.made_ms = made_ms


def _order(announcement):
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
        self._newest = {}
        # Addresses with news to forward, as keys in the order of arrival.
        self._unforwarded = {}

    def __len__(self):
        return len(self._newest)

    def add(self, announcement, now_ms, first_hand=False):
        """Stores an announcement if it is newer than the stored one.

        Args:
            announcement: the ``messages.Announcement``.
            now_ms: current time.
            first_hand: True if the upstream sent it to this entry itself; it
                is then forwarded to the other entries.

        Returns:
            True if it was stored; False if it is not newer, if the process
            has announced that it leaves, or if the table is full.
        """
        address = announcement.address
        known = self._newest.get(address)
        if known is not None:
            if _order(announcement) <= _order(known.announcement):
                return False
            if _has_left(known.announcement, announcement):
                return False
        elif len(self._newest) >= MAX_UPSTREAMS:
            return False
        made_ms = now_ms - max(0, announcement.age_ms)
        self._newest[address] = _TableRow(announcement, made_ms)
        if first_hand:
            self._unforwarded[address] = True
        return True

    def is_usable(self, address, now_ms):
        """Tells whether requests may be sent to an upstream.

        It must be known and have announced itself ready recently enough.
        """
        known = self._newest.get(address)
        if known is None or known.announcement.state != READY:
            return False
        return now_ms - known.made_ms < MAX_USABLE_AGE_MS

    def age_ms(self, address, now_ms):
        """Returns the age of the newest announcement of an address.

        Raises:
            KeyError: the address is unknown.
        """
        return now_ms - self._newest[address].made_ms

    def get(self, address):
        """Returns the newest announcement of an address, None if unknown."""
        known = self._newest.get(address)
        return None if known is None else known.announcement

    def addresses(self):
        """Returns a list of all known addresses."""
        return list(self._newest)

    def take_unforwarded(self, now_ms):
        """Returns the announcements to forward, each with its current age.

        These are the ones received first hand since the last call.
        """
        addresses, self._unforwarded = self._unforwarded, {}
        return [self._copy_with_age(address, now_ms) for address in addresses]

    def list_current(self, now_ms):
        """Returns all announcements recent enough, each with its age."""
        return [
            self._copy_with_age(address, now_ms)
            for address, known in self._newest.items()
            if now_ms - known.made_ms < MAX_USABLE_AGE_MS
        ]

    def drop_old(self, now_ms):
        """Drops upstreams unheard for over ``FORGET_AFTER_MS``.

        Returns:
            A list of their addresses.
        """
        old_addresses = [
            address
            for address, known in self._newest.items()
            if now_ms - known.made_ms > FORGET_AFTER_MS
        ]
        for address in old_addresses:
            del self._newest[address]
            self._unforwarded.pop(address, None)
        return old_addresses

    def _copy_with_age(self, address, now_ms):
        """Returns the newest announcement of an address with its age set."""
        known = self._newest[address]
        newest = known.announcement
        return messages.Announcement(
            service=newest.service,
            address=newest.address,
            incarnation=newest.incarnation,
            seq=newest.seq,
            state=newest.state,
            slots=newest.slots,
            connections=newest.connections,
            age_ms=now_ms - known.made_ms,
            data_centre=newest.data_centre,
        )


def _has_left(known, newer):
    """Tells whether the sender of ``newer`` said before that it leaves."""
    return known.state == LEAVING and newer.incarnation == known.incarnation
