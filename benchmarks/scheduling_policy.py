"""Measures the scheduling policy on a small model of interference.

``python -m benchmarks.scheduling_policy --workers 24 --seeds 10`` runs every
variant on the same seeds and prints medians with their spread.  The model's
parameters are drawn from the seed and are not known to the scheduler, which
sees late and noisy measurements alone.  A day is compressed into six hours.
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
CLASSES = 12
SERVICES = ('quotes', 'watch')
BAD_SHARE = 0.05
LAGS_MS = (10_000, 20_000, 30_000)
NOISE = 0.08
LOAD_SHARE = 0.5
CHECKPOINT_MS = 120_000
MIN_P99_MS = 20.0

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


class ByName(_placement.PlacementRule):
    """First fit in a fixed order of workers."""

    def pick(self, job, need, names, patient=True):
        """Returns the first name in the order of names."""
        return min(names) if names else None


class JobClass:
    """What a class of jobs really does."""

    def __init__(self, rng, name, noisy):
        self.name = name
        self.cpu_milli = rng.choice((1000, 2000, 3000, 4000))
        self.memory_mib = rng.choice((2000, 4000, 8000))
        self.run_ms = rng.uniform(6, 25) * 60_000
        self.cpu_factor = math.exp(rng.uniform(math.log(0.3), math.log(4)))
        self.memory_factor = math.exp(
            rng.uniform(math.log(0.3), math.log(2.5))
        )
        bad = noisy or rng.random() < 0.25
        self.harm = {
            service: rng.uniform(0.03, 0.08)
            if bad and rng.random() < 0.7
            else rng.uniform(0.0, 0.006)
            for service in SERVICES
        }


class Run:
    """One attempt on a model worker."""

    def __init__(self, order, work):
        self.order = order
        self.work = work
        self.state = 'running'
        self.done_ms = work.saved_ms.get(order.resume_from, 0.0)
        self.checkpoint = order.resume_from
        self.checkpoint_done_ms = self.done_ms
        self.throttle_milli = 0
        self.used = messages.Resources(0, 0)

    def save(self):
        """Writes a checkpoint."""
        if self.done_ms > self.checkpoint_done_ms:
            self.checkpoint += 1
            self.checkpoint_done_ms = self.done_ms
            self.work.saved_ms[self.checkpoint] = self.done_ms


class Work:
    """The real size and length of one job."""

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
        self.saved_ms = {0: 0.0}


class Host:
    """A model worker with one service instance."""

    def __init__(self, rng, number, rack_size, data_centres, works, bad):
        self.name = f'w{number:03d}'
        self.rack = f'r{number // rack_size}'
        self.data_centre = f'dc{number // rack_size % data_centres}'
        self.service = SERVICES[number % len(SERVICES)]
        self.bias = rng.uniform(0.85, 1.15)
        self.lag_ms = rng.choice(LAGS_MS)
        self.works = works
        self.bad = bad
        self.runs = {}
        self.seq = 0
        self.past = []
        self.lost_ms = 0.0
        self.p99_ms = self.alone_ms = MIN_P99_MS
        self.load = 0.0

    def advance(self, rng, load, now_ms):
        """Lets one step pass under a service load from 0 to 1."""
        load = min(1.0, load * self.bias)
        service_milli = int(load * 0.4 * CORES * 1000)
        runs = [r for r in self.runs.values() if r.state == 'running']
        wanted = [
            min(r.work.cpu_milli, r.throttle_milli or r.work.cpu_milli)
            for r in runs
        ]
        room = CORES * 1000 - service_milli
        share = min(1.0, room / sum(wanted)) if runs else 1.0
        for run, milli in zip(runs, wanted, strict=True):
            self._advance_run(run, int(milli * share), now_ms)
        demand = (service_milli + sum(wanted)) / (CORES * 1000)
        self._set_latency(load, demand, service_milli, now_ms, rng)
        self._overflow()

    def _advance_run(self, run, milli, now_ms):
        work = run.work
        run.used = messages.Resources(milli, work.memory_mib)
        run.done_ms += STEP_MS * milli / max(1, work.cpu_milli)
        if self.bad and run.done_ms > 20_000:
            run.state = 'failed'
        elif run.done_ms >= work.run_ms:
            run.state = 'done'
        elif run.done_ms - run.checkpoint_done_ms >= CHECKPOINT_MS:
            run.save()

    def _set_latency(self, load, demand, service_milli, now_ms, rng):
        self.load = load
        self.alone_ms = MIN_P99_MS * (1 + 1.5 * load**3)
        harm = sum(
            run.used.cpu_milli / 1000 * run.work.job_class.harm[self.service]
            for run in self.runs.values()
            if run.state == 'running'
        )
        crowd = 1 + 3 * max(0.0, demand - 0.9)
        self.p99_ms = self.alone_ms * math.exp(harm) * crowd
        seen = messages.ServiceLoad(
            self.service,
            messages.Resources(service_milli, 20_000),
            self.p99_ms * math.exp(rng.gauss(0, NOISE)),
            0,
        )
        self.past.append((now_ms, seen))
        del self.past[: -1 - max(LAGS_MS) // STEP_MS]

    def _overflow(self):
        runs = [r for r in self.runs.values() if r.state == 'running']
        used = 20_000 + sum(run.used.memory_mib for run in runs)
        for run in sorted(runs, key=lambda run: -run.used.memory_mib):
            if used <= MEMORY_MIB:
                return
            used -= run.used.memory_mib
            run.state = 'failed'
            self._lose(run)

    def _lose(self, run):
        cores = run.work.cpu_milli / 1000
        self.lost_ms += cores * (run.done_ms - run.checkpoint_done_ms)

    def report(self, now_ms):
        """Returns the next report; service loads come late."""
        self.seq += 1
        old = [item for item in self.past if item[0] <= now_ms - self.lag_ms]
        services = []
        if old:
            at_ms, seen = old[-1]
            services.append(
                messages.ServiceLoad(
                    seen.service, seen.used, seen.p99_ms, now_ms - at_ms
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
            for job_id, run in self.runs.items()
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

    def take(self, orders):
        """Carries out orders."""
        throttled = set()
        for order in orders:
            run = self.runs.get(order.job_id)
            if order.kind == 'start' and run is None:
                work = self.works[order.job_id]
                self.runs[order.job_id] = Run(order, work)
            elif run is None or run.order.attempt != order.attempt:
                continue
            elif order.kind == 'forget':
                del self.runs[order.job_id]
            elif run.state == 'running':
                self._obey(run, order, throttled)
        for job_id, run in self.runs.items():
            if job_id not in throttled:
                run.throttle_milli = 0

    def _obey(self, run, order, throttled):
        if order.kind == 'stop':
            run.state = 'stopped'
            self._lose(run)
        elif order.kind == 'checkpoint':
            run.save()
        elif order.kind == 'throttle':
            run.throttle_milli = order.throttle_milli
            throttled.add(order.job_id)


class Day:
    """One simulated day under one variant."""

    def __init__(self, variant, seed, workers):
        rng = self.rng = random.Random(seed)
        self.works = {}
        self.classes = [
            JobClass(rng, f'c{number}', noisy=number < 2)
            for number in range(CLASSES)
        ]
        rack_size, data_centres = (6, 4) if workers == 24 else (11, 3)
        bad = set(
            rng.sample(range(workers), max(1, round(workers * BAD_SHARE)))
        )
        self.hosts = [
            Host(rng, n, rack_size, data_centres, self.works, n in bad)
            for n in range(workers)
        ]
        self.arrivals = self._draw_arrivals(rng, workers)
        self.index = 0
        policy = scheduling.Policy(
            lease_ms=3 * STEP_MS,
            silent_ms=3 * STEP_MS,
            max_candidates=64,
            **VARIANTS[variant],
        )
        self.part = jobs_part.JobsPart()
        self.scheduler = scheduling.Scheduler(self.part, 0, policy)
        if variant == 'first_fit':
            self.scheduler._parts.dispatcher._rule = ByName()
        self.mixture = []
        self.used_milli = 0
        self.steps = 0

    def _draw_arrivals(self, rng, workers):
        budget = workers * CORES * DAY_MS * LOAD_SHARE
        arrivals = []
        while budget > 0:
            job_class = rng.choice(self.classes)
            at_ms = rng.choice((0, 0, rng.uniform(0, DAY_MS * 0.7)))
            count = 1
            if job_class in self.classes[:2]:
                at_ms, count = rng.uniform(0, DAY_MS * 0.7), 12
            for _ in range(count):
                job_id = f'j{len(self.works):05d}'
                work = self.works[job_id] = Work(rng, job_class)
                arrivals.append((at_ms, job_id))
                budget -= work.cpu_milli / 1000 * work.run_ms
        return sorted(arrivals, reverse=True)

    def run(self):
        """Runs the day; returns its measures by name."""
        for now_ms in range(STEP_MS, DAY_MS + 1, STEP_MS):
            self._submit(now_ms)
            self._pass(scheduling.Tick(), now_ms)
            phase = 2 * math.pi * now_ms / DAY_MS
            load = 0.55 - 0.35 * math.cos(2 * phase)
            for host in self.hosts:
                host.advance(self.rng, load, now_ms)
                event = scheduling.Reports('e', 0, [host.report(now_ms)])
                self._pass(event, now_ms)
                self.mixture.append((host.load, host.p99_ms, host.alone_ms))
                self.used_milli += sum(
                    run.used.cpu_milli
                    for run in host.runs.values()
                    if run.state == 'running'
                )
            self.steps += 1
        return self._measures()

    def _submit(self, now_ms):
        specs = []
        while self.arrivals and self.arrivals[-1][0] <= now_ms:
            _, job_id = self.arrivals.pop()
            job_class = self.works[job_id].job_class
            size = messages.Resources(
                job_class.cpu_milli, job_class.memory_mib
            )
            specs.append(
                commands.JobSpec(job_id, 'team', job_class.name, 5, size)
            )
        if specs:
            self._agree(commands.SubmitJobs(specs), now_ms)

    def _agree(self, command, now_ms):
        self.index += 1
        outcome = self.part.apply(self.index, command)
        self._pass(scheduling.Applied(command, outcome), now_ms)

    def _pass(self, event, now_ms):
        by_name = {}
        for effect in self.scheduler.step(event, now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self._agree(effect.command, now_ms)
            elif isinstance(effect, scheduling.AnswerReports):
                by_name.update({o.worker: o.orders for o in effect.orders})
        for name, orders in by_name.items():
            self.hosts[int(name[1:])].take(orders)

    def _measures(self):
        counts = self.part.counts_by_state()
        ended = self.part.ended_jobs.values()
        evictions = sum(
            line.kind == 'evicting'
            for job in [*ended, *self.part.jobs.values()]
            for line in job.history
        )
        total_ms = len(self.hosts) * CORES * DAY_MS
        return {
            'p99_ratio': _mixed_p99(self.mixture, 1)
            / _mixed_p99(self.mixture, 2),
            'worst_step': _share_over(self.mixture, 1.5),
            'done_share': counts.get('done', 0) / len(self.works),
            'parked': counts.get('parked', 0),
            'evictions': evictions,
            'lost_share': sum(h.lost_ms for h in self.hosts) / total_ms,
            'batch_use': self.used_milli
            / (self.steps * len(self.hosts) * CORES * 1000),
        }


def _share_over(mixture, limit):
    over = sum(load for load, p99, alone in mixture if p99 > limit * alone)
    return over / sum(load for load, _, _ in mixture)


def _mixed_p99(mixture, column):
    """Returns the p99 of all requests, exponential within each step."""
    total = sum(row[0] for row in mixture)
    rows = [(row[0] / total, row[column]) for row in mixture[::7]]
    scale = sum(weight for weight, _ in rows)
    low, high = 0.0, max(p99 for _, p99 in rows) * 3
    for _ in range(40):
        middle = (low + high) / 2
        tail = sum(
            weight * math.exp(-middle * math.log(100) / p99)
            for weight, p99 in rows
        )
        if tail / scale > 0.01:
            low = middle
        else:
            high = middle
    return high


def _run_one(task):
    variant, seed, workers = task
    return variant, Day(variant, seed, workers).run()


def main():
    """Runs the variants and prints one row each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=24)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument('--variants', default=','.join(VARIANTS))
    options = parser.parse_args()
    chosen = options.variants.split(',')
    tasks = [
        (variant, seed, options.workers)
        for seed in range(options.seeds)
        for variant in chosen
    ]
    results = {variant: [] for variant in chosen}
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for variant, measures in pool.map(_run_one, tasks):
            results[variant].append(measures)
    names = list(results[chosen[0]][0])
    print(f'workers={options.workers} seeds={options.seeds}')
    print('| variant | ' + ' | '.join(names) + ' |')
    print('|---' * (len(names) + 1) + '|')
    for variant, rows in results.items():
        cells = [_cell([row[name] for row in rows]) for name in names]
        print(f'| {variant} | ' + ' | '.join(cells) + ' |', flush=True)
    return 0


def _cell(values):
    return (
        f'{statistics.median(values):.3g} '
        f'({min(values):.3g}-{max(values):.3g})'
    )


if __name__ == '__main__':
    sys.exit(main())
