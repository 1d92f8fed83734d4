"""Slots of an upstream that are lent to or borrowed from other entries."""

__all__ = ('BorrowedSlots', 'LentSlots')


class LentSlots:
    """Slots that this entry lent and does not use until the loan has ended.

    Attributes:
        loan_number: number of the loan, unique among the loans of this entry.
        borrower: name of the borrowing entry.
        upstream: the ``Upstream``.
        slots: number of slots.
        term_end_ms: time from which the borrower starts no more requests,
            with allowance for a difference between the two clocks.
        longest_request_ms: longest time that a request started on the slots
            may take.
    """

    __slots__ = (
        'borrower',
        'loan_number',
        'longest_request_ms',
        'slots',
        'term_end_ms',
        'upstream',
    )

    def __init__(
        self,
        loan_number,
        borrower,
        upstream,
        slots,
        term_end_ms,
        longest_request_ms,
    ):
        self.loan_number = loan_number
        self.borrower = borrower
        self.upstream = upstream
        self.slots = slots
        self.term_end_ms = term_end_ms
        self.longest_request_ms = longest_request_ms

    def has_ended(self, now_ms):
        """Tells whether every request on the slots must have ended."""
        return (
            now_ms >= self.term_end_ms
            and self.upstream.continuity.have_requests_ended(
                self.term_end_ms, self.longest_request_ms
            )
        )


class BorrowedSlots:
    """Slots that this entry borrowed.

    Attributes:
        loan_number: number that the lender gave the loan.
        lender: name of the lending entry.
        slots: number of slots.
        term_end_ms: time from which no request may be started on them.
        longest_request_ms: longest time that a request started on the slots
            may take.
    """

    __slots__ = (
        'lender',
        'loan_number',
        'longest_request_ms',
        'slots',
        'term_end_ms',
    )

    def __init__(
        self, loan_number, lender, slots, term_end_ms, longest_request_ms
    ):
        self.loan_number = loan_number
        self.lender = lender
        self.slots = slots
        self.term_end_ms = term_end_ms
        self.longest_request_ms = longest_request_ms
