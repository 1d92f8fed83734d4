"""Work that disturbs some serving tasks, played against a model of tails."""

import random
import unittest

import msgspec

from fuchsiatrestle.state import workflows as records
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs

LOOK_MS = 500
CPU = 32_000
TARGET_MS = 45
# Tail without what fills, as a share of the target, and its swing.
CALM_TAIL = 0.44
SWING = 0.1
# Times that the tails of a slow worker are longer.
SLOWED = 30
SERVING = records.Step(
    5, cpu=6000, memory_mb=1000, lasts=True, tail_target_ms=TARGET_MS
)
FILLING = records.Step(
    400, cpu=3500, memory_mb=1000, estimate_ms=1700, image='f', fills=True
)


class _Played:
    """A worker with what has been done there."""

    def __init__(self, name, image, interference):
        self.image = image
        record = records.WorkerRecord(
            name, 1, f'{name}:1', 'pool', 'dc', CPU, 128_000, 0, ['a', 'r1']
        )
        clock = _clock.LeaseClock(5000, 6000)
        self.worker = _fleet.Worker(record, clock)
        self.worker.pacing = _pacing.PaceControl(interference, name)
        self.left_ms = {}
        self.tail = CALM_TAIL
        step = msgspec.structs.replace(SERVING, image=image)
        for index in range(SERVING.count):
            self.add(step, records.TaskId(name, 0, 0, index))

    def add(self, step, task):
        live = records.LiveRun(task, 1, self.worker.name, 1)
        run = _runs.Run(live, step, _runs.Phase.RUNNING)
        run.started_ms = -10_000
        self.worker.add(run)
        if step.fills:
            self.left_ms[run.key] = step.estimate_ms

    def advance(self, slope, calm_tail):
        """Lets half a second pass; returns the tasks that were done."""
        share = 0.0
        done = 0
        for run in list(self.worker.runs.values()):
            if not run.fills:
                continue
            run.figure = run.step.cpu * run.pace / 100
            share += run.figure / CPU
            self.left_ms[run.key] -= LOOK_MS * run.pace / 100
            if self.left_ms[run.key] <= 0:
                self.worker.drop(run.key)
                done += 1
        self.tail = max(calm_tail + slope * share, self.tail / 2)
        return done

    def look(self, now_ms):
        """Shows the tails; stops and paces as decided."""
        runs = list(self.worker.runs.values())
        for run in runs:
            if run.serves:
                run.figure = self.tail * TARGET_MS
        for run in self.worker.pacing.observe(runs, CPU, now_ms):
            self.worker.drop(run.key)
        for run in self.worker.runs.values():
            run.pace = run.wanted_pace


class _Workflow:
    workflow_id = 'filling'
    spec = records.WorkflowSpec('', [FILLING])


class _Day:
    """A fleet, half of which serves an image that what fills disturbs.

    Args:
        slope: rise of the tail of ``s``, in targets, for a whole worker.
        slow: number of workers whose tails are far over their targets for
            the first ten seconds, whatever fills there.
    """

    WORKERS = 10
    SLOW_MS = 10_000

    def __init__(self, slope, slow=0):
        self.done = 0
        self.over = 0
        self._slope = slope
        self._slow = slow
        self._draws = random.Random(7)
        self._interference = _interference.Interference()
        self._placer = _placement.BestFit(self._interference)
        self._played = [
            _Played(f'w{number}', 'st'[number % 2], self._interference)
            for number in range(self.WORKERS)
        ]
        self._waiting = [
            records.TaskId('filling', 0, 0, index)
            for index in range(FILLING.count)
        ]

    def play(self, duration_ms):
        """Lets time pass."""
        for now_ms in range(0, duration_ms, LOOK_MS):
            self._place()
            self._interference.fade(now_ms)
            for number, one in enumerate(self._played):
                slow = number < self._slow and now_ms < self.SLOW_MS
                self._pass(one, slow)
                one.look(now_ms)

    def _place(self):
        if not self._waiting:
            return
        fleet = [one.worker for one in self._played]
        group = _backlog.Group(_Workflow, 0, 0, list(self._waiting))
        for task, worker in self._placer.place(group, fleet):
            self._waiting.remove(task)
            self._played[fleet.index(worker)].add(FILLING, task)

    def _pass(self, one, slow):
        calm_tail = CALM_TAIL + self._draws.uniform(-SWING, SWING)
        if slow:
            calm_tail *= SLOWED
        slope = self._slope if one.image == 's' else 0
        self.done += one.advance(slope, calm_tail)
        self.over += one.tail > 1 and not slow


class ColocationTest(unittest.TestCase):
    DURATION_MS = 40_000
    LOOKS = _Day.WORKERS * DURATION_MS / LOOK_MS
    # Half of the workers, of whose processor time serving tasks leave half.
    MOST_DONE = (
        _Day.WORKERS
        / 2
        * (CPU - SERVING.count * SERVING.cpu / 2)
        // FILLING.cpu
        * DURATION_MS
        / FILLING.estimate_ms
    )

    def test_runs_where_it_does_not_disturb(self):
        day = _Day(slope=4)
        day.play(self.DURATION_MS)
        self.assertGreaterEqual(day.done, 0.7 * min(self.MOST_DONE, 400))
        self.assertLessEqual(day.over, 0.03 * self.LOOKS)

    def test_slow_workers_do_not_close_the_others(self):
        """Their tails say nothing of what fills."""
        day = _Day(slope=4, slow=4)
        day.play(self.DURATION_MS)
        self.assertGreaterEqual(day.done, 0.7 * min(self.MOST_DONE, 400))
        self.assertLessEqual(day.over, 0.03 * self.LOOKS)

    def test_what_disturbs_none_uses_what_is_left(self):
        day = _Day(slope=0)
        day.play(self.DURATION_MS)
        self.assertEqual(FILLING.count, day.done)
        self.assertEqual(0, day.over)


if __name__ == '__main__':
    unittest.main()
