"""Queue of durable writes and of the messages that wait for them."""

import collections

from fuchsiatrestle.agreement import _events
from fuchsiatrestle import invariants

__all__ = ('WriteQueue',)


class _PendingWrite:
    """A write that storage has not yet reported as durable.

    Attributes:
        write_id: number of the write.
        last_index: last log index that is durable once this write is.
        sends: ``SendToPeer`` effects to emit once it is durable.
    """

    __slots__ = ('last_index', 'sends', 'write_id')

    def __init__(self, write_id, last_index, sends):
        self.write_id = write_id
        self.last_index = last_index
        self.sends = sends

    def add_held_sends(self, new_send_effects):
        """Adds ``SendToPeer`` effects to hold until this write is durable.

        Earlier ones that they supersede are dropped.
        """
        for new_send in new_send_effects:
            self.sends = [
                send
                for send in self.sends
                if not _is_superseded(send, new_send)
            ]
            self.sends.append(new_send)


def _is_superseded(earlier, later):
    """Returns True if both messages have the same type and receiver.

    The later one then makes the earlier one redundant, so that a slow disk
    does not pile up messages.
    """
    same_type = type(earlier.message) is type(later.message)
    return same_type and earlier.peer == later.peer


class WriteQueue:
    """Collects the changes of one step and tracks what is durable.

    Changes are staged during a step and written by one ``PersistChanges`` at
    its end.  Messages that depend on them are held back until the write is
    durable.

    Args:
        synced_index: last log index that is durable at the start.

    Attributes:
        synced_index: last log index known to be durable.
    """

    __slots__ = (
        '_entries',
        '_hard_state',
        '_held_sends',
        '_pending_writes',
        '_snapshot',
        '_truncate_from',
        '_last_write_id',
        'synced_index',
    )

    def __init__(self, synced_index):
        self.synced_index = synced_index
        self._last_write_id = 0
        self._pending_writes = collections.deque()
        self._clear_staged_changes()

    def _clear_staged_changes(self):
        self._hard_state = None
        self._truncate_from = None
        self._entries = []
        self._held_sends = []
        self._snapshot = None

    @property
    def requested_writes_durable(self):
        """True if every write requested in earlier steps is durable."""
        return not self._pending_writes

    @property
    def all_durable(self):
        """True if no write is pending and this step staged none.

        A snapshot staged in this step is not taken into account.
        """
        has_staged_changes = self._hard_state is not None or self._entries
        return (
            self.requested_writes_durable
            and not has_staged_changes
            and self._truncate_from is None
        )

    @property
    def held_send_count(self):
        """Number of messages held back by writes that are not durable."""
        return sum(len(pending.sends) for pending in self._pending_writes)

    def has_issued_write(self, write_id):
        """Returns True if a write with this number was requested."""
        return write_id <= self._last_write_id

    # Staging within a step

    def stage_hard_state(self, hard_state):
        """Stages a ``HardState`` for the write of this step."""
        self._hard_state = hard_state

    def stage_entry(self, entry):
        """Stages an entry to append with the write of this step."""
        self._entries.append(entry)

    def stage_truncation(self, first_dropped_index):
        """Stages dropping the entries from ``first_dropped_index`` on."""
        invariants.require(
            not self._entries, 'truncate_before_append', at=first_dropped_index
        )
        self._truncate_from = first_dropped_index
        self._limit_durable_index(first_dropped_index - 1)

    def _limit_durable_index(self, last_kept_index):
        """Keeps indexes above ``last_kept_index`` from counting as durable.

        This also covers the entries of writes that are still pending.
        """
        self.synced_index = min(self.synced_index, last_kept_index)
        for pending in self._pending_writes:
            pending.last_index = min(pending.last_index, last_kept_index)

    def stage_snapshot(self, snapshot):
        """Stages the installation of a snapshot."""
        self._snapshot = snapshot
        self._limit_durable_index(snapshot.last_index)

    def hold_send(self, send):
        """Holds a ``SendToPeer`` back until the changes before it are durable.

        These changes are the writes requested in earlier steps and all
        changes of this step.
        """
        self._held_sends.append(send)

    # Completion of a step and of a write

    def flush(self, last_index):
        """Ends a step and returns the effects that write its changes.

        The messages held back in this step wait for that write, or for the
        last pending one if no change is staged.  If no write is pending
        either, they are returned as effects.

        Args:
            last_index: last log index after the step.
        """
        effects = self._make_staged_effects()
        if effects:
            pending = _PendingWrite(
                self._last_write_id, last_index, self._held_sends
            )
            self._pending_writes.append(pending)
        elif self._pending_writes:
            self._pending_writes[-1].add_held_sends(self._held_sends)
        else:
            effects = self._held_sends
        self._clear_staged_changes()
        return effects

    def _make_staged_effects(self):
        effects = []
        if self._snapshot is not None:
            self._last_write_id += 1
            effects.append(
                _events.RestoreSnapshot(self._last_write_id, self._snapshot)
            )
        has_staged_changes = self._hard_state is not None or self._entries
        if has_staged_changes or self._truncate_from is not None:
            self._last_write_id += 1
            effects.append(
                _events.PersistChanges(
                    self._last_write_id,
                    self._hard_state,
                    self._truncate_from,
                    self._entries,
                )
            )
        return effects

    def mark_durable(self, write_id):
        """Marks all writes up to a number as durable.

        Args:
            write_id: number that storage reported by ``WritesSynced``.

        Returns:
            The ``SendToPeer`` effects that were held back by these writes.
        """
        invariants.require(
            self.has_issued_write(write_id), 'synced_known', write_id=write_id
        )
        released_sends = []
        while (
            self._pending_writes
            and self._pending_writes[0].write_id <= write_id
        ):
            pending = self._pending_writes.popleft()
            self.synced_index = max(self.synced_index, pending.last_index)
            released_sends.extend(pending.sends)
        return released_sends
