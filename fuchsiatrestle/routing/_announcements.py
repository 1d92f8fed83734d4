"""What the upstreams last said of themselves, first hand or through peers."""

from fuchsiatrestle import messages

__all__ = (
    'FORGET_MS',
    'LEAVING',
    'READY',
    'UNHEARD_MS',
    'AnnouncementTable',
)

READY = 'ready'
LEAVING = 'leaving'
# Two announcements a second apart may be lost but for half a second.
UNHEARD_MS = 2500
FORGET_MS = 60000
MAX_UPSTREAMS = 4096


class _Heard:
    """One upstream's newest announcement and when it was made."""

    __slots__ = ('announcement', 'heard_ms')

    def __init__(self, announcement, heard_ms):
        self.announcement = announcement
        self.heard_ms = heard_ms


def _order(announcement):
    return announcement.incarnation, announcement.seq


class AnnouncementTable:
    """Newest announcement by address.

    A newer incarnation replaces an older one; within an incarnation the
    higher sequence number wins, so that a late or repeated announcement can
    neither revive an upstream nor undo its leaving.
    """

    def __init__(self):
        self._heard = {}
        self._fresh = {}

    def __len__(self):
        return len(self._heard)

    def hear(self, announcement, now_ms, first_hand=False):
        """Takes one announcement in; returns True if it is news.

        Args:
            announcement: the ``messages.Announcement``.
            now_ms: time now.
            first_hand: True if the upstream itself said it to this entry.
        """
        address = announcement.address
        known = self._heard.get(address)
        if known is not None:
            if _order(announcement) <= _order(known.announcement):
                return False
            if _left_for_good(known.announcement, announcement):
                return False
        elif len(self._heard) >= MAX_UPSTREAMS:
            return False
        heard_ms = now_ms - max(0, announcement.age_ms)
        self._heard[address] = _Heard(announcement, heard_ms)
        if first_hand:
            self._fresh[address] = True
        return True

    def is_usable(self, address, now_ms):
        """True if new work may go to the upstream at ``address``."""
        known = self._heard.get(address)
        if known is None or known.announcement.state != READY:
            return False
        return now_ms - known.heard_ms < UNHEARD_MS

    def age_ms(self, address, now_ms):
        """Returns the age of the newest announcement of ``address``."""
        return now_ms - self._heard[address].heard_ms

    def get(self, address):
        """Returns the newest announcement of ``address``, None if unknown."""
        known = self._heard.get(address)
        return None if known is None else known.announcement

    def addresses(self):
        """Returns all known addresses."""
        return list(self._heard)

    def take_fresh(self, now_ms):
        """Returns first-hand news since the last call, with its age."""
        fresh, self._fresh = self._fresh, {}
        return [self._aged(address, now_ms) for address in fresh]

    def digest(self, now_ms):
        """Returns every announcement that is not yet unheard, with age."""
        return [
            self._aged(address, now_ms)
            for address, known in self._heard.items()
            if now_ms - known.heard_ms < UNHEARD_MS
        ]

    def forget_old(self, now_ms):
        """Drops and returns addresses unheard for ``FORGET_MS``."""
        old = [
            address
            for address, known in self._heard.items()
            if now_ms - known.heard_ms > FORGET_MS
        ]
        for address in old:
            del self._heard[address]
            self._fresh.pop(address, None)
        return old

    def _aged(self, address, now_ms):
        known = self._heard[address]
        said = known.announcement
        return messages.Announcement(
            service=said.service,
            address=said.address,
            incarnation=said.incarnation,
            seq=said.seq,
            state=said.state,
            slots=said.slots,
            connections=said.connections,
            age_ms=now_ms - known.heard_ms,
            data_centre=said.data_centre,
        )


def _left_for_good(known, newer):
    """True if ``newer`` would undo a leaving within one incarnation."""
    return known.state == LEAVING and newer.incarnation == known.incarnation
