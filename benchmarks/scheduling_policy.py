"""Compares variants of the scheduling policy on a model of interference.

``python -m benchmarks.scheduling_policy --workers 24 --seeds 10`` runs every
variant on the same seeds and prints medians with minimum and maximum.  The
parameters of the model are drawn from the seed and unknown to the scheduler,
which gets only late and noisy measurements.  A day is compressed into six
hours.
"""

import argparse
import concurrent.futures
import math
import random
import statistics
import sys

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.scheduling import _placement
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as jobs_part

STEP_MS = 10_000
DAY_MS = 6 * 3600 * 1000
CORES = 32
MEMORY_MIB = 125_000
CLASS_COUNT = 12
SERVICES = ('quotes', 'watch')
FAULTY_WORKER_SHARE = 0.05
REPORT_LAGS_MS = (10_000, 20_000, 30_000)
# Standard deviation of the noise on the logarithm of a reported p99.
P99_NOISE_SIGMA = 0.08
BATCH_LOAD_SHARE = 0.5
CHECKPOINT_INTERVAL_MS = 120_000
UNLOADED_P99_MS = 20.0

# Fields of ``scheduling.Policy`` that differ from its defaults, by variant.
# ``first_fit`` also replaces the placement rule.
VARIANTS = {
    'first_fit': {
        'learn_sizes': False,
        'model_interference': False,
        'control_pressure': False,
    },
    'spread': {
        'learn_sizes': False,
        'model_interference': False,
        'control_pressure': False,
    },
    'no_learning': {'learn_sizes': False, 'model_interference': False},
    'no_throttle': {'control_pressure': False},
    'chosen': {},
    'shrink': {'shrink_cpu': True},
    'strict': {
        'max_tail_ratio': 1.4,
        'hot_tail_ratio': 1.5,
        'calm_tail_ratio': 1.2,
    },
}


class FirstFitByName(_placement.PlacementRule):
    """First fit: the first worker by name that has room."""

    def pick_worker(self, job, need, worker_names, limit_tail=True):
        """Returns the first name in alphabetical order, None without names."""
        return min(worker_names) if worker_names else None


class JobClass:
    """Declared and actual behaviour of a class of jobs.

    Attributes:
        name: name of the class.
        cpu_milli: declared processor share, in thousandths of a core.
        memory_mib: declared memory, in MiB.
        run_ms: mean run time, in milliseconds.
        cpu_factor: actual processor share as a multiple of the declared.
        memory_factor: actual memory as a multiple of the declared.
        harm_per_core: increase of the logarithm of a service's p99 for each
            core that the class uses beside it, by service.
    """

    def __init__(self, rng, name, is_noisy):
        self.name = name
        self.cpu_milli = rng.choice((1000, 2000, 3000, 4000))
        self.memory_mib = rng.choice((2000, 4000, 8000))
        self.run_ms = rng.uniform(6, 25) * 60_000
        self.cpu_factor = math.exp(rng.uniform(math.log(0.3), math.log(4)))
        self.memory_factor = math.exp(
            rng.uniform(math.log(0.3), math.log(2.5))
        )
        harms_services = is_noisy or rng.random() < 0.25
        self.harm_per_core = {
            service: rng.uniform(0.03, 0.08)
            if harms_services and rng.random() < 0.7
            else rng.uniform(0.0, 0.006)
            for service in SERVICES
        }


class Run:
    """One attempt on a model worker.

    Attributes:
        order: order that started the attempt.
        actual_job: the ``ActualJob`` of the job.
        state: state of the attempt, as reported.
        done_work_ms: work done so far, in milliseconds at the full actual
            rate.
        checkpoint: number of the last checkpoint.
        checkpoint_work_ms: work done up to that checkpoint.
        throttle_milli: processor limit in thousandths of a core, 0 for none.
        used: ``messages.Resources`` used in the last step.
    """

    def __init__(self, order, actual_job):
        self.order = order
        self.actual_job = actual_job
        self.state = 'running'
        self.done_work_ms = actual_job.saved_work_ms.get(
            order.resume_from, 0.0
        )
        self.checkpoint = order.resume_from
        self.checkpoint_work_ms = self.done_work_ms
        self.throttle_milli = 0
        self.used = messages.Resources(0, 0)

    def write_checkpoint(self):
        """Writes a checkpoint if work was done since the last one."""
        if self.done_work_ms > self.checkpoint_work_ms:
            self.checkpoint += 1
            self.checkpoint_work_ms = self.done_work_ms
            self.actual_job.saved_work_ms[self.checkpoint] = self.done_work_ms


class ActualJob:
    """Actual resources and run time of one job, and its checkpoints.

    Attributes:
        job_class: its ``JobClass``.
        cpu_milli: actual processor share, in thousandths of a core.
        memory_mib: actual memory, in MiB.
        run_ms: run time at that processor share, in milliseconds.
        saved_work_ms: work done up to a checkpoint, in milliseconds, by
            checkpoint number.
    """

    def __init__(self, rng, job_class):
        noise = math.exp(rng.gauss(0, 0.15))
        self.job_class = job_class
        self.cpu_milli = int(
            job_class.cpu_milli * min(4, job_class.cpu_factor * noise)
        )
        self.memory_mib = int(
            job_class.memory_mib * job_class.memory_factor * noise
        )
        self.run_ms = job_class.run_ms * rng.uniform(0.5, 1.5)
        self.saved_work_ms = {0: 0.0}


class ModelWorker:
    """A model worker that carries one service instance.

    Args:
        rng: source of randomness.
        number: number of the worker.
        rack_size: workers in a rack.
        data_centres: number of data centres.
        actual_jobs: the ``ActualJob`` of each job, by job id.
        is_faulty: True if every attempt fails on this worker.

    Attributes:
        load_factor: factor on the service load that its instance gets.
        lag_ms: age of the service load in its reports, in milliseconds.
        load_history: pairs of time and noisy service load of the last steps.
        lost_core_ms: work that was done after the last checkpoint of an
            attempt that was stopped or ran out of memory, in milliseconds of
            one core.
        load: load of the service in the last step, from 0 to 1.
        p99_ms: actual p99 of the service in the last step, in milliseconds.
        undisturbed_p99_ms: what that p99 would have been without batch work.
    """

    def __init__(
        self, rng, number, rack_size, data_centres, actual_jobs, is_faulty
    ):
        self.name = f'w{number:03d}'
        self.rack = f'r{number // rack_size}'
        self.data_centre = f'dc{number // rack_size % data_centres}'
        self.service = SERVICES[number % len(SERVICES)]
        self.load_factor = rng.uniform(0.85, 1.15)
        self.lag_ms = rng.choice(REPORT_LAGS_MS)
        self.actual_jobs = actual_jobs
        self.is_faulty = is_faulty
        self.runs_by_job = {}
        self.seq = 0
        self.load_history = []
        self.lost_core_ms = 0.0
        self.p99_ms = self.undisturbed_p99_ms = UNLOADED_P99_MS
        self.load = 0.0

    def advance(self, rng, load, now_ms):
        """Advances the runs by one step under a service load from 0 to 1."""
        load = min(1.0, load * self.load_factor)
        service_cpu_milli = int(load * 0.4 * CORES * 1000)
        active_runs = [
            active_run
            for active_run in self.runs_by_job.values()
            if active_run.state == 'running'
        ]
        wanted_cpu_milli = [
            min(
                active_run.actual_job.cpu_milli,
                active_run.throttle_milli or active_run.actual_job.cpu_milli,
            )
            for active_run in active_runs
        ]
        free_cpu_milli = CORES * 1000 - service_cpu_milli
        granted_share = (
            min(1.0, free_cpu_milli / sum(wanted_cpu_milli))
            if active_runs
            else 1.0
        )
        for run, milli in zip(active_runs, wanted_cpu_milli, strict=True):
            self._advance_run(run, int(milli * granted_share), now_ms)
        demanded_share = (service_cpu_milli + sum(wanted_cpu_milli)) / (
            CORES * 1000
        )
        self._set_latency(load, demanded_share, service_cpu_milli, now_ms, rng)
        self._fail_largest_runs()

    def _advance_run(self, run, cpu_milli, now_ms):
        actual_job = run.actual_job
        run.used = messages.Resources(cpu_milli, actual_job.memory_mib)
        run.done_work_ms += STEP_MS * cpu_milli / max(1, actual_job.cpu_milli)
        if self.is_faulty and run.done_work_ms > 20_000:
            run.state = 'failed'
        elif run.done_work_ms >= actual_job.run_ms:
            run.state = 'done'
        elif (
            run.done_work_ms - run.checkpoint_work_ms >= CHECKPOINT_INTERVAL_MS
        ):
            run.write_checkpoint()

    def _set_latency(
        self, load, demanded_share, service_cpu_milli, now_ms, rng
    ):
        self.load = load
        self.undisturbed_p99_ms = UNLOADED_P99_MS * (1 + 1.5 * load**3)
        harm_sum = sum(
            run.used.cpu_milli
            / 1000
            * run.actual_job.job_class.harm_per_core[self.service]
            for run in self.runs_by_job.values()
            if run.state == 'running'
        )
        saturation_factor = 1 + 3 * max(0.0, demanded_share - 0.9)
        self.p99_ms = (
            self.undisturbed_p99_ms * math.exp(harm_sum) * saturation_factor
        )
        service_load = messages.ServiceLoad(
            self.service,
            messages.Resources(service_cpu_milli, 20_000),
            self.p99_ms * math.exp(rng.gauss(0, P99_NOISE_SIGMA)),
            0,
        )
        self.load_history.append((now_ms, service_load))
        del self.load_history[: -1 - max(REPORT_LAGS_MS) // STEP_MS]

    def _fail_largest_runs(self):
        active_runs = [
            active_run
            for active_run in self.runs_by_job.values()
            if active_run.state == 'running'
        ]
        used_mib = 20_000 + sum(run.used.memory_mib for run in active_runs)
        for run in sorted(active_runs, key=lambda run: -run.used.memory_mib):
            if used_mib <= MEMORY_MIB:
                return
            used_mib -= run.used.memory_mib
            run.state = 'failed'
            self._record_lost_work(run)

    def _record_lost_work(self, run):
        cores = run.actual_job.cpu_milli / 1000
        self.lost_core_ms += cores * (
            run.done_work_ms - run.checkpoint_work_ms
        )

    def make_report(self, now_ms):
        """Returns the next report, with a service load that is late."""
        self.seq += 1
        reportable_loads = [
            item
            for item in self.load_history
            if item[0] <= now_ms - self.lag_ms
        ]
        services = []
        if reportable_loads:
            measured_ms, service_load = reportable_loads[-1]
            services.append(
                messages.ServiceLoad(
                    service_load.service,
                    service_load.used,
                    service_load.p99_ms,
                    now_ms - measured_ms,
                )
            )
        attempts = [
            messages.AttemptReport(
                job_id,
                run.order.attempt,
                run.state,
                run.used,
                0,
                run.checkpoint,
            )
            for job_id, run in self.runs_by_job.items()
        ]
        return messages.WorkerReport(
            self.name,
            1,
            self.seq,
            self.data_centre,
            self.rack,
            messages.Resources(CORES * 1000, MEMORY_MIB),
            attempts,
            services,
        )

    def carry_out_orders(self, orders):
        """Carries out orders; throttles that they don't repeat are lifted."""
        throttled_job_ids = set()
        for order in orders:
            run = self.runs_by_job.get(order.job_id)
            if order.kind == 'start' and run is None:
                actual_job = self.actual_jobs[order.job_id]
                self.runs_by_job[order.job_id] = Run(order, actual_job)
            elif run is None or run.order.attempt != order.attempt:
                continue
            elif order.kind == 'forget':
                del self.runs_by_job[order.job_id]
            elif run.state == 'running':
                self._apply_order(run, order, throttled_job_ids)
        for job_id, run in self.runs_by_job.items():
            if job_id not in throttled_job_ids:
                run.throttle_milli = 0

    def _apply_order(self, run, order, throttled_job_ids):
        if order.kind == 'stop':
            run.state = 'stopped'
            self._record_lost_work(run)
        elif order.kind == 'checkpoint':
            run.write_checkpoint()
        elif order.kind == 'throttle':
            run.throttle_milli = order.throttle_milli
            throttled_job_ids.add(order.job_id)


class SimulatedDay:
    """One simulated day under one variant of the policy.

    Args:
        variant: name of the variant in ``VARIANTS``.
        seed: seed of the model's parameters and of its noise.
        workers: number of workers.
    """

    def __init__(self, variant, seed, workers):
        rng = self.rng = random.Random(seed)
        self.actual_jobs = {}
        self.classes = [
            JobClass(rng, f'c{number}', is_noisy=number < 2)
            for number in range(CLASS_COUNT)
        ]
        rack_size, data_centres = (6, 4) if workers == 24 else (11, 3)
        faulty_numbers = set(
            rng.sample(
                range(workers), max(1, round(workers * FAULTY_WORKER_SHARE))
            )
        )
        self.model_workers = [
            ModelWorker(
                rng,
                worker_number,
                rack_size,
                data_centres,
                self.actual_jobs,
                worker_number in faulty_numbers,
            )
            for worker_number in range(workers)
        ]
        self.arrivals = self._draw_arrivals(rng, workers)
        self.applied_index = 0
        policy = scheduling.Policy(
            lease_ms=3 * STEP_MS,
            silent_ms=3 * STEP_MS,
            max_candidates=64,
            **VARIANTS[variant],
        )
        self.jobs_state = jobs_part.JobsPart()
        self.scheduler = scheduling.Scheduler(self.jobs_state, 0, policy)
        if variant == 'first_fit':
            self.scheduler._assembly.dispatcher._placement_rule = (
                FirstFitByName()
            )
        self.latency_samples = []
        self.used_milli_sum = 0
        self.step_count = 0

    def _draw_arrivals(self, rng, workers):
        budget_core_ms = workers * CORES * DAY_MS * BATCH_LOAD_SHARE
        arrivals = []
        while budget_core_ms > 0:
            job_class = rng.choice(self.classes)
            arrival_ms = rng.choice((0, 0, rng.uniform(0, DAY_MS * 0.7)))
            job_count = 1
            if job_class in self.classes[:2]:
                arrival_ms, job_count = rng.uniform(0, DAY_MS * 0.7), 12
            for _ in range(job_count):
                job_id = f'j{len(self.actual_jobs):05d}'
                actual_job = self.actual_jobs[job_id] = ActualJob(
                    rng, job_class
                )
                arrivals.append((arrival_ms, job_id))
                budget_core_ms -= (
                    actual_job.cpu_milli / 1000 * actual_job.run_ms
                )
        return sorted(arrivals, reverse=True)

    def run(self):
        """Runs the day; returns its results by column of the table."""
        for now_ms in range(STEP_MS, DAY_MS + 1, STEP_MS):
            self._submit_due_jobs(now_ms)
            self._step_scheduler(scheduling.Tick(), now_ms)
            # The service load has two peaks a day.
            phase = 2 * math.pi * now_ms / DAY_MS
            load = 0.55 - 0.35 * math.cos(2 * phase)
            for model_worker in self.model_workers:
                model_worker.advance(self.rng, load, now_ms)
                event = scheduling.ReportsReceived(
                    'e', 0, [model_worker.make_report(now_ms)]
                )
                self._step_scheduler(event, now_ms)
                self.latency_samples.append(
                    (
                        model_worker.load,
                        model_worker.p99_ms,
                        model_worker.undisturbed_p99_ms,
                    )
                )
                self.used_milli_sum += sum(
                    run.used.cpu_milli
                    for run in model_worker.runs_by_job.values()
                    if run.state == 'running'
                )
            self.step_count += 1
        return self._compute_results()

    def _submit_due_jobs(self, now_ms):
        specs = []
        while self.arrivals and self.arrivals[-1][0] <= now_ms:
            _, job_id = self.arrivals.pop()
            job_class = self.actual_jobs[job_id].job_class
            size = messages.Resources(
                job_class.cpu_milli, job_class.memory_mib
            )
            specs.append(
                commands.JobSpec(job_id, 'team', job_class.name, 5, size)
            )
        if specs:
            self._apply_command(commands.SubmitJobs(specs), now_ms)

    def _apply_command(self, command, now_ms):
        self.applied_index += 1
        outcome = self.jobs_state.apply(self.applied_index, command)
        self._step_scheduler(
            scheduling.CommandApplied(command, outcome), now_ms
        )

    def _step_scheduler(self, event, now_ms):
        orders_by_worker = {}
        for effect in self.scheduler.step(event, now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self._apply_command(effect.command, now_ms)
            elif isinstance(effect, scheduling.AnswerReports):
                orders_by_worker.update(
                    {
                        answer.worker: answer.orders
                        for answer in effect.worker_orders
                    }
                )
        for name, orders in orders_by_worker.items():
            self.model_workers[int(name[1:])].carry_out_orders(orders)

    def _compute_results(self):
        counts_by_state = self.jobs_state.counts_by_state()
        ended_jobs = self.jobs_state.ended_jobs.values()
        evictions = sum(
            line.kind == 'evicting'
            for job in [*ended_jobs, *self.jobs_state.jobs.values()]
            for line in job.history
        )
        total_core_ms = len(self.model_workers) * CORES * DAY_MS
        return {
            'p99_ratio': _compute_mixed_p99(self.latency_samples, 1)
            / _compute_mixed_p99(self.latency_samples, 2),
            'worst_step': _load_share_over(self.latency_samples, 1.5),
            'done_share': counts_by_state.get('done', 0)
            / len(self.actual_jobs),
            'parked': counts_by_state.get('parked', 0),
            'evictions': evictions,
            'lost_share': sum(
                model_worker.lost_core_ms
                for model_worker in self.model_workers
            )
            / total_core_ms,
            'batch_use': self.used_milli_sum
            / (self.step_count * len(self.model_workers) * CORES * 1000),
        }


def _load_share_over(latency_samples, max_ratio):
    """Returns the share of the service load in samples with a high p99.

    Args:
        latency_samples: rows as for ``_compute_mixed_p99``.
        max_ratio: highest ratio of the p99 to the p99 without batch work that
            does not count as high.
    """
    high_p99_load = sum(
        load
        for load, p99_ms, undisturbed_ms in latency_samples
        if p99_ms > max_ratio * undisturbed_ms
    )
    return high_p99_load / sum(load for load, _, _ in latency_samples)


def _compute_mixed_p99(latency_samples, column):
    """Returns the p99 of the latency of all requests.

    Latencies within a step are taken as exponentially distributed; the p99 of
    the mixture, in milliseconds, is found by bisection over every seventh row.

    Args:
        latency_samples: rows of load, p99 and p99 without batch work, one for
            each step and worker.
        column: index of the p99 to use in a row.
    """
    total_load = sum(row[0] for row in latency_samples)
    weighted_rows = [
        (row[0] / total_load, row[column]) for row in latency_samples[::7]
    ]
    weight_sum = sum(weight for weight, _ in weighted_rows)
    low_ms, high_ms = 0.0, max(p99_ms for _, p99_ms in weighted_rows) * 3
    for _ in range(40):
        middle_ms = (low_ms + high_ms) / 2
        tail_weight = sum(
            weight * math.exp(-middle_ms * math.log(100) / p99_ms)
            for weight, p99_ms in weighted_rows
        )
        if tail_weight / weight_sum > 0.01:
            low_ms = middle_ms
        else:
            high_ms = middle_ms
    return high_ms


def _run_day(day_arguments):
    variant, seed, workers = day_arguments
    return variant, SimulatedDay(variant, seed, workers).run()


def main():
    """Runs the variants and prints one row of results for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=24)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument('--variants', default=','.join(VARIANTS))
    options = parser.parse_args()
    chosen_variants = options.variants.split(',')
    all_day_arguments = [
        (variant, seed, options.workers)
        for seed in range(options.seeds)
        for variant in chosen_variants
    ]
    results_by_variant = {variant: [] for variant in chosen_variants}
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for variant, day_results in pool.map(_run_day, all_day_arguments):
            results_by_variant[variant].append(day_results)
    columns = list(results_by_variant[chosen_variants[0]][0])
    print(f'workers={options.workers} seeds={options.seeds}')
    print('| variant | ' + ' | '.join(columns) + ' |')
    print('|---' * (len(columns) + 1) + '|')
    for variant, rows in results_by_variant.items():
        cells = [_format_cell([row[name] for row in rows]) for name in columns]
        print(f'| {variant} | ' + ' | '.join(cells) + ' |', flush=True)
    return 0


def _format_cell(values):
    return (
        f'{statistics.median(values):.3g} '
        f'({min(values):.3g}-{max(values):.3g})'
    )


if __name__ == '__main__':
    sys.exit(main())
