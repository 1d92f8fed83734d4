"""The thread that owns the data folder.

It makes all writes that are queued durable together.  As it is a thread of
its own, a slow disk delays acknowledgements but no heartbeat.
"""

import os
import queue
import threading

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle import errors
from fuchsiatrestle import metrics

__all__ = ('StorageThread',)

MAX_BATCH_EFFECTS = 256
JOIN_TIMEOUT_S = 10.0
# Number of syncs between two measurements of the folder's size.
SYNCS_PER_MEASUREMENT = 64

SYNCS = metrics.declare('storage.syncs', 'Batches of writes made durable.')
FOLDER_BYTES = metrics.declare(
    'storage.folder_bytes', 'Size of the files in the data folder, in bytes.'
)
WRITES = metrics.declare('storage.writes', 'Writes made durable.')


class StorageThread:
    """Carries out writes in order and reports when they are durable.

    Args:
        folder: the open ``agreement.DataFolder``; closed when the thread ends.
        report_event: called in this thread with ``agreement.WritesSynced``,
            ``SnapshotSaved`` or ``DataFolderFailed``; the last one ends the
            thread.
    """

    def __init__(self, folder, report_event):
        self._folder = folder
        self._sync_count = 0
        self._report_event = report_event
        # Effects to carry out, then None to end the thread.  The queue has no
        # limit of its own; the replica's limit on uncommitted log entries
        # bounds it.
        self._pending_effects = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name='storage', daemon=True
        )

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def put(self, effect):
        """Queues an effect for the storage thread.

        Args:
            effect: a ``PersistChanges``, ``RestoreSnapshot``,
                ``SaveSnapshot`` or ``RetireFolder``.
        """
        self._pending_effects.put(effect)

    def stop(self):
        """Carries out what is queued, closes the folder and ends the thread.

        Returns after ``JOIN_TIMEOUT_S`` even if the thread still runs.
        """
        self._pending_effects.put(None)
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        try:
            self._process_effects()
        except errors.Error as exc:
            self._report_event(_events.DataFolderFailed(exc))
        finally:
            self._folder.close()

    def _process_effects(self):
        while True:
            batch = self._take_batch()
            self._carry_out_batch(
                [effect for effect in batch if effect is not None]
            )
            if batch[-1] is None:
                return

    def _take_batch(self):
        """Waits for an effect; returns it with those queued behind it.

        A None, which only ``stop`` queues, ends the batch.
        """
        batch = [self._pending_effects.get()]
        while len(batch) < MAX_BATCH_EFFECTS and batch[-1] is not None:
            try:
                batch.append(self._pending_effects.get_nowait())
            except queue.Empty:
                break
        return batch

    def _carry_out_batch(self, batch):
        writes = []
        for effect in batch:
            if isinstance(effect, _events.SaveSnapshot):
                self._sync_writes(writes)
                writes = []
                self._folder.save_snapshot(effect.snapshot)
                self._report_event(_events.SnapshotSaved(effect.snapshot))
            elif isinstance(effect, _events.RetireFolder):
                self._folder.retire()
                raise errors.IdentityReplaced(
                    f'{self._folder.path}: the group has replaced this '
                    'replica, which may join again',
                    step='retire',
                )
            else:
                writes.append(effect)
        self._sync_writes(writes)

    def _measure_folder_if_due(self):
        """Sets the gauge of the folder's size if a measurement is due."""
        self._sync_count += 1
        if self._sync_count % SYNCS_PER_MEASUREMENT == 1:
            with os.scandir(self._folder.path) as dir_entries:
                total_bytes = sum(
                    dir_entry.stat().st_size for dir_entry in dir_entries
                )
            metrics.gauge(FOLDER_BYTES, total_bytes)

    def _sync_writes(self, writes):
        """Makes writes durable and reports the number of the last one."""
        if not writes:
            return
        write_id = self._folder.write_effects(writes)
        metrics.count(SYNCS)
        metrics.count(WRITES, len(writes))
        self._measure_folder_if_due()
        self._report_event(agreement.WritesSynced(write_id))
