"""Lending of idle slots between entries.

An entry whose queue grows demands slots from the other entries, and an entry
with idle slots answers with loans.  A loan must never let two entries use a
slot at once, whatever is frozen or lost on the way.  A loan has a term, the
time for which its borrower may start requests.  The borrower counts the term
from the moment at which it sent its demand, which is earlier than the grant
from which the lender counts it.  After the term the lender waits until the
upstream must have ended the longest request that the borrower may have
started.  A frozen process or a lost message can leave slots unused for a
while, but never lets two entries use them.
"""

from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _loans
from fuchsiatrestle.routing import _shares

__all__ = ('Lending',)

LOAN_TERM_MS = 1000
# Shortest time between two demands for slots of the same service.
DEMAND_INTERVAL_MS = 20
# Limit on the slots that one demand asks of all other entries together, before
# it is divided among them and rounded up.  The slots that one entry lends in
# answer to one demand have the same limit.
MAX_DEMANDED_SLOTS = 64
# Number of newest demands that a loan can still answer; older demands are
# forgotten.
MAX_REMEMBERED_DEMANDS = 128
# A lender keeps this many of its free slots for its own requests, or one for
# each USED_SLOTS_PER_RESERVED_SLOT slots that it uses if that is more.  It
# keeps none from an entry that has no slot, which could otherwise serve none.
MIN_RESERVED_SLOTS = 2
USED_SLOTS_PER_RESERVED_SLOT = 4
# Loan numbers start at the incarnation shifted left by so many bits, so that a
# loan of an earlier process of this entry isn't taken for one of this process.
LOAN_NUMBER_BITS = 20

SLOTS_LENT_COUNTER = metrics.declare(
    'lending.slots_lent', 'Slots lent to other entries.'
)
SLOTS_BORROWED_COUNTER = metrics.declare(
    'lending.slots_borrowed', 'Slots borrowed from other entries.'
)
DEMANDS_SENT_COUNTER = metrics.declare(
    'lending.demands_sent', 'Demands for slots sent to other entries.'
)
LOANS_REFUSED_COUNTER = metrics.declare(
    'refused.loan_unusable', 'Loans sent back because they came too late.'
)


class _Demand:
    """A demand that this entry sent and that loans may still answer.

    Attributes:
        service: name of the service.
        sent_ms: time at which it was sent.
    """

    __slots__ = ('sent_ms', 'service')

    def __init__(self, service, sent_ms):
        self.service = service
        self.sent_ms = sent_ms


class Lending:
    """Loans that one entry granted to others or received from them.

    Args:
        entry: name of this entry.
        incarnation: incarnation of this process.
    """

    def __init__(self, entry, incarnation):
        self._entry = entry
        self._members_digest = 0
        self._peers = []
        self._last_loan_number = incarnation << LOAN_NUMBER_BITS
        # ``LentSlots`` by loan number.
        self._lent_slots_by_number = {}
        # ``_Demand`` by sequence number.
        self._open_demands = {}
        self._last_demand_seq = 0
        # Time at which the last demand was sent, by name of the service.
        self._demand_sent_ms_by_service = {}
        # End of the term of each received loan, by (lender, loan number).  A
        # ``LendSlots`` message is a duplicate if its loan is listed here.
        self._term_end_ms_by_received_loan = {}

    @property
    def lent_slots(self):
        """Number of slots that are lent to other entries now."""
        return sum(loan.slots for loan in self._lent_slots_by_number.values())

    def apply_configuration(self, cfg, upstreams, *, versions_skipped):
        """Adopts a configuration and ends borrowed loans that it invalidates.

        Borrowed loans end if the member entries changed, or may have in a
        version that was skipped, or if requests may now last longer than the
        lender allows for.  An ended loan takes no new request; its slots are
        returned by ``return_slots``.

        Args:
            cfg: the ``Configuration``.
            upstreams: all ``Upstream`` objects of this entry.
            versions_skipped: True if this entry did not receive every version
                between its last one and this one.
        """
        members_changed = cfg.members_digest != self._members_digest
        self._members_digest = cfg.members_digest
        self._peers = sorted(set(cfg.members) - {self._entry})
        for upstream in upstreams:
            if (
                members_changed
                or versions_skipped
                or self._deadline_exceeds_loans(upstream, cfg)
            ):
                for loan in upstream.borrowed_loans:
                    loan.term_end_ms = 0

    def _deadline_exceeds_loans(self, upstream, cfg):
        """Tells whether requests may last longer than the loans allow for."""
        service = cfg.services.get(upstream.service)
        return service is None or any(
            service.deadline_ms > loan.longest_request_ms
            for loan in upstream.borrowed_loans
        )

    # Borrowing

    def demand_slots(
        self, service, slot_count, now_ms, effects, *, lacks_slots=False
    ):
        """Asks all other entries for slots of a service.

        Nothing is sent within ``DEMAND_INTERVAL_MS`` of the last demand for
        the service, or if there is no other entry.

        Args:
            service: name of the service.
            slot_count: number of slots, divided evenly among the other entries
                and rounded up.
            now_ms: current time.
            effects: list to which the messages are added.
            lacks_slots: True if this entry has no slot of the service.
        """
        last_demand_sent_ms = self._demand_sent_ms_by_service.get(
            service, -DEMAND_INTERVAL_MS
        )
        if (
            now_ms - last_demand_sent_ms < DEMAND_INTERVAL_MS
            or not self._peers
        ):
            return
        self._demand_sent_ms_by_service[service] = now_ms
        self._last_demand_seq += 1
        self._open_demands[self._last_demand_seq] = _Demand(service, now_ms)
        self._open_demands.pop(
            self._last_demand_seq - MAX_REMEMBERED_DEMANDS, None
        )
        metrics.count(DEMANDS_SENT_COUNTER)
        slots_per_peer = -(
            -min(slot_count, MAX_DEMANDED_SLOTS) // len(self._peers)
        )
        message = messages.SlotDemand(
            self._entry,
            service,
            slots_per_peer,
            self._last_demand_seq,
            self._members_digest,
            lacks_slots,
        )
        effects.extend(
            _effects.SendToPeer(peer, message) for peer in self._peers
        )

    def accept_loan(self, peer, message, upstream, service, now_ms, effects):
        """Adds a loan to an upstream, or returns it if it can't be used.

        A loan is returned if its term is over or its demand is forgotten, if
        the upstream or service is unknown, if the lender has other members in
        its configuration, or if a request of the service may last longer than
        the lender allows for.  A duplicate, or a message whose sender isn't
        its lender, is dropped without an answer.

        Args:
            peer: name of the sending entry.
            message: the ``messages.LendSlots``.
            upstream: the ``Upstream`` it is for, None if unknown.
            service: the ``schema.Service``, None if unknown.
            now_ms: current time.
            effects: list to which a return message is added.

        Returns:
            True if the slots may be used now.
        """
        if (
            message.lender,
            message.loan,
        ) in self._term_end_ms_by_received_loan or message.lender != peer:
            return False
        demand = self._open_demands.get(message.demand_seq)
        term_end_ms = 0 if demand is None else demand.sent_ms + message.term_ms
        self._term_end_ms_by_received_loan[message.lender, message.loan] = (
            term_end_ms
        )
        if (
            now_ms >= term_end_ms
            or upstream is None
            or service is None
            or message.members != self._members_digest
            or service.deadline_ms > message.longest_ms
        ):
            metrics.count(LOANS_REFUSED_COUNTER)
            effects.append(
                self._make_return_effect(
                    message.lender, message.loan, message.slots
                )
            )
            return False
        metrics.count(SLOTS_BORROWED_COUNTER, message.slots)
        upstream.borrowed_loans.append(
            _loans.BorrowedSlots(
                message.loan,
                message.lender,
                message.slots,
                term_end_ms,
                message.longest_ms,
            )
        )
        return True

    def return_slots(self, upstream, now_ms, effects, *, unneeded_slots=0):
        """Returns borrowed slots of an upstream that no request needs.

        Loans whose term is over are returned, and so are loans still in their
        term, up to ``unneeded_slots`` slots in total.  A loan is kept if the
        slots used by requests would exceed those left after its return.

        Args:
            upstream: the ``Upstream``.
            now_ms: current time.
            effects: list to which the messages are added.
            unneeded_slots: most slots to return before their term is over.

        Returns:
            Number of slots returned before their term was over.
        """
        if not upstream.borrowed_loans:
            return 0
        returned_slots = 0
        used_slots = upstream.used_slots
        allotted_slots = upstream.count_allotted_slots(now_ms)
        kept_loans = []
        for loan in upstream.borrowed_loans:
            is_in_term = now_ms < loan.term_end_ms
            remaining_slots = (
                allotted_slots - loan.slots if is_in_term else allotted_slots
            )
            may_return = (
                not is_in_term or returned_slots + loan.slots <= unneeded_slots
            )
            if may_return and used_slots <= remaining_slots:
                allotted_slots = remaining_slots
                returned_slots += loan.slots if is_in_term else 0
                effects.append(
                    self._make_return_effect(
                        loan.lender, loan.loan_number, loan.slots
                    )
                )
            else:
                kept_loans.append(loan)
        upstream.borrowed_loans = kept_loans
        return returned_slots

    def _make_return_effect(self, lender, loan_number, slots):
        """Makes the effect that sends slots back to their lender."""
        return _effects.SendToPeer(
            lender, messages.ReturnSlots(loan_number, self._entry, slots)
        )

    # Lending

    def lend_slots(self, demand, upstreams, service, now_ms, effects):
        """Lends idle slots of a service to the entry that demanded them.

        At most one slot of each upstream is lent for a demand, those of the
        upstreams with the lowest latency first.  No slot of an upstream on
        probation is lent.  A demand of an entry that has other members in its
        configuration is ignored.

        Args:
            demand: the ``messages.SlotDemand``.
            upstreams: the ``Upstream`` objects of the service.
            service: the ``schema.Service``.
            now_ms: current time.
            effects: list to which the messages are added.
        """
        if (
            demand.members != self._members_digest
            or demand.entry not in self._peers
        ):
            return
        used_slots = sum(upstream.used_slots for upstream in upstreams)
        free_slots = sum(
            upstream.count_free_slots(now_ms) for upstream in upstreams
        )
        reserved_slots = max(
            MIN_RESERVED_SLOTS, used_slots // USED_SLOTS_PER_RESERVED_SLOT
        )
        if demand.lacks_slots:
            reserved_slots = 0
        slots_to_lend = min(
            demand.wanted, MAX_DEMANDED_SLOTS, free_slots - reserved_slots
        )
        lendable_upstreams = [
            upstream
            for upstream in upstreams
            if upstream.count_lendable_slots(now_ms) > 0
            and not upstream.health.is_on_probation
        ]
        lendable_upstreams.sort(key=lambda upstream: upstream.latency.mean_ms)
        for upstream in lendable_upstreams[: max(0, slots_to_lend)]:
            effects.append(self._lend_slot(demand, upstream, service, now_ms))

    def _lend_slot(self, demand, upstream, service, now_ms):
        """Lends one slot; returns the effect that sends the loan."""
        self._last_loan_number += 1
        longest_request_ms = service.deadline_ms
        term_end_ms = now_ms + LOAN_TERM_MS + _shares.CLOCK_DRIFT_MS
        self._lent_slots_by_number[self._last_loan_number] = _loans.LentSlots(
            self._last_loan_number,
            demand.entry,
            upstream,
            1,
            term_end_ms,
            longest_request_ms,
        )
        upstream.lent_slots += 1
        metrics.count(SLOTS_LENT_COUNTER)
        return _effects.SendToPeer(
            demand.entry,
            messages.LendSlots(
                loan=self._last_loan_number,
                lender=self._entry,
                service=demand.service,
                address=upstream.address,
                upstream_incarnation=upstream.incarnation,
                slots=1,
                term_ms=LOAN_TERM_MS,
                demand_seq=demand.seq,
                members=self._members_digest,
                longest_ms=longest_request_ms,
            ),
        )

    def accept_returned_slots(self, peer, message):
        """Ends a loan whose slots the borrower sent back.

        Args:
            peer: name of the sending entry.
            message: the ``messages.ReturnSlots``.

        Returns:
            The ``Upstream`` whose slots are free again, None if the sender
            has no such loan.
        """
        loan = self._lent_slots_by_number.get(message.loan)
        if loan is None or loan.borrower != peer:
            return None
        return self._end_loan(loan)

    def expire_loans(self, now_ms):
        """Ends granted loans whose requests must have ended.

        Also forgets the numbers of received loans whose term is over.
        """
        ended_loans = [
            loan
            for loan in self._lent_slots_by_number.values()
            if loan.has_ended(now_ms)
        ]
        self._term_end_ms_by_received_loan = {
            key: term_end_ms
            for key, term_end_ms in self._term_end_ms_by_received_loan.items()
            if now_ms < term_end_ms
        }
        for loan in ended_loans:
            self._end_loan(loan)

    def drop_loans(self, upstream):
        """Ends all loans granted of an upstream that is no longer tracked."""
        for loan in list(self._lent_slots_by_number.values()):
            if loan.upstream is upstream:
                self._end_loan(loan)

    def _end_loan(self, loan):
        """Makes lent slots available to this entry; returns the upstream."""
        del self._lent_slots_by_number[loan.loan_number]
        loan.upstream.lent_slots -= loan.slots
        return loan.upstream
