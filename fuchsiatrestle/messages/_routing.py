"""Messages between entries: announcements and lending of slots.

A slot of an upstream is the right to have one request in progress there.  Each
slot belongs to one entry, which may lend it to another entry for a limited
time.
"""

from fuchsiatrestle import records

__all__ = (
    'Announcement',
    'AnnouncementBatch',
    'LendSlots',
    'ReturnSlots',
    'SlotDemand',
)


class Announcement(records.Record, tag='N'):
    """The latest description that an upstream sent of itself.

    Attributes:
        service: name of the service it belongs to.
        address: ``IP:port`` on which it accepts requests.
        incarnation: number drawn when the upstream started.
        seq: number of the announcement within the incarnation, from 1.
        state: ``ready`` or ``leaving``.
        slots: number of requests that it can process at the same time.
        connections: number of connections it accepts.
        age_ms: longest time for which an entry may have had it from the
            upstream itself.
        data_centre: data centre that it runs in.
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
    """Announcements that an entry forwards to another entry.

    A batch without announcements is sent for its times alone.

    Attributes:
        entry: name of the sending entry.
        items: the announcements.
        sent_ms: time of the sender's clock; 0 from a build without echoes.
        echoed_ms: ``sent_ms`` of the batch that the sender received last from
            the entry to which it sends this one, 0 if none.
    """

    entry: str
    items: list[Announcement]
    sent_ms: int = 0
    echoed_ms: int = 0


class SlotDemand(records.Record, tag='rd'):
    """Asks another entry to lend slots of a service.

    Attributes:
        entry: name of the asking entry.
        service: name of the service.
        wanted: number of slots that the receiver is asked to lend.
        seq: number of the demand, returned as ``demand_seq`` of ``LendSlots``.
        members: digest of the entries in the asking entry's configuration.
        lacks_slots: True if the asking entry has no slot of the service, used
            or free.
    """

    entry: str
    service: str
    wanted: int
    seq: int
    members: int = 0
    lacks_slots: bool = False


class LendSlots(records.Record, tag='rl'):
    """Lends slots of one upstream for a limited time.

    Attributes:
        loan: number of the loan, unique among the loans of the lending entry.
        lender: name of the lending entry.
        service: name of the service.
        address: ``IP:port`` of the upstream.
        upstream_incarnation: incarnation of the upstream.
        slots: number of slots.
        term_ms: duration of the loan, which the borrower counts from the
            moment it sent the demand numbered ``demand_seq``.
        demand_seq: ``seq`` of the answered ``SlotDemand``.
        members: digest of the entries in the lender's configuration.
        longest_ms: longest time that a request sent on these slots may take.
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
    """Returns borrowed slots to their lender, which ends the loan.

    Attributes:
        loan: number of the loan.
        borrower: name of the borrowing entry.
        slots: number of slots returned.
    """

    loan: int
    borrower: str
    slots: int


RECORD_CLASSES = (AnnouncementBatch, SlotDemand, LendSlots, ReturnSlots)
