"""Collects what is to be agreed next; one proposal is under way at a time.

What was learnt of images goes along with the rest and waits for it.
"""

from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _events

__all__ = ('Progress',)


class Progress:
    """Ends, losses, placements and workers that wait to be agreed."""

    def __init__(self):
        self._last_token = 0
        self._under_way = None
        self._workers = []
        self._ends = []
        self._lost = []
        self._placed = []
        self._learned = {}

    @property
    def is_idle(self):
        """True if nothing is under way."""
        return self._under_way is None

    def add_worker(self, record):
        """Registers a worker."""
        self._workers.append(record)

    def add_end(self, end):
        """Records an end."""
        self._ends.append(end)

    def add_lost(self, lost):
        """Records a run that is settled without an end."""
        self._lost.append(lost)

    def add_placed(self, live):
        """Places a run."""
        self._placed.append(live)

    def add_learned(self, pair):
        """Records what is believed of a pair of images."""
        self._learned[pair.serving, pair.filling] = pair

    def propose(self, wall_ms):
        """Returns the effects that have the collected items agreed."""
        items = (self._workers, self._ends, self._lost, self._placed)
        if not self.is_idle or not any(items):
            return []
        self._last_token += 1
        learned = list(self._learned.values())
        command = commands.RecordProgress(
            self._last_token, wall_ms, *items, learned
        )
        self._under_way = command
        self._workers, self._ends, self._lost, self._placed = [], [], [], []
        self._learned = {}
        return [_events.Propose(command)]

    def agreed(self, command):
        """Notes an agreed command, its own or that of another leader."""
        if self._under_way == command:
            self._under_way = None

    def take_back(self, token):
        """Collects a refused proposal again, but for its placements.

        Returns:
            The placements, which are to be decided again.
        """
        command = self._under_way
        if command is None or command.token != token:
            return []
        self._under_way = None
        self._workers = command.workers + self._workers
        self._ends = command.ends + self._ends
        self._lost = command.lost + self._lost
        return command.placed
