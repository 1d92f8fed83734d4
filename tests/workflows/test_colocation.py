"""Runs best-effort tasks beside serving tasks with simulated tail latencies.

Guards against two failures: best-effort tasks push the tail latency of
serving tasks over its target, or the interference model rules out workers on
which they would do no harm.
"""

import random
import unittest

import msgspec

from fuchsiatrestle.state import workflows as records
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs

POLL_INTERVAL_MS = 500
WORKER_CPU = 32_000
TAIL_TARGET_MS = 45
# Tail latency without best-effort tasks, as a ratio to the target, and the
# largest random deviation from it.
CALM_TAIL_RATIO = 0.44
CALM_TAIL_SWING_RATIO = 0.1
# Factor on the tail latency of a slow worker.
SLOW_TAIL_FACTOR = 30
SERVING_STEP = records.Step(
    5, cpu=6000, memory_mb=1000, lasts=True, tail_target_ms=TAIL_TARGET_MS
)
BEST_EFFORT_STEP = records.Step(
    400, cpu=3500, memory_mb=1000, estimate_ms=1700, image='f', fills=True
)


class _SimulatedWorker:
    """A simulated worker with the remaining time of its best-effort runs."""

    def __init__(self, name, image, interference):
        self.image = image
        record = records.WorkerRecord(
            name,
            1,
            f'{name}:1',
            'pool',
            'dc',
            WORKER_CPU,
            128_000,
            0,
            ['a', 'r1'],
        )
        clock = _clock.LeaseClock(5000)
        self.worker = _fleet.Worker(record, clock)
        self.worker.pace_control = _pacing.PaceControl(interference, name)
        self.remaining_ms = {}
        self.tail_ratio = CALM_TAIL_RATIO
        step = msgspec.structs.replace(SERVING_STEP, image=image)
        for index in range(SERVING_STEP.count):
            self.add_run(step, records.TaskId(name, 0, 0, index))

    def add_run(self, step, task_id):
        live_run = records.LiveRun(task_id, 1, self.worker.name, 1)
        run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
        run.started_ms = -10_000
        self.worker.add_run(run)
        if step.fills:
            self.remaining_ms[run.key] = step.estimate_ms

    def advance(self, tail_slope, calm_tail_ratio):
        """Advances half a second; returns the number of tasks that ended."""
        cpu_share = 0.0
        finished_count = 0
        for run in list(self.worker.runs.values()):
            if not run.is_best_effort:
                continue
            run.measurement = run.step.cpu * run.pace_percent / 100
            cpu_share += run.measurement / WORKER_CPU
            self.remaining_ms[run.key] -= (
                POLL_INTERVAL_MS * run.pace_percent / 100
            )
            if self.remaining_ms[run.key] <= 0:
                self.worker.remove_run(run.key)
                finished_count += 1
        self.tail_ratio = max(
            calm_tail_ratio + tail_slope * cpu_share, self.tail_ratio / 2
        )
        return finished_count

    def apply_decisions(self, now_ms):
        """Reports the tail latency and applies the decided stops and paces."""
        runs = list(self.worker.runs.values())
        for run in runs:
            if run.is_serving:
                run.measurement = self.tail_ratio * TAIL_TARGET_MS
        for run in self.worker.pace_control.decide_paces(
            runs, WORKER_CPU, now_ms
        ):
            self.worker.remove_run(run.key)
        for run in self.worker.runs.values():
            run.pace_percent = run.wanted_pace_percent


class _Workflow:
    workflow_id = 'filling'
    spec = records.WorkflowSpec('', [BEST_EFFORT_STEP])


class _ColocationSimulation:
    """A fleet in which half of the workers serve image ``s``, half ``t``.

    Best-effort tasks raise the tail latency only of image ``s``.

    Args:
        tail_slope: rise of the tail ratio of image ``s`` per share of the
            worker's processor time in use by best-effort tasks.
        slow_workers: number of workers whose tail latency is far over its
            target for the first ten seconds, whatever else runs there.
    """

    WORKERS = 10
    SLOW_MS = 10_000

    def __init__(self, tail_slope, slow_workers=0):
        self.finished_count = 0
        self.over_target_count = 0
        self._tail_slope = tail_slope
        self._slow_workers = slow_workers
        self._random = random.Random(7)
        self._interference = _interference.InterferenceModel()
        self._placer = _placement.BestFit(self._interference)
        self._simulated_workers = [
            _SimulatedWorker(
                f'w{number}', 'st'[number % 2], self._interference
            )
            for number in range(self.WORKERS)
        ]
        self._waiting_task_ids = [
            records.TaskId('filling', 0, 0, index)
            for index in range(BEST_EFFORT_STEP.count)
        ]

    def run(self, duration_ms):
        """Simulates a span of time."""
        for now_ms in range(0, duration_ms, POLL_INTERVAL_MS):
            self._place_waiting_tasks()
            self._interference.decay(now_ms)
            for number, simulated_worker in enumerate(self._simulated_workers):
                is_slow = number < self._slow_workers and now_ms < self.SLOW_MS
                self._advance_worker(simulated_worker, is_slow)
                simulated_worker.apply_decisions(now_ms)

    def _place_waiting_tasks(self):
        if not self._waiting_task_ids:
            return
        workers = [
            simulated_worker.worker
            for simulated_worker in self._simulated_workers
        ]
        group = _groups.Group(_Workflow, 0, 0, list(self._waiting_task_ids))
        for task_id, worker in self._placer.choose_workers(group, workers):
            self._waiting_task_ids.remove(task_id)
            self._simulated_workers[workers.index(worker)].add_run(
                BEST_EFFORT_STEP, task_id
            )

    def _advance_worker(self, simulated_worker, is_slow):
        calm_tail_ratio = CALM_TAIL_RATIO + self._random.uniform(
            -CALM_TAIL_SWING_RATIO, CALM_TAIL_SWING_RATIO
        )
        if is_slow:
            calm_tail_ratio *= SLOW_TAIL_FACTOR
        tail_slope = self._tail_slope if simulated_worker.image == 's' else 0
        self.finished_count += simulated_worker.advance(
            tail_slope, calm_tail_ratio
        )
        self.over_target_count += (
            simulated_worker.tail_ratio > 1 and not is_slow
        )


class ColocationTest(unittest.TestCase):
    DURATION_MS = 40_000
    POLL_COUNT = _ColocationSimulation.WORKERS * DURATION_MS / POLL_INTERVAL_MS
    # Best-effort tasks can use half of the workers, and there all processor
    # time but half of what the serving tasks reserve.
    MAX_FINISHED_COUNT = (
        _ColocationSimulation.WORKERS
        / 2
        * (WORKER_CPU - SERVING_STEP.count * SERVING_STEP.cpu / 2)
        // BEST_EFFORT_STEP.cpu
        * DURATION_MS
        / BEST_EFFORT_STEP.estimate_ms
    )

    def test_best_effort_tasks_run_where_they_do_not_disturb(self):
        simulation = _ColocationSimulation(tail_slope=4)
        simulation.run(self.DURATION_MS)
        self.assertGreaterEqual(
            simulation.finished_count,
            0.7 * min(self.MAX_FINISHED_COUNT, 400),
        )
        self.assertLessEqual(
            simulation.over_target_count, 0.03 * self.POLL_COUNT
        )

    def test_slow_workers_do_not_rule_out_the_others(self):
        """Slow workers show disturbed tails that no image has caused."""
        simulation = _ColocationSimulation(tail_slope=4, slow_workers=4)
        simulation.run(self.DURATION_MS)
        self.assertGreaterEqual(
            simulation.finished_count,
            0.7 * min(self.MAX_FINISHED_COUNT, 400),
        )
        self.assertLessEqual(
            simulation.over_target_count, 0.03 * self.POLL_COUNT
        )

    def test_harmless_image_uses_all_unused_cpu(self):
        simulation = _ColocationSimulation(tail_slope=0)
        simulation.run(self.DURATION_MS)
        self.assertEqual(BEST_EFFORT_STEP.count, simulation.finished_count)
        self.assertEqual(0, simulation.over_target_count)


if __name__ == '__main__':
    unittest.main()
