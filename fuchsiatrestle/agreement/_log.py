"""Entries held in memory, after the ones a snapshot has replaced."""

from fuchsiatrestle import invariants

__all__ = ('Log',)


class Log:
    """Consecutive entries from ``first_index`` on.

    Args:
        base_index: index right before the first entry held.
        base_term: term of that index.
        entries: entries from ``base_index + 1`` on.
    """

    __slots__ = ('_entries', 'base_index', 'base_term')

    def __init__(self, base_index, base_term, entries):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def first_index(self):
        """Index of the first entry held."""
        return self.base_index + 1

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index):
        """Returns the term of an index, None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, first, last):
        """Returns the entries from ``first`` to ``last``, both included."""
        low = max(first - self.base_index - 1, 0)
        return self._entries[low : max(last - self.base_index, 0)]

    def batch(self, first, max_entries, max_bytes):
        """Returns entries from ``first`` on, within both bounds."""
        last = min(self.last_index, first + max_entries - 1)
        batch = []
        size = 0
        for entry in self.between(first, last):
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entry):
        """Adds the next entry."""
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

    def truncate(self, first_dropped):
        """Drops the entries from ``first_dropped`` on."""
        del self._entries[first_dropped - self.base_index - 1 :]

    def compact(self, index):
        """Drops the entries up to ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, base_index, base_term):
        """Starts over, empty, after ``base_index``."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries = []
