"""The thread that owns the data folder.

It takes all writes that wait and makes them durable together, so that a slow
disk delays acknowledgements but never a heartbeat.
"""

import os
import queue
import threading

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle import errors
from fuchsiatrestle import metrics

__all__ = ('StorageThread',)

MAX_BATCH = 256
JOIN_TIMEOUT_S = 10.0
SYNCS_A_MEASUREMENT = 64

SYNCS = metrics.declare('storage.syncs', 'Batches of writes made durable.')
FOLDER_BYTES = metrics.declare(
    'storage.folder_bytes', 'Size of the files in the data folder, in bytes.'
)
WRITES = metrics.declare('storage.writes', 'Writes made durable.')


class StorageThread:
    """Carries out writes in order and reports on them.

    Args:
        folder: the open ``agreement.DataFolder``.
        report: called in this thread with ``agreement.Synced``,
            ``SnapshotSaved`` or ``StorageBroken``.
    """

    def __init__(self, folder, report):
        self._folder = folder
        self._syncs = 0
        self._report = report
        # Bounded by what the replica lets be uncommitted.
        self._waiting = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, name='storage', daemon=True
        )

    def start(self):
        """Starts the thread."""
        self._thread.start()

    def put(self, effect):
        """Adds a ``Write``, ``Restore`` or ``SaveSnapshot``."""
        self._waiting.put(effect)

    def stop(self):
        """Finishes what waits, closes the folder and ends the thread."""
        self._waiting.put(None)
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self):
        try:
            self._work()
        except errors.Error as exc:
            self._report(_events.StorageBroken(exc))
        finally:
            self._folder.close()

    def _work(self):
        while True:
            batch = self._take_batch()
            self._carry_out([item for item in batch if item is not None])
            if batch[-1] is None:
                return

    def _take_batch(self):
        batch = [self._waiting.get()]
        while len(batch) < MAX_BATCH and batch[-1] is not None:
            try:
                batch.append(self._waiting.get_nowait())
            except queue.Empty:
                break
        return batch

    def _carry_out(self, batch):
        writes = []
        for item in batch:
            if isinstance(item, _events.SaveSnapshot):
                self._write(writes)
                writes = []
                self._folder.save_snapshot(item.snapshot)
                self._report(_events.SnapshotSaved(item.snapshot))
            else:
                writes.append(item)
        self._write(writes)

    def _measure_folder(self):
        """Sets the gauge of the folder's size, once in many syncs."""
        self._syncs += 1
        if self._syncs % SYNCS_A_MEASUREMENT == 1:
            with os.scandir(self._folder.path) as found:
                total = sum(one.stat().st_size for one in found)
            metrics.gauge(FOLDER_BYTES, total)

    def _write(self, writes):
        if not writes:
            return
        write_id = self._folder.carry_out(writes)
        metrics.count(SYNCS)
        metrics.count(WRITES, len(writes))
        self._measure_folder()
        self._report(agreement.Synced(write_id))
