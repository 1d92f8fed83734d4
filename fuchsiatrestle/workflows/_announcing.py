"""Follows workers through what they say of themselves."""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _runs

__all__ = ('Announcing',)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class Announcing:
    """Takes announcements, withdrawals and new lives of workers.

    Args:
        book: ``Book``.
    """

    def __init__(self, book):
        self._book = book

    def announced(self, event):
        """Takes an announcement; older ones than known are dropped."""
        said = event.announcement
        worker = self._book.fleet.get(said.worker)
        if worker is None:
            worker = self._add_worker(_fleet.describe(said))
        elif said.born_ms > worker.record.born_ms:
            worker = self.replace(worker, _fleet.describe(said))
        elif said.born_ms < worker.record.born_ms:
            return
        elif said.sequence <= worker.sequence:
            return
        self._note_change(worker, said)
        worker.sequence = said.sequence
        if not worker.runs:
            # No order is under way that could be answered.
            worker.failures = 0
        worker.heard_ms = self._book.now_ms
        worker.clock.note(said.clock_ms, self._book.now_ms)
        self._book.dirty = True

    def _note_change(self, worker, said):
        if worker.state != said.state:
            LOG.info(
                'worker_state',
                extra={
                    'worker': said.worker,
                    'state': said.state,
                    'sequence': said.sequence,
                    'runs': len(worker.runs),
                },
            )
            worker.state = said.state
        newest = msgspec.structs.replace(
            _fleet.describe(said), ends_noted=worker.record.ends_noted
        )
        if newest != worker.record:
            worker.change_record(newest)
            self._book.register(worker)

    def _add_worker(self, record):
        worker = self._book.fleet.add(record)
        LOG.info(
            'worker_found',
            extra={
                'worker': record.worker,
                'born_ms': record.born_ms,
                'pool': record.pool,
                'address': record.address,
            },
        )
        self._book.register(worker)
        return worker

    def replace(self, old, record):
        """Follows a worker into its next life, where it runs nothing."""
        LOG.warning(
            'worker_reborn',
            extra={
                'worker': old.name,
                'born_ms': record.born_ms,
                'before_ms': old.record.born_ms,
                'runs': len(old.runs),
            },
        )
        worker = self._add_worker(record)
        for run in list(old.runs.values()):
            if run.phase == _Phase.PLACED:
                # Its start is sent to the next life or refused when agreed.
                worker.add(run)
            elif run.unsure or run.adopted:
                # A late start may still arrive: have it refused first.
                run.phase = _Phase.STOPPING
                run.calling = False
                run.stopped_ms = None
                worker.add(run)
            else:
                self._book.lose(old, run, 'worker_reborn')
        return worker

    def withdrawn(self, event):
        """Notes that a worker leaves at once."""
        worker = self._book.fleet.get(event.worker)
        if worker is None:
            return
        LOG.info('worker_withdrawn', extra={'worker': worker.name})
        worker.state = 'withdrawn'
        worker.withdrawn_ms = self._book.now_ms
