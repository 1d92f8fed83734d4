"""Runs the dispatcher against simulated workers with random faults.

The ledger of the workers, which is independent of the dispatcher, checks that
no task runs twice at a time, after it was done, before the steps that it waits
for, on a worker that its step does not allow, or after its last attempt; that
no worker is overloaded and no checkpoint is made up.  Once the faults have
stopped, every workflow has to be completed.
"""

import logging
import random
import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from standins import worker_model
from tests.fakes import dispatch_world

SEEDS = range(40)
PROOF_SEEDS = (*range(60), 94)
COPY_SEEDS = range(30)
FAULTY_MS = 20_000
CALM_MS = 90_000


def _submit_random_workflow(world, random_source, number):
    """Submits a workflow of one to three steps."""
    steps = []
    sizes = []
    for step in range(random_source.randint(1, 3)):
        cpu = random_source.choice((500, 1500, 3000))
        work_ms = random_source.randint(100, 3000)
        fails_first_run = random_source.random() < 0.2
        saves_checkpoints = random_source.random() < 0.5
        steps.append(
            workflows.Step(
                random_source.randint(1, 5),
                cpu=cpu,
                memory_mb=1000,
                estimate_ms=work_ms,
                after=[step - 1] if step else [],
                checkpoints=saves_checkpoints,
                label=random_source.choice(('', '', 'a', 'b')),
                most_per_worker=random_source.choice((0, 0, 2)),
            )
        )
        sizes.append(
            worker_model.TaskProfile(
                cpu,
                1000,
                work_ms,
                writes_checkpoints=saves_checkpoints,
                run_fails=(lambda run: run == 1) if fails_first_run else None,
            )
        )
    workflow_id = f'{number:016x}'
    world.submit(workflow_id, steps, sizes)
    return workflow_id


def _submit_straggling_workflow(world, random_source, number):
    """Submits a step of which some tasks take seven times as long, in one run.

    Its tasks may have copies; some fail now and then.
    """
    work_ms = random_source.randint(300, 1500)
    saves_checkpoints = random_source.random() < 0.3
    failing_run = random_source.choice((0, 0, 1, 2))
    straggling_runs = {
        (index, random_source.choice((1, 1, 2)))
        for index in range(12)
        if random_source.random() < 0.3
    }
    step = workflows.Step(
        random_source.randint(6, 12),
        cpu=random_source.choice((50, 100, 200)),
        memory_mb=1000,
        estimate_ms=work_ms,
        checkpoints=saves_checkpoints,
        label=random_source.choice(('', '', 'a')),
        most_per_worker=random_source.choice((0, 0, 4)),
        copies=True,
    )
    profile = worker_model.TaskProfile(
        step.cpu,
        1000,
        work_ms,
        writes_checkpoints=saves_checkpoints,
        run_fails=lambda run: run == failing_run,
        find_slowdown=lambda task, run: (
            7 if (task.index, run) in straggling_runs else 1
        ),
    )
    workflow_id = f'straggling-{number}'
    world.submit(workflow_id, [step], [profile])
    return workflow_id


def _inject_fault(world, random_source):
    """Injects one random fault or none, or reconnects all workers."""
    worker = f'w{random_source.randrange(4)}'
    fault = random_source.choice(
        ('crash', 'cut', 'join', 'lead', 'freeze', 'none')
    )
    if fault == 'crash' and worker in world._worker_models:
        world.crash_worker(worker, random_source.randint(200, 4000))
    elif fault == 'cut':
        world.unreachable_workers.add(worker)
    elif fault == 'join':
        world.unreachable_workers.clear()
    elif fault == 'lead':
        world.start_leader()
    elif fault == 'freeze':
        frozen_leader = world.freeze_leader()
        world.run(random_source.randint(0, 4000))
        world.wake_leader(frozen_leader)


def _cut_one_way(world, random_source):
    worker = random_source.choice(world.worker_names() or ['w0'])
    cut_workers = random_source.choice(
        (world.deaf_workers, world.voiceless_workers)
    )
    cut_workers.add(worker)
    return worker


def _restart_unnoticed(world, random_source):
    """Restarts a worker between two of its announcements."""
    worker = random_source.choice(world.worker_names() or ['w0'])
    world.first_announcement_ms = random_source.randint(0, 1500)
    if worker in world.worker_names():
        world.crash_worker(worker, random_source.randint(5, 500))
    return worker


def _leave(world, random_source):
    """Lets a worker drain and leave, at times without an acknowledgement."""
    worker = random_source.choice(world.worker_names() or ['w0'])
    if worker not in world.worker_names():
        return worker
    world.draining_workers.add(worker)
    world.run(random_source.randint(0, 2000))
    if random_source.random() < 0.5:
        world.deaf_workers.add(worker)
    if worker in world.worker_names():
        world.leave(worker, random_source.randint(0, 6000))
        world.add_worker_later(f'w{int(worker[1:]) + 1000}', 4000)
    return worker


def _silence_behind_cancel(world, random_source):
    """Cancels a wide workflow whose starts a worker does not answer."""
    worker = random_source.choice(world.worker_names() or ['w0'])
    world.startless_workers.add(worker)
    workflow_id = f'wide-{world.now_ms}'
    step = workflows.Step(12, cpu=500, memory_mb=10, estimate_ms=5000)
    world.submit(
        workflow_id, [step], [worker_model.TaskProfile(500, 10, 5000)]
    )
    world.run(random_source.randint(20, 400))
    world.cancel(workflow_id)
    return worker


def _rejoin(world, random_source):
    for cut_workers in (
        world.deaf_workers,
        world.voiceless_workers,
        world.startless_workers,
        world.unreachable_workers,
        world.draining_workers,
    ):
        cut_workers.clear()


def _crash(world, random_source):
    worker = random_source.choice(world.worker_names() or ['w0'])
    if worker in world.worker_names():
        world.crash_worker(worker, random_source.randint(200, 4000))


def _change_leader(world, random_source):
    world.start_leader()


PROOF_FAULTS = (
    _cut_one_way,
    _restart_unnoticed,
    _leave,
    _silence_behind_cancel,
    _rejoin,
    _crash,
    _change_leader,
)


def _run_proof_faults(seed):
    """Draws one fault, or two at once, of those that hide ends of runs."""
    random_source = random.Random(f'proof/{seed}')
    world = dispatch_world.World(
        seed, faults=dispatch_world.Faults(0.01, 0.02, 0.02)
    )
    world.max_listed_ends = random_source.choice((1, 2, 3, 500))
    workflow_ids = []
    for number in range(14):
        workflow_ids.append(
            _submit_random_workflow(world, random_source, number)
        )
        faults = random_source.sample(
            PROOF_FAULTS, random_source.choice((1, 1, 2))
        )
        for inject in faults:
            inject(world, random_source)
        world.run(random_source.randint(50, 3000))
        if random_source.random() < 0.4:
            _rejoin(world, random_source)
    world.faults = dispatch_world.Faults()
    _rejoin(world, random_source)
    world.run(CALM_MS)
    return world, workflow_ids


def _run_world(seed, faults):
    random_source = random.Random(f'load/{seed}')
    world = dispatch_world.World(seed, faults=faults)
    workflow_ids = []
    for number in range(10):
        workflow_ids.append(
            _submit_random_workflow(world, random_source, number)
        )
        world.run(FAULTY_MS // 10)
        _inject_fault(world, random_source)
        if random_source.random() < 0.15:
            world.cancel(workflow_ids.pop(0))
    world.faults = dispatch_world.Faults()
    world.unreachable_workers.clear()
    world.run(CALM_MS)
    return world, workflow_ids


def _run_copies(seed, faults):
    """Draws faults while tasks straggle, workers are slow and copies run.

    Returns:
        The world, the ids of its workflows, and the number of copies.
    """
    random_source = random.Random(f'copies/{seed}')
    world = dispatch_world.World(
        seed,
        faults=faults,
        features=dispatcher.Features(copies_stragglers=True),
    )
    world.max_listed_ends = random_source.choice((1, 2, 500))
    workflow_ids = []
    copies = set()
    for number in range(10):
        workflow_ids.append(
            _submit_straggling_workflow(world, random_source, number)
        )
        for _ in range(random_source.randint(5, 30)):
            world.run(100)
            copies |= {
                (run.task, run.run)
                for workflow in world.workflow_store.open_workflows.values()
                for task in workflow.tasks.values()
                for run in task.live_runs.values()
                if run.run > min(task.live_runs)
            }
        inject = random_source.choice((_inject_fault, *PROOF_FAULTS))
        inject(world, random_source)
        if random_source.random() < 0.5:
            name = random_source.choice(world.worker_names() or ['w0'])
            if name in world.worker_names():
                world.slow_down_worker(name, 5, 6000)
        if random_source.random() < 0.1:
            world.cancel(workflow_ids.pop(0))
        if random_source.random() < 0.4:
            _rejoin(world, random_source)
    world.faults = dispatch_world.Faults()
    _rejoin(world, random_source)
    world.run(CALM_MS)
    return world, workflow_ids, len(copies)


class RandomRunsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check_run(self, seed, faults):
        self._check_world(seed, *_run_world(seed, faults))

    def _check_world(self, seed, world, workflow_ids):
        with self.subTest(seed=seed):
            self.assertEqual([], world.ledger.breaches)
            state_by_workflow = {
                workflow_id: world.workflow_state(workflow_id)
                for workflow_id in workflow_ids
            }
            self.assertEqual(
                {'completed'},
                set(state_by_workflow.values()),
                state_by_workflow,
            )

    def test_always_failing_tasks_use_up_their_attempts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed)
                step = workflows.Step(3, cpu=500, memory_mb=10)
                size = worker_model.TaskProfile(
                    500, 10, 300, run_fails=lambda run: True
                )
                world.submit('hopeless', [step], [size])
                for _ in range(6):
                    world.run(400)
                    _inject_fault(world, world.random)
                world.unreachable_workers.clear()
                world.run(CALM_MS)
                self.assertEqual('failed', world.workflow_state('hopeless'))
                self.assertEqual([], world.ledger.breaches)

    def test_without_lost_orders(self):
        for seed in SEEDS:
            self._check_run(seed, dispatch_world.Faults())

    def test_with_lost_orders_and_answers(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(
                lost_order_share=0.05, lost_reply_share=0.05
            )
            self._check_run(seed, faults)

    def test_with_faults_that_hide_the_ends_of_runs(self):
        """Each proof of an end is missing in some of these runs."""
        for seed in PROOF_SEEDS:
            self._check_world(seed, *_run_proof_faults(seed))

    def test_with_copies(self):
        """Two live runs of a task keep all rules, whatever fails."""
        copy_count = 0
        for seed in COPY_SEEDS:
            for faults in (
                dispatch_world.Faults(),
                dispatch_world.Faults(0.03, 0.03, 0.03),
            ):
                world, workflow_ids, copies = _run_copies(seed, faults)
                copy_count += copies
                self._check_world(seed, world, workflow_ids)
        self.assertGreater(copy_count, 2 * len(COPY_SEEDS))

    def test_with_orders_carried_out_late(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(
                lost_order_share=0.02, late_order_share=0.06
            )
            self._check_run(seed, faults)


if __name__ == '__main__':
    unittest.main()
