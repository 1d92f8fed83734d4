"""Places the waiting groups of all services, one round at a time.

``PlacementPlanner`` tries each group once in a round.  Which workers a group
may use is decided in ``_rounds``, and the choice among those in
``_placement``.  Decisions that only some deployments ask for are
``PlacementPolicy`` values, see ``_policies``.
"""

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _limited_runs
from fuchsiatrestle.workflows import _rounds
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _turns
from fuchsiatrestle.workflows import _waiting

__all__ = ('PlacementPlanner',)

# Largest number of tasks that a round places, beyond the members of its last
# gang; the next round goes on once these are agreed.
MAX_PLACED_TASKS = 2000


class PlacementPlanner:
    """Places waiting groups and stops runs that make way for them.

    Args:
        dispatch_state: ``DispatchState``.
        backlog: ``Backlog``.
        interference_model: ``InterferenceModel``.
        placer: ``Placer``.
        policies: list of the ``PlacementPolicy`` values in force.
    """

    def __init__(
        self, dispatch_state, backlog, interference_model, placer, policies
    ):
        self._state = dispatch_state
        self._backlog = backlog
        self._placer = placer
        self._policies = policies
        self._reservation_limits = _rounds.ReservationLimits()
        self._trial_runs = _crashes.TrialRuns()
        self._wait_times = _waiting.WaitTimes()
        self._turns = _turns.TurnPlanner(self._wait_times)
        self._limited_runs = _limited_runs.LimitedRunPlanner(
            dispatch_state, interference_model, self._wait_times
        )
        self._waiting_log = _waiting.WaitingLog(
            self._wait_times, placer, dispatch_state.now_ms
        )
        self._wall_ms = 0
        self._remaining_count = 0

    def place_waiting_groups(self, wall_ms):
        """Runs one placement round of each service.

        Args:
            wall_ms: time since the epoch.

        Returns:
            A list of the ``Worker`` values of which runs were stopped.
        """
        self._wall_ms = wall_ms
        self._remaining_count = MAX_PLACED_TASKS
        now_ms = self._state.now_ms
        ready_groups = self._backlog.ready_groups(wall_ms)
        self._wait_times.update_waiting_groups(ready_groups, now_ms, wall_ms)
        for policy in self._policies:
            policy.start_round(ready_groups, wall_ms)
        round_by_pool = {}
        self._place_groups(ready_groups, round_by_pool)
        stopped_workers = self._place_limited_runs(round_by_pool)
        stopped_workers += self._apply_policies(round_by_pool)
        self._reservation_limits.record_reservations(
            {
                name
                for pool_round in round_by_pool.values()
                for name in pool_round.reserved_workers
            },
            now_ms,
        )
        self._waiting_log.report_if_due(
            round_by_pool.values(), self._state.fleet, now_ms
        )
        return stopped_workers

    def _place_groups(self, ready_groups, round_by_pool):
        """Places the groups that find room, each kind in its turn.

        Args:
            ready_groups: the groups that may start, in the order of
                placement.
            round_by_pool: ``PlacementRound`` by name of the service; the
                missing ones are added.
        """
        groups_to_start_alone = []
        urgent_groups = []
        other_groups = []
        for group in ready_groups:
            if self._must_start_alone(group):
                groups_to_start_alone.append(group)
            elif self._precedes_turns(group):
                urgent_groups.append(group)
            else:
                other_groups.append(group)
        self._place_suspected_groups(groups_to_start_alone, round_by_pool)
        deferred_groups = self._place_ready_groups(
            urgent_groups, round_by_pool
        )
        other_groups = self._place_turns(other_groups, round_by_pool)
        deferred_groups += self._place_ready_groups(
            other_groups, round_by_pool
        )
        self._place_deferred_groups(deferred_groups)

    def _apply_policies(self, round_by_pool):
        """Carries out what the policies decide after all groups were tried.

        Args:
            round_by_pool: ``PlacementRound`` by name of the service; the
                missing ones are added.

        Returns:
            A list of the ``Worker`` values of which runs were stopped.
        """
        stopped_workers = []
        for policy in self._policies:
            if not policy.acts_after_groups():
                continue
            for pool in self._all_pools():
                pool_round = self._find_pool_round(round_by_pool, pool)
                stopped_workers += policy.stop_runs(pool_round)
                for placement in policy.find_placements(pool_round):
                    self._place_task(
                        placement.group, placement.task_id, placement.worker
                    )
        return stopped_workers

    def _all_pools(self):
        """Returns the names of the services of all workers, sorted."""
        return sorted({worker.record.pool for worker in self._state.fleet})

    def _precedes_turns(self, group):
        """True for long-running tasks that ran before or are overdue."""
        return group.is_interrupted or self._is_overdue_long_running(group)

    def _place_turns(self, groups, round_by_pool):
        """Places one task, or a whole gang, of each group that has a turn.

        Args:
            groups: the groups, in the order of placement.
            round_by_pool: ``PlacementRound`` by name of the service; the
                missing ones are added.

        Returns:
            The groups that are left, in the order of placement.  A group whose
            turn found no worker is not tried again in this round.
        """
        remainders = {}
        for group in self._turns.find_turns(groups, self._state.now_ms):
            queue = self._state.workflow_store.current_queue(group.workflow)
            pool_round = self._find_pool_round(round_by_pool, queue.pool)
            turn_group = group if group.step.gang else group.first_task_alone()
            remainders[id(group)] = None
            is_placed = self._place_or_record_waiting(
                turn_group,
                queue,
                pool_round,
                ignores_reservations=self._may_use_reserved_room(
                    group, pool_round
                ),
            )
            if is_placed and not group.step.gang:
                remainders[id(group)] = group.without_first_task()
        remaining_groups = (
            remainders.get(id(group), group) for group in groups
        )
        return [group for group in remaining_groups if group is not None]

    def _must_start_alone(self, group):
        """True for a suspected task, unless it lasts and was tried enough."""
        if not group.is_suspected:
            return False
        return not group.step.lasts or (
            not self._wait_times.has_been_tried_enough(
                group, self._state.now_ms
            )
        )

    def _place_suspected_groups(self, groups, round_by_pool):
        """Starts tasks that may crash their workers, each one alone.

        The worker of each such task gets no other task before the start has
        shown to be harmless.  Where starts are not known to be harmless yet,
        the worker is closed for others and the task waits.

        Args:
            groups: the groups, one for each suspected task.
            round_by_pool: ``PlacementRound`` by name of the service; the
                missing ones are added.
        """
        for group in groups:
            queue = self._state.workflow_store.current_queue(group.workflow)
            pool_round = self._find_pool_round(round_by_pool, queue.pool)
            if not self._try_place_alone(group, pool_round):
                pool_round.record_suspected_group(group)

    def _try_place_alone(self, group, pool_round):
        """Returns True if the task of a suspected group was placed."""
        if not pool_round.may_close_worker:
            return False
        limited_placer = self._limited_runs.find_placer(group)
        worker, start_count = _crashes.choose_trial_worker(
            group,
            pool_round.workers_for(group.step, ignores_reservations=True),
            limited_placer or self._placer,
            self._state.now_ms,
        )
        if worker is None:
            return False
        pool_round.close_worker(worker.name)
        if start_count:
            return False
        run = self._place_task(
            group,
            group.waiting_task_ids[0],
            worker,
            limits_pace=limited_placer is not None,
        )
        pool_round.record_placed_tasks(group.step, 1)
        self._trial_runs.add(worker, run)
        return True

    def _place_ready_groups(self, ready_groups, round_by_pool):
        """Places groups in their order; returns those that are deferred.

        Args:
            ready_groups: the groups.
            round_by_pool: ``PlacementRound`` by name of the service; the
                missing ones are added.

        Returns:
            A list of (``Group``, its ``Queue``, its ``PlacementRound``).
        """
        deferred_groups = []
        for group in ready_groups:
            queue = self._state.workflow_store.current_queue(group.workflow)
            pool_round = self._find_pool_round(round_by_pool, queue.pool)
            if pool_round.exceeds_long_running_share(group):
                deferred_groups.append((group, queue, pool_round))
                continue
            self._place_or_record_waiting(
                group,
                queue,
                pool_round,
                ignores_reservations=(
                    group.is_interrupted
                    or self._is_overdue_long_running(group)
                    or self._may_use_reserved_room(group, pool_round)
                ),
            )
        return deferred_groups

    def _place_deferred_groups(self, deferred_groups):
        """Places new long-running tasks beyond their share of processor time.

        They are placed after all other groups.  While batch tasks of the same
        or a higher priority wait, they are placed only once they are overdue,
        and not on reserved workers.
        """
        for group, queue, pool_round in deferred_groups:
            if self._is_overdue_long_running(
                group
            ) or not pool_round.must_yield_to_batch(queue.priority):
                self._place_or_record_waiting(
                    group, queue, pool_round, ignores_reservations=False
                )
            else:
                pool_round.record_deferred_group(group)

    def _is_overdue_long_running(self, group):
        """True for a long-running group that has waited too long."""
        return group.step.lasts and self._wait_times.is_overdue(
            group, self._state.now_ms
        )

    def _may_use_reserved_room(self, group, pool_round):
        """True for an overdue group while the service has much room.

        The room on few workers is short then; reserving it for tasks that do
        not fit must not keep those waiting that do.
        """
        return pool_round.is_mostly_free and self._wait_times.is_overdue(
            group, self._state.now_ms
        )

    def _place_limited_runs(self, round_by_pool):
        """Places overdue best-effort tasks, and stops runs with limited paces.

        Args:
            round_by_pool: ``PlacementRound`` by name of the service, after all
                groups were tried; the missing ones are added.

        Returns:
            A list of the ``Worker`` values of which runs were stopped.
        """
        stopped_workers = []
        if not self._limited_runs.start_round_if_due():
            return stopped_workers
        for pool in self._all_pools():
            pool_round = self._find_pool_round(round_by_pool, pool)
            stopped_workers += self._limited_runs.stop_runs_for_others(
                pool_round
            )
            worker = self._limited_runs.stop_run_to_move(pool_round)
            if worker is not None:
                stopped_workers.append(worker)
            for (
                group,
                task_id,
                worker,
                limits_pace,
            ) in self._limited_runs.choose_workers(pool_round):
                self._place_task(
                    group,
                    task_id,
                    worker,
                    limits_pace=limits_pace,
                    shares_cpu=not limits_pace,
                )
        return stopped_workers

    def _find_pool_round(self, round_by_pool, pool):
        """Returns the round for a service's workers; creates it if missing.

        Args:
            round_by_pool: ``PlacementRound`` by name of the service.
            pool: name of the service.
        """
        if pool not in round_by_pool:
            usable_workers = [
                worker
                for worker in self._state.fleet.usable_workers(
                    pool, self._state.now_ms
                )
                if all(policy.may_use(worker) for policy in self._policies)
            ]
            round_by_pool[pool] = _rounds.PlacementRound(
                pool,
                usable_workers,
                self._reservation_limits,
                self._state.now_ms,
            )
            for name in self._trial_runs.find_closed_workers(
                self._state.fleet, self._state.now_ms
            ):
                round_by_pool[pool].close_worker(name)
        return round_by_pool[pool]

    def _place_or_record_waiting(
        self, group, queue, pool_round, *, ignores_reservations
    ):
        """Places the tasks that fit; returns True if all were placed."""
        if self._remaining_count <= 0:
            return False
        placed_count = 0
        if pool_round.may_fit(
            group.step, ignores_reservations=ignores_reservations
        ):
            workers = pool_round.workers_for(
                group.step, ignores_reservations=ignores_reservations
            )
            placed_count = self._place_group(group, workers)
            pool_round.record_placed_tasks(group.step, placed_count)
        if placed_count == len(group.waiting_task_ids):
            return True
        if self._remaining_count <= 0:
            return False
        pool_round.record_waiting_group(
            group,
            queue.priority,
            ignores_reservations=ignores_reservations,
        )
        return False

    def _place_group(self, group, workers):
        """Places the tasks that fit and returns their number."""
        if not group.step.gang:
            group = group.first_tasks(self._remaining_count)
        assignments = self._placer.choose_workers(group, workers)
        for task_id, worker in assignments:
            self._place_task(group, task_id, worker)
        return len(assignments)

    def _place_task(
        self, group, task_id, worker, *, limits_pace=False, shares_cpu=False
    ):
        task = group.workflow.tasks[task_id]
        checkpoint = ''
        if group.step.gang:
            checkpoint = group.workflow.find_gang_checkpoint(
                group.occurrence, group.step_number
            )
        live_run = workflows.LiveRun(
            task_id,
            task.last_run_number + 1,
            worker.name,
            worker.record.born_ms,
            self._wall_ms,
            checkpoint,
        )
        run = _runs.Run(live_run, group.step, _runs.Phase.PLACED)
        if limits_pace:
            run.limit_pace()
        if shares_cpu:
            run.share_cpu()
        worker.add_run(run)
        self._remaining_count -= 1
        waited_ms = self._wait_times.longest_wait_ms(group, self._state.now_ms)
        self._wait_times.record_placed_task(group, self._state.now_ms)
        self._state.proposals.add_placed_run(live_run)
        self._state.log_run(
            'run_placed',
            run,
            waiting=len(group.waiting_task_ids),
            waited_ms=waited_ms,
            idle=not group.workflow.is_running,
            kind=_runs.step_kind(group.step),
            cpu=group.step.cpu,
            free_cpu=worker.capacity.free_cpu,
            heard_ms=self._state.now_ms - worker.last_announced_ms,
            alone=group.is_suspected,
            pace_limited=limits_pace,
            shares_cpu=shares_cpu,
        )
        return run
