"""Reads waiting for a heartbeat round that a quorum answers."""

__all__ = ('ReadQueue',)


class ReadQueue:
    """Linearizable reads, confirmed in batches.

    A read waits until a round that started after it has been answered by a
    quorum; only then was no other leader elected before the read arrived.
    """

    __slots__ = ('_open', '_waiting')

    def __init__(self):
        self._waiting = []
        self._open = []

    def __len__(self):
        return len(self._waiting) + sum(len(one[2]) for one in self._open)

    @property
    def wants_round(self):
        """True if reads wait and no round is under way."""
        return bool(self._waiting) and not self._open

    def add(self, token):
        """Adds a read."""
        self._waiting.append(token)

    def start_round(self, number, commit):
        """Binds the waiting reads to a round that starts now."""
        if self._waiting:
            self._open.append((number, commit, self._waiting))
            self._waiting = []

    def confirm(self, number):
        """Returns (token, index) of the reads whose round is confirmed."""
        ready = []
        while self._open and self._open[0][0] <= number:
            _, commit, tokens = self._open.pop(0)
            ready.extend((token, commit) for token in tokens)
        return ready

    def drain(self):
        """Returns the tokens of all reads and forgets them."""
        tokens = [token for one in self._open for token in one[2]]
        tokens += self._waiting
        self._open = []
        self._waiting = []
        return tokens
