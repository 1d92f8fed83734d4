"""Fault soak of the platform's programs, as processes on loopback.

``python -m tests.platform.soak --seed 1 --runs 50 --seconds 20``.  Callers,
an operator and workers are served while processes are killed, frozen, stopped
and restarted, and while a relay disturbs the connections to workers.  The
answers to callers and the operator and the orders to workers are checked.  A
run with a breach keeps its folder with the logs.
"""

import argparse
import random
import shutil
import sys
import tempfile
import time

import curio

from fuchsiatrestle import errors
from standins import relay
from tests.platform import _deployment

__all__ = ('Soak', 'main')

# Ranges of the random times, in seconds: of the pause before a fault or a call
# of the operator, of a fault, and of the pause before a call of a caller.
PAUSE_RANGE_S = (0.3, 1.5)
FAULT_DURATION_RANGE_S = (0.3, 5.0)
CALLER_PAUSE_RANGE_S = (0.05, 0.4)
# Shares of the calls of callers that submit a job again or cancel one.
RESEND_SHARE = 0.15
CANCEL_SHARE = 0.1
JOBS_END_TIMEOUT_S = 90.0
STOP_TIMEOUT_S = 30.0
NOT_RUN_STATUSES = (429, 503)
# Last lines of each log that are kept with a breach.
KEPT_LOG_LINES = 40


class _Job:
    """A workflow that callers submit, and what they were told about it.

    Attributes:
        name: name of the workflow, the last part of its path.
        accepted: True once a submission was answered with success.
        unclear: True once a submission had no answer or an unknown outcome.
        cancelled: True once a cancel was sent.
    """

    __slots__ = ('accepted', 'cancelled', 'name', 'unclear')

    def __init__(self, name):
        self.name = name
        self.accepted = False
        self.unclear = False
        self.cancelled = False

    @property
    def never_ran(self):
        """True if all submissions were refused, so that it must not run."""
        return not self.accepted and not self.unclear


class Soak:
    """One run of load and faults, with checks of its outcome.

    Args:
        seed: seed of the random choices of callers, operator and faults.
        folder: path of the folder for settings, data and logs.
        seconds: duration of load and faults, in seconds.

    Attributes:
        breaches: texts with the time and what was wrong.
        faults: texts with the time, the fault and its target.
        log_lines: the end of each log at the time of a breach.
    """

    def __init__(self, seed, folder, seconds):
        self._seed = seed
        self._seconds = seconds
        self._deployment = _deployment.Deployment(folder)
        self._deployment.fleet.ledger.may_start = self._may_start
        self._jobs = {}
        self._started_job_names = set()
        self._acknowledged_versions = [1]
        self._sent_version = 1
        self.breaches = []
        self.faults = []
        self.log_lines = []

    # Phases

    async def run(self):
        """Runs the load, waits for the jobs to end and checks the outcome."""
        try:
            await self._deployment.start()
            await self._deployment.put_configuration(
                _deployment.make_configuration(1)
            )
            await self._run_load()
            await self._wait_for_jobs()
            await self._check_outcome()
            statuses = await self._deployment.stop()
            if any(statuses):
                self._record_breach(f'planned stops ended with {statuses}')
        except (AssertionError, errors.Error, OSError) as exc:
            self._record_breach(f'{type(exc).__name__}: {exc}')
            self._record_logs()
        finally:
            self._kill_all()
        self.breaches += self._deployment.fleet.ledger.breaches

    async def _run_load(self):
        task_functions = (
            self._call_forever,
            self._call_forever,
            self._operate_forever,
            self._signal_controls,
            self._signal_entry,
            self._disturb_network,
        )
        end_s = time.monotonic() + self._seconds
        async with curio.TaskGroup() as group:
            for number, task_function in enumerate(task_functions):
                rng = random.Random(f'{self._seed}-{number}')
                await group.spawn(task_function, rng, end_s)
        if group.exception:
            raise group.exception

    async def _wait_for_jobs(self):
        job_names = [job.name for job in self._jobs.values() if job.accepted]
        await self._deployment.wait_until(
            lambda: self._all_ended(job_names),
            'all accepted jobs end',
            JOBS_END_TIMEOUT_S,
        )

    async def _all_ended(self, job_names):
        while job_names:
            path = _deployment.PREFIX + job_names[-1]
            status, body = await self._deployment.call_entry('GET', path)
            if status != 200 or body['state'] not in (
                'completed',
                'cancelled',
            ):
                return False
            job_names.pop()
        return True

    async def _check_outcome(self):
        for process in self._deployment.controls.values():
            self._check_runs(process)
        for job in self._jobs.values():
            if job.never_ran and job.name in self._started_job_names:
                self._record_breach(f'{job.name} ran though always refused')
            if job.accepted and not job.cancelled:
                await self._check_completed(job)
        for host in self._deployment.hosts:
            configuration = await self._deployment.get_configuration(host)
            self._check_version(
                configuration['version'],
                max(self._acknowledged_versions),
                host,
            )

    async def _check_completed(self, job):
        _, body = await self._deployment.call_entry('GET', _job_path(job))
        if body is None or body.get('state') != 'completed':
            self._record_breach(f'{job.name} ended as {body}')
        tasks = [f'{job.name}.0.0.{index}' for index in range(3)]
        if not self._deployment.fleet.ledger.finished.issuperset(tasks):
            self._record_breach(f'{job.name} is shown as completed and is not')

    def _kill_all(self):
        for process in (
            *self._deployment.controls.values(),
            self._deployment.entry,
        ):
            if process.running:
                process.kill()

    def _check_runs(self, process):
        """Records a breach if a process has ended by itself; restarts it."""
        if not process.running:
            self._record_breach(
                f'{process.name} ended by itself with {process.exit_status}'
            )
            self._record_logs()
            process.start()

    def _record_logs(self):
        """Adds the end of each log, as the folder of a CI run is not kept."""
        for process in (
            *self._deployment.controls.values(),
            self._deployment.entry,
        ):
            with open(process.log_path, encoding='utf-8') as log:
                lines = log.readlines()[-KEPT_LOG_LINES:]
            self.log_lines += [
                f'{process.name}: {line[:-1]}' for line in lines
            ]

    def _record_breach(self, breach):
        self.breaches.append(f'{time.strftime("%H:%M:%S")} {breach}')

    def _may_start(self, task):
        name, _, step, _ = task.split('.')
        self._started_job_names.add(name)
        if step == '0':
            return True
        first_step_tasks = {f'{name}.0.0.{index}' for index in range(3)}
        return self._deployment.fleet.ledger.finished.issuperset(
            first_step_tasks
        )

    # Callers

    async def _call_forever(self, rng, end_s):
        """Submits, resends, checks and cancels jobs over one connection."""
        caller = _deployment.Caller(self._deployment)
        while time.monotonic() < end_s:
            await curio.sleep(rng.uniform(*CALLER_PAUSE_RANGE_S))
            job_names = sorted(self._jobs)
            random_share = rng.random()
            if not job_names or random_share > 0.5:
                job = _Job(f'{rng.getrandbits(64):016x}')
                self._jobs[job.name] = job
                await self._submit(caller, job)
                continue
            job = self._jobs[rng.choice(job_names)]
            if random_share < RESEND_SHARE:
                await self._submit(caller, job)
            elif random_share < RESEND_SHARE + CANCEL_SHARE and job.accepted:
                job.cancelled = True
                await caller.call('DELETE', _job_path(job))
            else:
                await self._check_state(caller, job)
        caller.close()

    async def _submit(self, caller, job):
        body = {'task_spec': 'text', 'steps': _deployment.STEPS}
        status, _ = await caller.call('POST', _job_path(job), body)
        if status == 200:
            job.accepted = True
        elif status not in NOT_RUN_STATUSES:
            job.unclear = True

    async def _check_state(self, caller, job):
        was_accepted = job.accepted
        status, body = await caller.call('GET', _job_path(job))
        if status == 410 and was_accepted:
            self._record_breach(f'{job.name} was accepted and is not known')
        if status == 200 and body['state'] == 'failed':
            self._record_breach(f'{job.name} is shown as failed')
        if status == 200 and body['state'] == 'cancelled':
            if not job.cancelled:
                self._record_breach(f'{job.name} is shown as cancelled')

    # Operator

    async def _operate_forever(self, rng, end_s):
        while time.monotonic() < end_s:
            await curio.sleep(rng.uniform(*PAUSE_RANGE_S))
            host = rng.choice(self._deployment.hosts)
            if rng.random() < 0.5:
                await self._read_configuration(host)
            else:
                await self._change_configuration(rng, host)

    async def _read_configuration(self, host):
        newest_version = max(self._acknowledged_versions)
        status, body = await self._deployment.call_control(
            host, 'GET', '/config/get'
        )
        if status == 200:
            self._check_version(body['version'], newest_version, host)

    async def _change_configuration(self, rng, host):
        self._sent_version += rng.randint(1, 3)
        configuration = _deployment.make_configuration(
            self._sent_version, timeout_ms=rng.randint(2000, 4000)
        )
        version = self._sent_version
        status, _ = await self._deployment.call_control(
            host, 'POST', '/config/put', configuration
        )
        if status == 200:
            self._acknowledged_versions.append(version)
        elif 400 <= status < 500:
            self._record_breach(f'{host} refused version {version}: {status}')

    def _check_version(self, version, newest_version, host):
        if version < newest_version:
            self._record_breach(
                f'{host} shows version {version} after {newest_version}'
            )

    # Faults

    async def _signal_controls(self, rng, end_s):
        while time.monotonic() < end_s:
            await curio.sleep(rng.uniform(*PAUSE_RANGE_S))
            host = rng.choice(self._deployment.hosts)
            await self._disturb_process(rng, self._deployment.controls[host])

    async def _signal_entry(self, rng, end_s):
        while time.monotonic() < end_s:
            await curio.sleep(3 * rng.uniform(*PAUSE_RANGE_S))
            await self._disturb_process(rng, self._deployment.entry)

    async def _disturb_process(self, rng, process):
        """Kills, freezes or stops a process, then resumes or restarts it."""
        fault = rng.choice(('kill', 'freeze', 'stop'))
        self._check_runs(process)
        self._record_fault(fault, process.name)
        if fault == 'kill':
            await curio.run_in_thread(process.kill)
        elif fault == 'freeze':
            process.freeze()
        elif not process.has_started():
            # Python has not installed its signal handler yet.
            return
        else:
            status = await curio.run_in_thread(process.stop, STOP_TIMEOUT_S)
            if status:
                self._record_breach(f'{process.name} stopped with {status}')
        await curio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
        if fault == 'freeze':
            process.resume()
        else:
            process.start()

    async def _disturb_network(self, rng, end_s):
        modes = sorted(set(relay.MODES) - {'pass'})
        workers = sorted(self._deployment.relay.targets)
        while time.monotonic() < end_s:
            await curio.sleep(rng.uniform(*PAUSE_RANGE_S))
            mode = rng.choice(modes)
            worker = rng.choice(workers)
            self._record_fault(mode, worker)
            self._deployment.relay.set_mode(worker, mode)
            await curio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
            self._deployment.relay.set_mode(worker, 'pass')

    def _record_fault(self, fault, target):
        self.faults.append(f'{time.strftime("%H:%M:%S")} {fault} {target}')


def _job_path(job):
    return _deployment.PREFIX + job.name


def run_seed(seed, seconds):
    """Runs the soak with one seed; returns the finished ``Soak``."""
    folder = tempfile.mkdtemp(prefix=f'platform-soak-{seed}-')
    soak = Soak(seed, folder, seconds)
    curio.run(soak.run)
    if soak.breaches:
        print(f'seed {seed}: logs in {folder}')
    else:
        shutil.rmtree(folder)
    return soak


def main():
    """Runs the soak with each seed.

    Returns:
        The exit status: 1 if a run had a breach, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=10)
    parser.add_argument('--seconds', type=float, default=20.0)
    options = parser.parse_args()
    failed_runs = 0
    for seed in range(options.seed, options.seed + options.runs):
        soak = run_seed(seed, options.seconds)
        failed_runs += bool(soak.breaches)
        print(f'seed {seed}: {len(soak.faults)} faults', flush=True)
        for breach in soak.breaches + soak.log_lines:
            print(f'    {breach}', flush=True)
    print(f'{options.runs} runs, {failed_runs} with a breach')
    return 1 if failed_runs else 0


if __name__ == '__main__':
    sys.exit(main())
