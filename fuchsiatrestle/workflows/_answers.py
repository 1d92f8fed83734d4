"""Draws the conclusions from workers' answers to orders."""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _runs

__all__ = ('Answers',)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase
_Verdict = _events.Verdict
# The worker did not do what was asked and says so.
_REFUSALS = (
    _Verdict.NO_ROOM,
    _Verdict.NO_TICKET,
    _Verdict.UNHEALTHY,
    _Verdict.INVALID,
)


class Answers:
    """Takes answers; a silence settles nothing.

    Args:
        book: ``Book``.
        announcing: ``Announcing``, told of new lives that show in answers.
        interference: ``Interference``, learns from the tails listed.
    """

    def __init__(self, book, announcing, interference):
        self._book = book
        self._announcing = announcing
        self._interference = interference
        self._handlers = {
            _events.StartRun: self._on_start,
            _events.StopRun: self._on_stop,
            _events.PaceRun: self._on_pace,
        }

    def take(self, event):
        """Handles an ``Answered``; returns the worker or None."""
        order, reply = event.order, event.reply
        worker = self._book.fleet.get(order.worker)
        if worker is None or worker.record.address != order.address:
            return None
        if reply.verdict == _Verdict.SILENT:
            wait_ms = worker.note_silence(self._book.now_ms)
        else:
            wait_ms = 0
            worker.note_answer()
            worker.clock.note(reply.clock_ms, self._book.now_ms)
        if 0 < reply.born_ms < worker.record.born_ms:
            return None
        if reply.born_ms > worker.record.born_ms:
            worker.looking = False
            record = msgspec.structs.replace(
                worker.record, born_ms=reply.born_ms, ends_noted=0
            )
            worker = self._announcing.replace(worker, record)
        elif reply.verdict == _Verdict.OTHER_LIFE:
            worker.looking = False
            worker.rest(self._book.now_ms)
            self._book.lose_all(worker, 'other_worker_there')
        elif isinstance(order, _events.LookAt):
            self._on_look(worker, order, reply, wait_ms)
        else:
            self._on_run_order(worker, order, reply, wait_ms)
        return worker

    def _on_run_order(self, worker, order, reply, wait_ms):
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.calling = False
        self._handlers[type(order)](worker, run, order, reply, wait_ms)

    def _on_start(self, worker, run, order, reply, wait_ms):
        verdict = reply.verdict
        if verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            run.started_ms = self._book.now_ms
            if run.phase == _Phase.STARTING:
                run.phase = _Phase.RUNNING
        elif verdict == _Verdict.SILENT:
            run.unsure = True
            run.retry_ms = self._book.now_ms + wait_ms
        elif verdict in _REFUSALS:
            worker.rest(self._book.now_ms)
            self._start_refused(worker, run, verdict)
        elif verdict == _Verdict.FENCED:
            run.retry_ms = self._book.now_ms + _fleet.RETRY_MAX_MS
        self._book.log_run('run_start_answered', run, verdict=verdict)

    def _start_refused(self, worker, run, verdict):
        if run.unsure or run.adopted:
            run.phase = _Phase.STOPPING
        else:
            self._book.lose(worker, run, verdict)

    def _on_stop(self, worker, run, order, reply, wait_ms):
        if reply.verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            run.stopped_ms = self._book.now_ms
            worker.look_ms = self._book.now_ms
        else:
            wait_ms = wait_ms or _fleet.RETRY_MIN_MS
            run.retry_ms = self._book.now_ms + wait_ms
        self._book.log_run('run_stop_answered', run, verdict=reply.verdict)

    def _on_pace(self, worker, run, order, reply, wait_ms):
        if reply.verdict == _Verdict.ACCEPTED:
            run.pace = order.percent
        else:
            run.retry_ms = self._book.now_ms + (wait_ms or _fleet.RETRY_MIN_MS)

    def _on_look(self, worker, order, reply, wait_ms):
        worker.looking = False
        if reply.verdict != _Verdict.ACCEPTED:
            worker.look_ms = self._book.now_ms + (
                wait_ms or _fleet.RETRY_MAX_MS
            )
            return
        worker.look_ms = self._book.now_ms
        worker.ends_told = max(worker.ends_told, order.ends_noted)
        if not worker.fenced:
            worker.fenced = True
            worker.clock.fence(self._book.now_ms)
        listed = set()
        for row in reply.running:
            listed.add((row.task, row.run))
            self._note_running(worker, row)
        for row in reply.ends:
            listed.add((row.task, row.run))
            self._note_end(worker, row)
        for run in list(worker.runs.values()):
            if run.key not in listed:
                self._note_absent(worker, run)
        self._control_pace(worker)

    def _note_running(self, worker, row):
        run = worker.runs.get((row.task, row.run))
        if run is None:
            run = self._meet_stray(worker, row)
        if run.phase == _Phase.STARTING:
            run.phase = _Phase.RUNNING
            run.started_ms = self._book.now_ms
        run.checkpoint = row.checkpoint or run.checkpoint
        run.percent = row.percent
        run.figure = row.figure

    def _meet_stray(self, worker, row):
        """Takes on a run that is there but not expected, to be stopped."""
        live = workflows.LiveRun(
            row.task, row.run, worker.name, worker.record.born_ms
        )
        run = _runs.Run(live, self._book.step_of(row.task), _Phase.STOPPING)
        run.unsure = True
        worker.add(run)
        self._book.log_run('run_stray', run, warn=True)
        return run

    def _note_end(self, worker, row):
        run = worker.drop((row.task, row.run))
        if row.number <= worker.ends_taken:
            return
        worker.ends_taken = row.number
        self._book.dirty = True
        self._book.progress.add_end(
            commands.RunEnd(
                worker.name,
                worker.record.born_ms,
                row.number,
                row.task,
                row.run,
                row.how,
                row.checkpoint or (run.checkpoint if run else ''),
            )
        )
        LOG.info(
            'run_ended',
            extra={
                'workflow': row.task.workflow_id,
                'task': _runs.task_text(row.task),
                'run': row.run,
                'worker': worker.name,
                'how': row.how,
                'number': row.number,
            },
        )

    def _note_absent(self, worker, run):
        if run.phase == _Phase.PLACED:
            return
        looked_ms = worker.looked_ms
        if run.started_ms is not None and run.started_ms < looked_ms:
            self._book.lose(worker, run, 'not_there')
        elif run.stopped_ms is not None and run.stopped_ms < looked_ms:
            self._book.lose(worker, run, 'stopped_unstarted')

    def _control_pace(self, worker):
        running = [
            run
            for run in worker.runs.values()
            if run.phase == _Phase.RUNNING and run.step is not None
        ]
        if worker.pacing is None:
            worker.pacing = _pacing.PaceControl(
                self._interference, worker.name
            )
        for run in worker.pacing.observe(
            running, worker.record.cpu, self._book.now_ms
        ):
            self._book.stop(run, 'disturbs')
