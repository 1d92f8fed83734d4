"""Writes on their way to disk and the messages that wait for them."""

import collections

from fuchsiatrestle.agreement import _events
from fuchsiatrestle import invariants

__all__ = ('WriteQueue',)


class _Pending:
    __slots__ = ('held', 'last_index', 'write_id')

    def __init__(self, write_id, last_index, held):
        self.write_id = write_id
        self.last_index = last_index
        self.held = held

    def hold(self, effects):
        """Adds effects; a later one takes the place of its like."""
        for effect in effects:
            self.held = [one for one in self.held if not _alike(one, effect)]
            self.held.append(effect)


def _alike(one, other):
    """True for two messages of a kind to a peer; the later says more."""
    same_kind = type(one.message) is type(other.message)
    return same_kind and one.peer == other.peer


class WriteQueue:
    """Collects the durable changes of one step into one ``Write``.

    Args:
        synced_index: last log index known to be durable.
    """

    __slots__ = (
        '_entries',
        '_hard_state',
        '_held',
        '_pending',
        '_snapshot',
        '_truncate_from',
        '_write_id',
        'synced_index',
    )

    def __init__(self, synced_index):
        self.synced_index = synced_index
        self._write_id = 0
        self._pending = collections.deque()
        self._clear()

    def _clear(self):
        self._hard_state = None
        self._truncate_from = None
        self._entries = []
        self._held = []
        self._snapshot = None

    @property
    def idle(self):
        """True if all that was asked for is durable."""
        return not self._pending

    @property
    def settled(self):
        """True if nothing waits for the disk, this step's changes included."""
        staged = self._hard_state is not None or self._entries
        return self.idle and not staged and self._truncate_from is None

    @property
    def held(self):
        """Number of messages that wait for the disk."""
        return sum(len(pending.held) for pending in self._pending)

    def knows(self, write_id):
        """Returns True if a write of this number was asked for."""
        return write_id <= self._write_id

    # Staging, within one step

    def stage_hard_state(self, hard_state):
        """Has the hard state written by this step."""
        self._hard_state = hard_state

    def stage_entry(self, entry):
        """Has one more entry appended by this step."""
        self._entries.append(entry)

    def stage_truncation(self, first_dropped):
        """Has the entries from ``first_dropped`` on dropped by this step."""
        invariants.require(
            not self._entries, 'truncate_before_append', at=first_dropped
        )
        self._truncate_from = first_dropped
        self._cap(first_dropped - 1)

    def _cap(self, kept):
        self.synced_index = min(self.synced_index, kept)
        for pending in self._pending:
            pending.last_index = min(pending.last_index, kept)

    def stage_snapshot(self, snapshot):
        """Has a snapshot installed by this step."""
        self._snapshot = snapshot
        self._cap(snapshot.last_index)

    def hold(self, effect):
        """Delays an effect until all that was staged so far is durable."""
        self._held.append(effect)

    # Ends of a step and of a write

    def flush(self, last_index):
        """Returns the effects of the staged changes.

        Args:
            last_index: last log index after the step.
        """
        effects = self._staged_effects()
        if effects:
            pending = _Pending(self._write_id, last_index, self._held)
            self._pending.append(pending)
        elif self._pending:
            self._pending[-1].hold(self._held)
        else:
            effects = self._held
        self._clear()
        return effects

    def _staged_effects(self):
        effects = []
        if self._snapshot is not None:
            self._write_id += 1
            effects.append(_events.Restore(self._write_id, self._snapshot))
        staged = self._hard_state is not None or self._entries
        if staged or self._truncate_from is not None:
            self._write_id += 1
            effects.append(
                _events.Write(
                    self._write_id,
                    self._hard_state,
                    self._truncate_from,
                    self._entries,
                )
            )
        return effects

    def settle(self, write_id):
        """Marks writes as durable; returns the effects that waited."""
        invariants.require(
            self.knows(write_id), 'synced_known', write_id=write_id
        )
        released = []
        while self._pending and self._pending[0].write_id <= write_id:
            pending = self._pending.popleft()
            self.synced_index = max(self.synced_index, pending.last_index)
            released.extend(pending.held)
        return released
