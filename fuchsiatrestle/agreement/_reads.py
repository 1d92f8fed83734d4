"""Queue of linearizable reads (Raft's ReadIndex)."""

__all__ = ('ReadQueue',)


class ReadQueue:
    """Batches linearizable reads and binds them to heartbeat rounds.

    A read is confirmed once a quorum has answered a round that started after
    the read arrived.  This proves that no other leader had been elected
    before the read arrived, so the commit index at the start of the round
    covers every entry that was committed by then.
    """

    __slots__ = ('_rounds_with_reads', '_waiting_tokens')

    def __init__(self):
        self._waiting_tokens = []
        # (round number, commit index, tokens) of each round that carries
        # reads, oldest first.
        self._rounds_with_reads = []

    def __len__(self):
        return len(self._waiting_tokens) + sum(
            len(round_reads[2]) for round_reads in self._rounds_with_reads
        )

    @property
    def needs_round(self):
        """True if reads wait and no started round has unconfirmed reads."""
        return bool(self._waiting_tokens) and not self._rounds_with_reads

    def add_read(self, token):
        """Adds a read, to be bound to the next round."""
        self._waiting_tokens.append(token)

    def start_round(self, round_number, commit_index):
        """Binds the waiting reads to a round that starts now.

        Args:
            round_number: number of the heartbeat round.
            commit_index: commit index at the start of the round.
        """
        if self._waiting_tokens:
            self._rounds_with_reads.append(
                (round_number, commit_index, self._waiting_tokens)
            )
            self._waiting_tokens = []

    def take_confirmed_reads(self, confirmed_round):
        """Removes the reads that a quorum has confirmed.

        Args:
            confirmed_round: newest round that a quorum has answered.

        Returns:
            A list of (token, commit index) pairs; a read may be answered once
            its commit index is applied.
        """
        confirmed_reads = []
        while (
            self._rounds_with_reads
            and self._rounds_with_reads[0][0] <= confirmed_round
        ):
            _, commit_index, tokens = self._rounds_with_reads.pop(0)
            confirmed_reads.extend((token, commit_index) for token in tokens)
        return confirmed_reads

    def drain_tokens(self):
        """Removes all reads and returns their tokens."""
        tokens = [
            token
            for round_reads in self._rounds_with_reads
            for token in round_reads[2]
        ]
        tokens += self._waiting_tokens
        self._rounds_with_reads = []
        self._waiting_tokens = []
        return tokens
