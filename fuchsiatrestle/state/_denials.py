"""Agreed denials of workflows, kept for a bounded time and number.

A caller who was told that a workflow is not accepted, or does not exist, must
not see it run later, when an older copy of the submission arrives late.
"""

import abc
import hashlib

__all__ = ('RETENTION_MS', 'DenialTable', 'make_key')

# Copies of a request arrive later than this only if a process stood still for
# as long.
RETENTION_MS = 900_000
# About 200 bytes of memory each.
MAX_ROWS = 10_000
# Callers choose the ids; longer ones are kept as digests.
MAX_KEY_CHARS = 64
DIGEST_BYTES = 16


def make_key(*texts):
    """Returns the key under which a denial is kept.

    Args:
        *texts: the id of the workflow, or several texts that stand for it.
    """
    if len(texts) == 1 and len(texts[0]) <= MAX_KEY_CHARS:
        return texts[0]
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in texts:
        encoded_text = text.encode()
        digest.update(b'%d:' % len(encoded_text) + encoded_text)
    # Longer than any key that is an id.
    return 'digest-of-long-id'.ljust(MAX_KEY_CHARS, '-') + digest.hexdigest()


class DenialTable(abc.ABC):
    """The denials that are kept, the oldest first.

    Args:
        rows: list of records with a ``workflow_id`` to start with, which is
            their key.
        dropped_ms: see the attribute.

    Attributes:
        dropped_ms: latest time of the denials that were dropped because there
            were too many, 0 for none.  Nobody knows whether a request up to
            that time was denied.
    """

    def __init__(self, rows=(), dropped_ms=0):
        self.dropped_ms = dropped_ms
        self._rows_by_key = {row.workflow_id: row for row in rows}

    @staticmethod
    @abc.abstractmethod
    def find_time_ms(row):
        """Returns the time of a denial, since the epoch."""

    def to_rows(self):
        """Returns the list of the rows, the oldest first."""
        return list(self._rows_by_key.values())

    def find(self, key):
        """Returns the row with a key, or None."""
        return self._rows_by_key.get(key)

    def may_be_dropped(self, submitted_ms):
        """True if the denial of a request may have been dropped.

        Args:
            submitted_ms: submission of the request, since the epoch.
        """
        return 0 < self.dropped_ms >= submitted_ms

    def put(self, row):
        """Adds a row as the newest one, in place of one with its key."""
        self._rows_by_key.pop(row.workflow_id, None)
        self._rows_by_key[row.workflow_id] = row
        if len(self._rows_by_key) > MAX_ROWS:
            oldest_row = self._pop_oldest()
            self.dropped_ms = max(
                self.dropped_ms, self.find_time_ms(oldest_row)
            )

    def remove_expired(self, now_ms):
        """Removes the denials made at least ``RETENTION_MS`` ago.

        Args:
            now_ms: agreed time, since the epoch.
        """
        while self._rows_by_key:
            oldest_row = next(iter(self._rows_by_key.values()))
            if self.find_time_ms(oldest_row) > now_ms - RETENTION_MS:
                return
            self._pop_oldest()

    def _pop_oldest(self):
        oldest_key = next(iter(self._rows_by_key))
        return self._rows_by_key.pop(oldest_key)
