"""The core that turns agreed workflows into orders for workers."""

from fuchsiatrestle import core
from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _announcing
from fuchsiatrestle.workflows import _answers
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _book
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _offer
from fuchsiatrestle.workflows import _orders
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs

__all__ = ('Dispatcher',)

# A worker that withdrew ends its process within this time.
LEAVING_MS = 500
# Interval at which what was learnt of images goes along to be agreed.
LEARN_MS = 1000

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


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
        self._book = _book.Book(part, token, timing, now_ms)
        self._interference = _interference.Interference()
        self._placer = placer or _placement.BestFit(self._interference)
        self._backlog = _backlog.Backlog(part)
        self._held_back = _offer.HeldBack()
        self._orders = _orders.Orders(self._book, timing)
        self._announcing = _announcing.Announcing(self._book)
        self._answers = _answers.Answers(
            self._book, self._announcing, self._interference
        )
        self._learnt_ms = now_ms
        self._wall_ms = 0
        self._wall_read_ms = now_ms
        self._effects = []
        self._handlers = {
            _events.Tick: self._on_tick,
            _events.Announced: self._announcing.announced,
            _events.Withdrawn: self._announcing.withdrawn,
            _events.Answered: self._on_answered,
            _events.Applied: self._on_applied,
            _events.Rejected: self._on_rejected,
        }
        self._applied = {
            commands.SubmitWorkflow: self._on_submitted,
            commands.CancelWorkflow: self._on_cancelled,
            commands.RecordProgress: self._on_progress,
        }
        self._interference.adopt(part.image_pairs.values())
        self._adopt_all()

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        self._book.now_ms = now_ms
        self._handlers[type(event)](event)
        if self._book.dirty and self._book.progress.is_idle:
            self._book.dirty = False
            self._place_waiting()
        self._effects += self._book.progress.propose(self._wall_now())
        effects = self._effects
        self._effects = []
        return effects

    def _wall_now(self):
        return self._wall_ms + self._book.now_ms - self._wall_read_ms

    # Start of a term

    def _adopt_all(self):
        for record in self._book.part.workers.values():
            self._book.fleet.adopt(record, self._book.now_ms)
        for live in self._book.part.live_runs():
            worker = self._book.fleet.get(live.worker)
            phase = _Phase.STARTING
            if worker.record.born_ms != live.born_ms:
                # A late start may still reach the worker's next life.
                phase = _Phase.STOPPING
            elif not self._book.is_wanted(live):
                phase = _Phase.STOPPING
            run = _runs.Run(live, self._book.step_of(live.task), phase)
            run.adopted = True
            worker.add(run)
        LOG.info(
            'dispatch_started',
            extra={
                'token': self._book.token,
                'workers': len(self._book.part.workers),
                'runs': len(self._book.part.live_runs()),
                'open': len(self._book.part.open_workflows),
            },
        )

    # Workers

    def _on_answered(self, event):
        worker = self._answers.take(event)
        if worker is not None:
            self._drive(worker)

    # Time

    def _on_tick(self, tick):
        self._wall_ms = tick.wall_ms
        self._wall_read_ms = self._book.now_ms
        self._book.dirty = True
        self._learn()
        for worker in self._book.fleet:
            self._check_gone(worker)
            self._drive(worker)

    def _learn(self):
        """Has what is believed of images agreed, for the next leader."""
        now_ms = self._book.now_ms
        self._interference.fade(now_ms)
        if now_ms - self._learnt_ms < LEARN_MS:
            return
        self._learnt_ms = now_ms
        agreed = self._book.part.image_pairs
        for pair in self._interference.changes(agreed):
            self._book.progress.add_learned(pair)

    def _check_gone(self, worker):
        if not worker.runs:
            return
        withdrawn_ms = worker.withdrawn_ms
        if withdrawn_ms is not None:
            if self._book.now_ms - withdrawn_ms >= LEAVING_MS:
                self._book.lose_all(worker, 'worker_left')
        elif worker.failures and worker.clock.is_over(self._book.now_ms):
            self._book.lose_all(worker, 'lease_over')

    def _drive(self, worker):
        self._effects += self._orders.due(worker, self._book.now_ms)

    # Agreement

    def _on_applied(self, event):
        handler = self._applied.get(type(event.command))
        if handler is not None:
            handler(event.command)
        self._book.dirty = True

    def _workflow_id(self, command):
        documents = self._book.part.documents
        return documents.resolve(command.host, command.path)[1]

    def _on_submitted(self, command):
        self._backlog.refresh(self._workflow_id(command))

    def _on_cancelled(self, command):
        self._follow({self._workflow_id(command)}, 'cancelled')

    def _on_progress(self, command):
        self._book.progress.agreed(command)
        changed = {end.task.workflow_id for end in command.ends}
        changed |= {lost.task.workflow_id for lost in command.lost}
        for live in command.placed:
            changed.add(live.task.workflow_id)
            self._note_placed(live)
        self._follow(changed, 'closed')
        for name in {end.worker for end in command.ends}:
            worker = self._book.fleet.get(name)
            if worker is not None:
                self._drive(worker)

    def _note_placed(self, live):
        worker, run = self._book.find(live)
        if run is None or run.phase != _Phase.PLACED:
            return
        if not self._book.part.is_live(live.task, live.run):
            worker.drop(run.key)
            return
        if worker.record.born_ms != live.born_ms:
            # Never sent: the worker has been born again since.
            self._book.lose(worker, run, 'worker_reborn')
            return
        run.phase = _Phase.STARTING
        self._drive(worker)

    def _follow(self, workflow_ids, reason):
        """Takes changed workflows to the backlog and stops what is over."""
        for workflow_id in workflow_ids:
            self._backlog.refresh(workflow_id)
            workflow = self._book.part.workflow(workflow_id)
            for live in workflow.live_runs() if workflow else ():
                if not self._book.is_wanted(live):
                    self._stop_live(live, reason)

    def _stop_live(self, live, reason):
        worker, run = self._book.find(live)
        if run is None or run.phase == _Phase.PLACED:
            return
        self._book.stop(run, reason)
        self._drive(worker)

    def _on_rejected(self, event):
        for live in self._book.progress.take_back(event.token):
            worker, run = self._book.find(live)
            if run is not None:
                worker.drop(run.key)
        self._book.dirty = True

    # Placing

    def _place_waiting(self):
        offers = {}
        later = []
        for group in self._backlog.ordered(self._wall_now()):
            queue = self._book.part.queue_of(group.workflow)
            offer = self._offer_of(offers, queue.pool)
            if offer.is_beyond_share(group):
                later.append((group, queue, offer))
            else:
                self._place_or_wait(group, queue, offer)
        self._place_later(later)

    def _place_later(self, later):
        """Places lasting tasks that would take more than their share."""
        now_ms = self._book.now_ms
        for group, queue, offer in later:
            over = self._held_back.is_over(group, now_ms)
            if over or not offer.yields(queue.priority):
                self._place_or_wait(group, queue, offer)
        self._held_back.renew([group for group, _, _ in later], now_ms)

    def _offer_of(self, offers, pool):
        """Returns the ``Offer`` of a service in this round."""
        if pool not in offers:
            usable = self._book.fleet.usable(pool, self._book.now_ms)
            offers[pool] = _offer.Offer(usable)
        return offers[pool]

    def _place_or_wait(self, group, queue, offer):
        placed = 0
        if offer.has_room(group.step):
            placed = self._place_group(group, offer.workers_for(group.step))
            offer.note_placed(group.step, placed)
        if placed < len(group.waiting):
            offer.note_waiting(group, queue.priority)

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
        run = _runs.Run(live, group.step, _Phase.PLACED)
        worker.add(run)
        self._book.progress.add_placed(live)
        self._book.log_run(
            'run_placed',
            run,
            waiting=len(group.waiting),
            free_cpu=worker.room.free_cpu,
            heard_ms=self._book.now_ms - worker.heard_ms,
        )
