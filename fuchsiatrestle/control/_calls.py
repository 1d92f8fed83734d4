"""Calls that wait for ``agreement.Replica`` before they can be answered."""

import collections

__all__ = ('CallTable', 'PendingRead')


class PendingRead:
    """Calls that share one linearizable read.

    Attributes:
        calls: list of ``Call`` and ``SendWhenConfirmed``.
        read_index: log index that has to be applied before the calls are
            answered; None until a quorum has confirmed that this replica
            leads.
    """

    __slots__ = ('calls', 'read_index')

    def __init__(self, calls):
        self.calls = calls
        self.read_index = None


class CallTable:
    """Maps proposals and reads in progress to the calls that wait for them.

    A proposal is found by its token until it is accepted into the log, and by
    its log index from then on.  The term of the log entry is kept with it:
    after a change of leader, another entry may be committed at that index.
    """

    def __init__(self):
        self._last_token = 0
        self._proposals_by_token = {}
        # (term, call) by index of the log entry.
        self._accepted_by_index = {}
        self._unconfirmed_reads_by_token = {}
        self._confirmed_reads = collections.deque()

    def __len__(self):
        return (
            len(self._proposals_by_token)
            + len(self._accepted_by_index)
            + len(self._unconfirmed_reads_by_token)
        )

    # Proposals

    def add_proposal(self, call):
        """Registers a proposal.

        Args:
            call: what ``remove_rejected_operation``,
                ``take_accepted_proposal`` or ``drain_accepted_calls`` returns
                later; not inspected here.

        Returns:
            The token of the proposal.
        """
        self._last_token += 1
        self._proposals_by_token[self._last_token] = call
        return self._last_token

    def accept_proposal(self, token, index, term):
        """Records index and term of the log entry that holds a proposal."""
        call = self._proposals_by_token.pop(token, None)
        if call is not None:
            self._accepted_by_index[index] = (term, call)

    def remove_rejected_operation(self, token):
        """Removes a proposal that was not accepted, or an unconfirmed read.

        Returns:
            The call of the proposal, the ``PendingRead``, or None if the token
            is not known.
        """
        if token in self._proposals_by_token:
            return self._proposals_by_token.pop(token)
        return self._unconfirmed_reads_by_token.pop(token, None)

    def take_accepted_proposal(self, index):
        """Removes the proposal accepted at a log index.

        Returns:
            A pair (term, call), or None if no call waits for that index.
        """
        return self._accepted_by_index.pop(index, None)

    def drain_accepted_calls(self):
        """Removes all accepted proposals, which may still be committed.

        Returns:
            A list of their calls.
        """
        calls = [call for _, call in self._accepted_by_index.values()]
        self._accepted_by_index.clear()
        return calls

    # Reads

    def add_read(self, calls):
        """Registers one read that all ``calls`` wait for.

        Returns:
            The token of the read.
        """
        self._last_token += 1
        self._unconfirmed_reads_by_token[self._last_token] = PendingRead(calls)
        return self._last_token

    def confirm_read(self, token, read_index):
        """Records that a quorum has confirmed a read.

        Args:
            token: token of the read; ignored if not known.
            read_index: log index that has to be applied before the calls that
                wait for the read are answered.
        """
        pending_read = self._unconfirmed_reads_by_token.pop(token, None)
        if pending_read is not None:
            pending_read.read_index = read_index
            self._confirmed_reads.append(pending_read)

    def take_answerable_calls(self, applied_index):
        """Removes the confirmed reads whose index is applied.

        Returns:
            A list of their calls, in the order in which the reads were
            confirmed.
        """
        calls = []
        while (
            self._confirmed_reads
            and self._confirmed_reads[0].read_index <= applied_index
        ):
            calls.extend(self._confirmed_reads.popleft().calls)
        return calls
