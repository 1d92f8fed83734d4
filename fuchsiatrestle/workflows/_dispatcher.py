"""The core that turns agreed workflows into orders for workers."""

import msgspec

from fuchsiatrestle import core
from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _orders
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _progress

__all__ = ('Dispatcher',)

# A worker that withdrew ends its process within this time.
LEAVING_MS = 500

LOG = logs.get_logger(__name__)

_Phase = _fleet.Phase
_Verdict = _events.Verdict
# The worker did not do what was asked and says so.
_REFUSALS = (
    _Verdict.NO_ROOM,
    _Verdict.NO_TICKET,
    _Verdict.UNHEALTHY,
    _Verdict.INVALID,
)


class Dispatcher(core.Core):
    """Places, starts, watches and settles runs while its replica leads.

    Args:
        part: the state part with the workflows, read only.
        token: fencing token, higher than that of every earlier leader.
        timing: ``Timing``.
        now_ms: monotonic time.
        placer: ``Placer``, by default the best fit.
    """

    def __init__(self, part, token, timing, now_ms, placer=None):
        self._part = part
        self._timing = timing
        self._interference = _interference.Interference()
        self._placer = placer or _placement.BestFit(self._interference)
        self._fleet = _fleet.Fleet(timing)
        self._backlog = _backlog.Backlog(part)
        self._progress = _progress.Progress()
        self._orders = _orders.OrderBook(part, token, timing)
        self._now_ms = now_ms
        self._wall_ms = 0
        self._wall_read_ms = now_ms
        self._dirty = True
        self._effects = []
        self._handlers = {
            _events.Tick: self._on_tick,
            _events.Announced: self._on_announced,
            _events.Withdrawn: self._on_withdrawn,
            _events.Answered: self._on_answered,
            _events.Applied: self._on_applied,
            _events.Rejected: self._on_rejected,
        }
        self._answered = {
            _events.StartRun: self._on_start_answered,
            _events.StopRun: self._on_stop_answered,
            _events.PaceRun: self._on_pace_answered,
            _events.LookAt: self._on_look_answered,
        }
        self._applied = {
            commands.SubmitWorkflow: self._on_submitted,
            commands.CancelWorkflow: self._on_cancelled,
            commands.RecordProgress: self._on_progress,
        }
        self._adopt_all()

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        self._now_ms = now_ms
        self._handlers[type(event)](event)
        if self._dirty and self._progress.is_idle:
            self._dirty = False
            self._place_waiting()
        self._effects += self._progress.propose(self._wall_now())
        effects = self._effects
        self._effects = []
        return effects

    def _wall_now(self):
        return self._wall_ms + self._now_ms - self._wall_read_ms

    # Start of a term

    def _adopt_all(self):
        for record in self._part.workers.values():
            self._fleet.adopt(record, self._now_ms)
        for live in self._part.live_runs():
            worker = self._fleet.get(live.worker)
            phase = _Phase.STARTING
            if worker.record.born_ms != live.born_ms:
                # A late start may still reach the worker's next life.
                phase = _Phase.STOPPING
            elif not self._is_wanted(live):
                phase = _Phase.STOPPING
            run = _fleet.Run(live, self._step_of(live.task), phase)
            run.adopted = True
            worker.add(run)
        LOG.info(
            'dispatch_started',
            extra={
                'token': self._orders.token,
                'workers': len(self._part.workers),
                'runs': len(self._part.live_runs()),
                'open': len(self._part.open_workflows),
            },
        )

    def _step_of(self, task_id):
        workflow = self._part.workflow(task_id.workflow_id)
        if workflow is None or task_id not in workflow.tasks:
            return None
        return workflow.step_of(task_id)

    def _is_wanted(self, live):
        """True if a run should go on."""
        workflow = self._part.open_workflows.get(live.task.workflow_id)
        if workflow is None:
            return False
        task = workflow.tasks.get(live.task)
        return task is not None and not task.done and live.run in task.live

    # Time

    def _on_tick(self, tick):
        self._wall_ms = tick.wall_ms
        self._wall_read_ms = self._now_ms
        self._dirty = True
        self._interference.fade(self._now_ms)
        for worker in self._fleet:
            self._check_gone(worker)
            self._drive(worker)

    def _check_gone(self, worker):
        if not worker.runs:
            return
        withdrawn_ms = worker.withdrawn_ms
        if withdrawn_ms is not None:
            if self._now_ms - withdrawn_ms >= LEAVING_MS:
                self._lose_all(worker, 'worker_left')
        elif worker.failures and worker.clock.is_over(self._now_ms):
            self._lose_all(worker, 'lease_over')

    def _drive(self, worker):
        self._effects += self._orders.due(worker, self._now_ms)

    # Workers

    def _on_announced(self, event):
        said = event.announcement
        worker = self._fleet.get(said.worker)
        if worker is None:
            worker = self._add_worker(_fleet.describe(said))
        elif said.born_ms > worker.record.born_ms:
            worker = self._replace(worker, _fleet.describe(said))
        elif said.born_ms < worker.record.born_ms:
            return
        elif said.sequence <= worker.sequence:
            return
        self._note_change(worker, said)
        worker.sequence = said.sequence
        if not worker.runs:
            # No order is under way that could be answered.
            worker.failures = 0
        worker.heard_ms = self._now_ms
        worker.clock.note(said.clock_ms, self._now_ms)
        self._dirty = True

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
            self._register(worker)

    def _add_worker(self, record):
        worker = self._fleet.add(record)
        LOG.info(
            'worker_found',
            extra={
                'worker': record.worker,
                'born_ms': record.born_ms,
                'pool': record.pool,
                'address': record.address,
            },
        )
        self._register(worker)
        return worker

    def _register(self, worker):
        noted = self._orders.ends_noted(worker)
        self._progress.add_worker(
            msgspec.structs.replace(worker.record, ends_noted=noted)
        )

    def _replace(self, old, record):
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
                self._lose(old, run, 'worker_reborn')
        return worker

    def _on_withdrawn(self, event):
        worker = self._fleet.get(event.worker)
        if worker is None:
            return
        LOG.info('worker_withdrawn', extra={'worker': worker.name})
        worker.state = 'withdrawn'
        worker.withdrawn_ms = self._now_ms

    # Answers

    def _on_answered(self, event):
        order, reply = event.order, event.reply
        worker = self._fleet.get(order.worker)
        if worker is None or worker.record.address != order.address:
            return
        if reply.verdict == _Verdict.SILENT:
            wait_ms = worker.note_silence(self._now_ms)
        else:
            wait_ms = 0
            worker.note_answer()
            worker.clock.note(reply.clock_ms, self._now_ms)
        if 0 < reply.born_ms < worker.record.born_ms:
            return
        if reply.born_ms > worker.record.born_ms:
            worker.looking = False
            record = msgspec.structs.replace(
                worker.record, born_ms=reply.born_ms, ends_noted=0
            )
            worker = self._replace(worker, record)
        elif reply.verdict == _Verdict.OTHER_LIFE:
            worker.looking = False
            worker.rest(self._now_ms)
            self._lose_all(worker, 'other_worker_there')
        else:
            self._answered[type(order)](worker, order, reply, wait_ms)
        self._drive(worker)

    def _on_start_answered(self, worker, order, reply, wait_ms):
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.calling = False
        verdict = reply.verdict
        if verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            run.started_ms = self._now_ms
            if run.phase == _Phase.STARTING:
                run.phase = _Phase.RUNNING
        elif verdict == _Verdict.SILENT:
            run.unsure = True
            run.retry_ms = self._now_ms + wait_ms
        elif verdict in _REFUSALS:
            worker.rest(self._now_ms)
            self._start_refused(worker, run, verdict)
        elif verdict == _Verdict.FENCED:
            run.retry_ms = self._now_ms + _fleet.RETRY_MAX_MS
        self._log_run('run_start_answered', run, verdict=verdict)

    def _start_refused(self, worker, run, verdict):
        if run.unsure or run.adopted:
            run.phase = _Phase.STOPPING
        else:
            self._lose(worker, run, verdict)

    def _on_stop_answered(self, worker, order, reply, wait_ms):
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.calling = False
        if reply.verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            run.stopped_ms = self._now_ms
            worker.look_ms = self._now_ms
        else:
            wait_ms = wait_ms or _fleet.RETRY_MIN_MS
            run.retry_ms = self._now_ms + wait_ms
        self._log_run('run_stop_answered', run, verdict=reply.verdict)

    def _on_pace_answered(self, worker, order, reply, wait_ms):
        run = worker.runs.get((order.task, order.run))
        if run is None:
            return
        run.calling = False
        if reply.verdict == _Verdict.ACCEPTED:
            run.pace = order.percent
        else:
            run.retry_ms = self._now_ms + (wait_ms or _fleet.RETRY_MIN_MS)

    def _on_look_answered(self, worker, order, reply, wait_ms):
        worker.looking = False
        if reply.verdict != _Verdict.ACCEPTED:
            worker.look_ms = self._now_ms + (wait_ms or _fleet.RETRY_MAX_MS)
            return
        worker.look_ms = self._now_ms
        worker.ends_told = max(worker.ends_told, order.ends_noted)
        if not worker.fenced:
            worker.fenced = True
            worker.clock.fence(self._now_ms)
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
            run.started_ms = self._now_ms
        run.checkpoint = row.checkpoint or run.checkpoint
        run.percent = row.percent
        run.figure = row.figure

    def _meet_stray(self, worker, row):
        """Takes on a run that is there but not expected, to be stopped."""
        live = workflows.LiveRun(
            row.task, row.run, worker.name, worker.record.born_ms
        )
        run = _fleet.Run(live, self._step_of(row.task), _Phase.STOPPING)
        run.unsure = True
        worker.add(run)
        self._log_run('run_stray', run, warn=True)
        return run

    def _note_end(self, worker, row):
        run = worker.drop((row.task, row.run))
        if row.number <= worker.ends_taken:
            return
        worker.ends_taken = row.number
        self._dirty = True
        self._progress.add_end(
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
                'task': _task_text(row.task),
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
            self._lose(worker, run, 'not_there')
        elif run.stopped_ms is not None and run.stopped_ms < looked_ms:
            self._lose(worker, run, 'stopped_unstarted')

    def _control_pace(self, worker):
        running = [
            run
            for run in worker.runs.values()
            if run.phase == _Phase.RUNNING and run.step is not None
        ]
        if worker.pacing is None:
            worker.pacing = _pacing.PaceControl(self._interference)
        for run in worker.pacing.observe(
            running, worker.record.cpu, self._now_ms
        ):
            self._stop(run, 'disturbs')

    # Settling

    def _lose_all(self, worker, reason):
        for run in list(worker.runs.values()):
            if run.phase != _Phase.PLACED:
                self._lose(worker, run, reason)

    def _lose(self, worker, run, reason):
        """Records that a run certainly does not go on."""
        worker.drop(run.key)
        self._dirty = True
        self._progress.add_lost(
            commands.RunLost(
                run.live.task, run.live.run, run.checkpoint, reason
            )
        )
        self._log_run('run_lost', run, warn=True, reason=reason)

    def _stop(self, run, reason):
        if run.phase == _Phase.STOPPING:
            return
        # A start under way may be carried out after the stop.
        run.unsure = run.unsure or run.calling
        run.calling = False
        run.phase = _Phase.STOPPING
        run.retry_ms = 0
        self._log_run('run_stopping', run, reason=reason)

    def _log_run(self, event, run, *, warn=False, **fields):
        log = LOG.warning if warn else LOG.info
        log(
            event,
            extra={
                'workflow': run.live.task.workflow_id,
                'task': _task_text(run.live.task),
                'run': run.live.run,
                'worker': run.live.worker,
                'token': self._orders.token,
                **fields,
            },
        )

    # Agreement

    def _on_applied(self, event):
        handler = self._applied.get(type(event.command))
        if handler is not None:
            handler(event.command)
        self._dirty = True

    def _workflow_id(self, command):
        documents = self._part.documents
        return documents.resolve(command.host, command.path)[1]

    def _on_submitted(self, command):
        self._backlog.refresh(self._workflow_id(command))

    def _on_cancelled(self, command):
        self._follow({self._workflow_id(command)}, 'cancelled')

    def _on_progress(self, command):
        self._progress.agreed(command)
        changed = {end.task.workflow_id for end in command.ends}
        changed |= {lost.task.workflow_id for lost in command.lost}
        for live in command.placed:
            changed.add(live.task.workflow_id)
            self._note_placed(live)
        self._follow(changed, 'closed')
        for name in {end.worker for end in command.ends}:
            worker = self._fleet.get(name)
            if worker is not None:
                self._drive(worker)

    def _note_placed(self, live):
        worker = self._fleet.get(live.worker)
        run = worker.runs.get((live.task, live.run)) if worker else None
        if run is None or run.phase != _Phase.PLACED:
            return
        if not self._part.is_live(live.task, live.run):
            worker.drop(run.key)
            return
        if worker.record.born_ms != live.born_ms:
            # Never sent: the worker has been born again since.
            self._lose(worker, run, 'worker_reborn')
            return
        run.phase = _Phase.STARTING
        self._drive(worker)

    def _follow(self, workflow_ids, reason):
        """Takes changed workflows to the backlog and stops what is over."""
        for workflow_id in workflow_ids:
            self._backlog.refresh(workflow_id)
            workflow = self._part.workflow(workflow_id)
            for live in workflow.live_runs() if workflow else ():
                if not self._is_wanted(live):
                    self._stop_live(live, reason)

    def _stop_live(self, live, reason):
        worker = self._fleet.get(live.worker)
        run = worker.runs.get((live.task, live.run)) if worker else None
        if run is None or run.phase == _Phase.PLACED:
            return
        self._stop(run, reason)
        self._drive(worker)

    def _on_rejected(self, event):
        for live in self._progress.take_back(event.token):
            worker = self._fleet.get(live.worker)
            if worker is not None:
                worker.drop((live.task, live.run))
        self._dirty = True

    # Placing

    def _place_waiting(self):
        offers = {}
        for group in self._backlog.ordered(self._wall_now()):
            pool = self._part.queue_of(group.workflow).pool
            if pool not in offers:
                usable = self._fleet.usable(pool, self._now_ms)
                offers[pool] = _placement.Offer(usable)
            offer = offers[pool]
            placed = self._place_group(group, offer.workers_for(group.step))
            if placed < len(group.waiting):
                offer.reserve(group)

    def _place_group(self, group, workers):
        """Places what fits; returns the number of tasks placed."""
        pairs = self._placer.place(group, workers)
        for task_id, worker in pairs:
            self._place(group, task_id, worker)
        return len(pairs)

    def _place(self, group, task_id, worker):
        task = group.workflow.tasks[task_id]
        live = workflows.LiveRun(
            task_id,
            task.last_run + 1,
            worker.name,
            worker.record.born_ms,
        )
        run = _fleet.Run(live, group.step, _Phase.PLACED)
        worker.add(run)
        self._progress.add_placed(live)
        self._log_run(
            'run_placed',
            run,
            waiting=len(group.waiting),
            free_cpu=worker.room.free_cpu,
            heard_ms=self._now_ms - worker.heard_ms,
        )


def _task_text(task):
    return f'{task.occurrence}.{task.step}.{task.index}'
