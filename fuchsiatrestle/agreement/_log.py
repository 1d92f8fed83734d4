"""Log entries in memory, without those that a snapshot replaced."""

from fuchsiatrestle import invariants

__all__ = ('Log',)


class Log:
    """Consecutive log entries in memory.

    Args:
        base_index: index right before the first entry in memory.
        base_term: term of the entry at that index.
        entries: entries from ``base_index + 1`` on.

    Attributes:
        base_index: index right before the first entry in memory.
        base_term: term of the entry at that index.
    """

    __slots__ = ('_entries', 'base_index', 'base_term')

    def __init__(self, base_index, base_term, entries):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def first_index(self):
        """Index of the first entry in memory."""
        return self.base_index + 1

    @property
    def last_index(self):
        """Index of the last entry, ``base_index`` if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry, ``base_term`` if there is none."""
        return self.term_at(self.last_index)

    def term_at(self, index):
        """Returns the term of the entry at an index, None if unknown."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entries_between(self, first_index, last_index):
        """Returns the entries from the first to the last index, inclusive."""
        start = max(first_index - self.base_index - 1, 0)
        return self._entries[start : max(last_index - self.base_index, 0)]

    def select_append_batch(self, first_index, max_entries, max_bytes):
        """Returns entries for one append, from ``first_index`` on.

        Args:
            first_index: index of the first entry.
            max_entries: limit of the number of entries.
            max_bytes: limit of the size of their data, in bytes; a larger
                first entry is returned alone.
        """
        last_index = min(self.last_index, first_index + max_entries - 1)
        batch = []
        size_bytes = 0
        for entry in self.entries_between(first_index, last_index):
            size_bytes += len(entry.data)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entry):
        """Appends the next entry."""
        invariants.require(
            entry.index == self.last_index + 1,
            'log_contiguous',
            index=entry.index,
            last=self.last_index,
        )
        invariants.require(
            entry.term >= self.last_term,
            'log_term_ascending',
            term=entry.term,
            last=self.last_term,
        )
        self._entries.append(entry)

    def truncate(self, first_dropped_index):
        """Drops the entries from ``first_dropped_index`` on."""
        del self._entries[first_dropped_index - self.base_index - 1 :]

    def find_kept_base(self, last_index, max_entries, max_bytes):
        """Returns the index before the entries to keep up to ``last_index``.

        Args:
            last_index: index of the last entry that may be dropped.
            max_entries: maximum number of entries to keep.
            max_bytes: maximum size of their data, in bytes.
        """
        index = last_index
        first_index = max(last_index - max_entries, self.base_index)
        while index > first_index:
            max_bytes -= len(self._entries[index - self.base_index - 1].data)
            if max_bytes < 0:
                break
            index -= 1
        return index

    def compact(self, index):
        """Drops the entries up to ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, base_index, base_term):
        """Drops all entries and continues after ``base_index``."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries = []
