"""Calls of other processes that wait for an answer."""

import collections

__all__ = ('CallTable', 'PendingRead')


class PendingRead:
    """Calls that wait for one confirmed read.

    Attributes:
        calls: list of ``Call``.
        index: log index that has to be applied first; None until confirmed.
    """

    __slots__ = ('calls', 'index')

    def __init__(self, calls):
        self.calls = calls
        self.index = None


class CallTable:
    """Proposals by token, then by log index; reads by token.

    A token stands for a proposal until it is accepted into the log, the pair
    of index and term from then on.
    """

    def __init__(self):
        self._last_token = 0
        self._proposed = {}
        self._accepted = {}
        self._reads = {}
        self._confirmed = collections.deque()

    def __len__(self):
        return len(self._proposed) + len(self._accepted) + len(self._reads)

    # Proposals

    def add_proposal(self, call):
        """Returns the token of a proposal; ``call`` may be anything."""
        self._last_token += 1
        self._proposed[self._last_token] = call
        return self._last_token

    def accept(self, token, index, term):
        """Binds a proposal to its place in the log."""
        call = self._proposed.pop(token, None)
        if call is not None:
            self._accepted[index] = (term, call)

    def reject(self, token):
        """Removes and returns what waits under a token, or None."""
        if token in self._proposed:
            return self._proposed.pop(token)
        return self._reads.pop(token, None)

    def settle(self, index):
        """Removes and returns (term, call) of a log index, or None."""
        return self._accepted.pop(index, None)

    def drain_accepted(self):
        """Removes and returns the calls whose fate is not known."""
        calls = [call for _, call in self._accepted.values()]
        self._accepted.clear()
        return calls

    # Reads

    def add_read(self, calls):
        """Returns the token of a read that serves all ``calls``."""
        self._last_token += 1
        self._reads[self._last_token] = PendingRead(calls)
        return self._last_token

    def confirm(self, token, index):
        """Notes that a read may be answered once ``index`` is applied."""
        read = self._reads.pop(token, None)
        if read is not None:
            read.index = index
            self._confirmed.append(read)

    def take_answerable(self, applied):
        """Removes and returns the calls whose read can be answered."""
        calls = []
        while self._confirmed and self._confirmed[0].index <= applied:
            calls.extend(self._confirmed.popleft().calls)
        return calls
