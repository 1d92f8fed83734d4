"""Messages between entries: announcements and lending of slots."""

from fuchsiatrestle import records

__all__ = (
    'Announcement',
    'AnnouncementBatch',
    'LendSlots',
    'ReturnSlots',
    'SlotDemand',
)


class Announcement(records.Record, tag='N'):
    """What an upstream last said of itself.

    Attributes:
        service: name of the service it serves.
        address: ``IP:port`` it serves on.
        incarnation: number drawn when the upstream started.
        seq: position within the incarnation, from 1.
        state: ``ready`` or ``leaving``.
        slots: requests it works on at once.
        connections: connections it accepts.
        age_ms: time since an entry heard it first hand.
        data_centre: where it stands.
    """

    service: str
    address: str
    incarnation: int
    seq: int
    state: str
    slots: int
    connections: int
    age_ms: int
    data_centre: str = ''


class AnnouncementBatch(records.Record, tag='ra'):
    """Announcements that an entry passes on."""

    entry: str
    items: list[Announcement]


class SlotDemand(records.Record, tag='rd'):
    """Says how many more slots of a service an entry could use now.

    Attributes:
        members: digest of the members under which the entry works.
    """

    entry: str
    service: str
    wanted: int
    seq: int
    members: int = 0


class LendSlots(records.Record, tag='rl'):
    """Lends slots of one upstream for a term.

    Attributes:
        loan: number unique to the lending entry's incarnation.
        lender: name of the lending entry.
        address: the upstream.
        upstream_incarnation: incarnation of the upstream.
        slots: number of slots.
        term_ms: counted by the borrower from the moment it sent the demand
            numbered ``demand_seq``.
        demand_seq: the answered ``SlotDemand``.
        members: digest of the members under which the slots are lent.
        longest_ms: longest request that may be sent on these slots.
    """

    loan: int
    lender: str
    service: str
    address: str
    upstream_incarnation: int
    slots: int
    term_ms: int
    demand_seq: int
    members: int = 0
    longest_ms: int = 0


class ReturnSlots(records.Record, tag='rr'):
    """Gives borrowed slots back before their term ends."""

    loan: int
    borrower: str
    slots: int


KINDS = (AnnouncementBatch, SlotDemand, LendSlots, ReturnSlots)
