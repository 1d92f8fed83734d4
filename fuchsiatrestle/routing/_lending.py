"""Demand for slots of other entries, and offers of idle ones to them.

The borrower counts a term from the moment it sent its demand, the lender
from the moment it granted it, and then waits until the upstream must have
ended the longest request.  A frozen process or a lost message can only make
slots rest, never be used twice.
"""

from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _loans
from fuchsiatrestle.routing import _shares

__all__ = ('Lending',)

LOAN_MS = 1000
DEMAND_EVERY_MS = 20
MAX_WANTED = 64
REMEMBERED_DEMANDS = 128
MIN_RESERVE = 2
RESERVE_DIVISOR = 4
LOAN_NUMBER_BITS = 20

SLOTS_LENT = metrics.declare(
    'lending.slots_lent', 'Slots lent to other entries.'
)
SLOTS_BORROWED = metrics.declare(
    'lending.slots_borrowed', 'Slots borrowed from other entries.'
)
DEMANDS_SENT = metrics.declare(
    'lending.demands_sent', 'Demands for slots sent to other entries.'
)
LOANS_REFUSED = metrics.declare(
    'refused.loan_unusable', 'Loans sent back because they came too late.'
)


class _Demand:
    """A demand sent, which loans may still answer."""

    __slots__ = ('sent_ms', 'service')

    def __init__(self, service, sent_ms):
        self.service = service
        self.sent_ms = sent_ms


class Lending:
    """Loans of one entry, given and taken.

    Args:
        entry: name of this entry.
        incarnation: incarnation of this process.
    """

    def __init__(self, entry, incarnation):
        self._entry = entry
        self._digest = 0
        self._peers = []
        self._next_loan = incarnation << LOAN_NUMBER_BITS
        self._given = {}
        self._demands = {}
        self._last_seq = 0
        self._last_demand_ms = {}
        self._seen = {}

    @property
    def given_slots(self):
        """Slots lent now."""
        return sum(loan.slots for loan in self._given.values())

    def enter(self, cfg, upstreams, *, skipped):
        """Takes a configuration; loans of other members end.

        Args:
            cfg: the ``Configuration``.
            upstreams: all ``Upstream`` values.
            skipped: True if a version between was not seen.
        """
        changed = cfg.members_digest != self._digest
        self._digest = cfg.members_digest
        self._peers = sorted(set(cfg.members) - {self._entry})
        for upstream in upstreams:
            if changed or skipped or self._outgrown(upstream, cfg):
                for loan in upstream.taken:
                    loan.until_ms = 0

    def _outgrown(self, upstream, cfg):
        """True if requests may now last longer than the loans allow for."""
        service = cfg.services.get(upstream.service)
        return service is None or any(
            service.deadline_ms > loan.longest_ms for loan in upstream.taken
        )

    # Borrowing

    def demand(self, service, wanted, now_ms, effects):
        """Asks all other entries for slots of a service, not too often."""
        last_ms = self._last_demand_ms.get(service, -DEMAND_EVERY_MS)
        if now_ms - last_ms < DEMAND_EVERY_MS or not self._peers:
            return
        self._last_demand_ms[service] = now_ms
        self._last_seq += 1
        self._demands[self._last_seq] = _Demand(service, now_ms)
        self._demands.pop(self._last_seq - REMEMBERED_DEMANDS, None)
        metrics.count(DEMANDS_SENT)
        each = -(-min(wanted, MAX_WANTED) // len(self._peers))
        message = messages.SlotDemand(
            self._entry, service, each, self._last_seq, self._digest
        )
        effects.extend(
            _effects.SendToPeer(peer, message) for peer in self._peers
        )

    def take(self, peer, lend, upstream, service, now_ms, effects):
        """Takes a loan, or sends it back if it can not be used.

        Args:
            peer: name of the sender.
            lend: the ``messages.LendSlots``.
            upstream: the ``Upstream`` it is for, None if unknown.
            service: the ``schema.Service``, None if unknown.
            now_ms: time now.
            effects: list that effects are added to.

        Returns:
            True if the loan was taken.
        """
        if (lend.lender, lend.loan) in self._seen or lend.lender != peer:
            return False
        demand = self._demands.get(lend.demand_seq)
        until_ms = 0 if demand is None else demand.sent_ms + lend.term_ms
        self._seen[lend.lender, lend.loan] = until_ms
        if (
            now_ms >= until_ms
            or upstream is None
            or service is None
            or lend.members != self._digest
            or service.deadline_ms > lend.longest_ms
        ):
            metrics.count(LOANS_REFUSED)
            effects.append(self._return(lend.lender, lend.loan, lend.slots))
            return False
        metrics.count(SLOTS_BORROWED, lend.slots)
        upstream.taken.append(
            _loans.TakenLoan(
                lend.loan, lend.lender, lend.slots, until_ms, lend.longest_ms
            )
        )
        return True

    def give_back(self, upstream, now_ms, effects, *, unneeded=0):
        """Returns loans that ended, and up to ``unneeded`` idle slots more."""
        if not upstream.taken:
            return 0
        returned = 0
        in_use = upstream.in_use
        capacity = upstream.capacity(now_ms)
        kept = []
        for loan in upstream.taken:
            running = now_ms < loan.until_ms
            rest = capacity - loan.slots if running else capacity
            wanted = not running or returned + loan.slots <= unneeded
            if wanted and in_use <= rest:
                capacity = rest
                returned += loan.slots if running else 0
                effects.append(
                    self._return(loan.lender, loan.loan, loan.slots)
                )
            else:
                kept.append(loan)
        upstream.taken = kept
        return returned

    def _return(self, lender, loan, slots):
        return _effects.SendToPeer(
            lender, messages.ReturnSlots(loan, self._entry, slots)
        )

    # Lending

    def offer(self, demand, candidates, service, now_ms, effects):
        """Lends idle slots of a service to the entry that asked.

        Args:
            demand: the ``messages.SlotDemand``.
            candidates: the service's ``Upstream`` values.
            service: the ``schema.Service``.
            now_ms: time now.
            effects: list that effects are added to.
        """
        if demand.members != self._digest or demand.entry not in self._peers:
            return
        in_use = sum(upstream.in_use for upstream in candidates)
        free = sum(upstream.free(now_ms) for upstream in candidates)
        reserve = max(MIN_RESERVE, in_use // RESERVE_DIVISOR)
        wanted = min(demand.wanted, MAX_WANTED, free - reserve)
        lenders = [
            upstream
            for upstream in candidates
            if upstream.lendable(now_ms) > 0
            and not upstream.health.on_probation
        ]
        lenders.sort(key=lambda upstream: upstream.latency.mean_ms)
        for upstream in lenders[: max(0, wanted)]:
            effects.append(self._lend(demand, upstream, service, now_ms))

    def _lend(self, demand, upstream, service, now_ms):
        self._next_loan += 1
        longest_ms = service.deadline_ms
        until_ms = now_ms + LOAN_MS + _shares.DRIFT_MS
        self._given[self._next_loan] = _loans.GivenLoan(
            self._next_loan, demand.entry, upstream, 1, until_ms, longest_ms
        )
        upstream.lent += 1
        metrics.count(SLOTS_LENT)
        return _effects.SendToPeer(
            demand.entry,
            messages.LendSlots(
                loan=self._next_loan,
                lender=self._entry,
                service=demand.service,
                address=upstream.address,
                upstream_incarnation=upstream.incarnation,
                slots=1,
                term_ms=LOAN_MS,
                demand_seq=demand.seq,
                members=self._digest,
                longest_ms=longest_ms,
            ),
        )

    def take_back(self, peer, message):
        """Takes returned slots; returns the ``Upstream`` or None."""
        loan = self._given.get(message.loan)
        if loan is None or loan.borrower != peer:
            return None
        return self._end(loan)

    def expire(self, now_ms):
        """Ends loans that were never returned."""
        ended = [loan for loan in self._given.values() if loan.is_over(now_ms)]
        self._seen = {
            key: until_ms
            for key, until_ms in self._seen.items()
            if now_ms < until_ms
        }
        for loan in ended:
            self._end(loan)

    def forget(self, upstream):
        """Drops loans of an upstream that was not heard for long."""
        for loan in list(self._given.values()):
            if loan.upstream is upstream:
                self._end(loan)

    def _end(self, loan):
        del self._given[loan.loan]
        loan.upstream.lent -= loan.slots
        return loan.upstream
