"""Slots lent to and borrowed from other entries."""

__all__ = ('GivenLoan', 'TakenLoan')


class GivenLoan:
    """Slots this entry lent; it does not use them until they are back.

    Attributes:
        loan: number unique to this process.
        borrower: name of the borrowing entry.
        upstream: the ``Upstream``.
        slots: number of slots.
        until_ms: when the term has ended by any clock.
        longest_ms: longest request that may have been started on them.
    """

    __slots__ = (
        'borrower',
        'loan',
        'longest_ms',
        'slots',
        'until_ms',
        'upstream',
    )

    def __init__(self, loan, borrower, upstream, slots, until_ms, longest_ms):
        self.loan = loan
        self.borrower = borrower
        self.upstream = upstream
        self.slots = slots
        self.until_ms = until_ms
        self.longest_ms = longest_ms

    def is_over(self, now_ms):
        """True if every request on the slots must have ended."""
        return now_ms >= self.until_ms and self.upstream.steadiness.is_over(
            self.until_ms, self.longest_ms
        )


class TakenLoan:
    """Slots this entry borrowed.

    Attributes:
        loan: the lender's number.
        lender: name of the lending entry.
        slots: number of slots.
        until_ms: no request is started on them from then on.
        longest_ms: longest request that may be started on them.
    """

    __slots__ = ('lender', 'loan', 'longest_ms', 'slots', 'until_ms')

    def __init__(self, loan, lender, slots, until_ms, longest_ms):
        self.loan = loan
        self.lender = lender
        self.slots = slots
        self.until_ms = until_ms
        self.longest_ms = longest_ms
