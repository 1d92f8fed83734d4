"""Judges ledgers: what must hold whatever failed during a run.

Every check takes lines of ledgers and returns a list of ``Breach``.
"""

import collections

__all__ = (
    'Breach',
    'check_answers',
    'check_attempts',
    'check_jobs_end',
    'check_leaving',
    'check_not_run',
    'check_patches',
    'check_planned_stops',
    'check_run_once',
    'check_slots',
    'check_versions',
)

LEAVING_LIMIT_NS = 4 * 10**9
# A worker that wakes up after its lease has ended stops the attempt at once.
WAKE_LIMIT_NS = 10**9
LEASE_ENDED = 'lease ran out'
FINAL_STATES = ('done', 'failed', 'cancelled', 'parked')


class Breach:
    """Something that must never happen and did.

    Attributes:
        check: name of the check.
        detail: one line with the identifiers to look for in the ledgers.
    """

    __slots__ = ('check', 'detail')

    def __init__(self, check, detail):
        self.check = check
        self.detail = detail

    def __repr__(self):
        return f'{self.check}: {self.detail}'


def _begins(runs):
    return [line for line in runs if line.event == 'begin']


# Requests


def check_run_once(runs):
    """A non-idempotent request runs at most once, resends included."""
    seen = collections.Counter(
        line.request_id for line in _begins(runs) if line.method != 'GET'
    )
    return [
        Breach('run_once', f'request {request_id} ran {count} times')
        for request_id, count in sorted(seen.items())
        if count > 1
    ]


def check_not_run(calls, runs):
    """What was refused as not run was not run."""
    began = {line.attempt_id for line in _begins(runs)}
    return [
        Breach('not_run', f'call {line.attempt_id} ran: {line.reason}')
        for line in calls
        if line.outcome == 'not-run' and line.attempt_id in began
    ]


def check_answers(calls, runs):
    """A 200 is the whole answer to this very request, which did run."""
    began = {line.request_id for line in _begins(runs)}
    breaches = []
    for line in calls:
        if line.answer == 'wrong':
            text = f'call {line.attempt_id} got a wrong or cut answer'
            breaches.append(Breach('answers', text))
        elif line.answer == 'whole' and line.request_id not in began:
            text = f'call {line.attempt_id} was answered and never ran'
            breaches.append(Breach('answers', text))
    return breaches


def check_slots(runs_by_upstream):
    """No upstream works on more requests at once than it has slots."""
    breaches = []
    for name, runs in sorted(runs_by_upstream.items()):
        over = [line for line in runs if line.in_flight > line.slots]
        if over:
            worst = max(line.in_flight for line in over)
            text = f'{name} had {worst} in flight, {len(over)} times over'
            breaches.append(Breach('slots', text))
    return breaches


def check_leaving(runs_by_upstream):
    """An upstream that leaves gets no new work after a few seconds."""
    breaches = []
    for name, runs in sorted(runs_by_upstream.items()):
        left_ns = None
        for line in runs:
            if line.event == 'leaving':
                left_ns = line.time_ns
            elif line.event == 'ready':
                left_ns = None
            elif line.event == 'begin' and left_ns is not None:
                late_ns = line.time_ns - left_ns
                if late_ns > LEAVING_LIMIT_NS:
                    text = f'{name} got {line.attempt_id} {late_ns} ns late'
                    breaches.append(Breach('leaving', text))
    return breaches


def check_planned_stops(calls_by_entry, faults):
    """A planned stop of an entry cuts off no call in progress.

    Args:
        calls_by_entry: calls by the name of the entry they went to.
        faults: ``FaultLine`` values.
    """
    breaches = []
    for fault in faults:
        if fault.kind != 'stop':
            continue
        for line in calls_by_entry.get(fault.target, ()):
            during = (
                line.start_ns < fault.done_ns and line.end_ns > fault.since_ns
            )
            # A listener that is closed refuses new connections, by design.
            connected = not line.reason.startswith('connect:')
            if during and connected and line.answer == 'none':
                text = f'{fault.target}: {line.attempt_id} {line.reason}'
                breaches.append(Breach('planned_stop', text))
    return breaches


# Configuration


def check_patches(patches, history):
    """Acknowledged patches stay; each patch id has one outcome.

    Args:
        patches: ``PatchLine`` values of all operators.
        history: dicts of the final configuration history.
    """
    breaches = []
    by_version = {item['version']: item['patch_id'] for item in history}
    outcomes = collections.defaultdict(set)
    for line in patches:
        if line.outcome == 'accepted':
            if by_version.get(line.version) != line.patch_id:
                text = f'{line.patch_id} accepted as {line.version} is lost'
                breaches.append(Breach('patches', text))
        if line.outcome != 'unknown':
            outcomes[line.patch_id].add((line.outcome, line.version))
    for patch_id, seen in sorted(outcomes.items()):
        if len(seen) > 1:
            text = f'{patch_id} had several outcomes: {sorted(seen)}'
            breaches.append(Breach('patches', text))
    accepted = set(by_version.values())
    for patch_id, seen in sorted(outcomes.items()):
        refused = {outcome for outcome, _ in seen} == {'conflict'}
        if refused and patch_id in accepted:
            text = f'{patch_id} was refused and is in the history'
            breaches.append(Breach('patches', text))
    return breaches + _check_numbers(by_version, history)


def _check_numbers(by_version, history):
    breaches = []
    if len(by_version) != len(history):
        breaches.append(Breach('patches', 'a version number stands twice'))
    if by_version:
        expected = set(range(min(by_version), max(by_version) + 1))
        missing = sorted(expected - set(by_version))
        if missing:
            breaches.append(Breach('patches', f'versions missing: {missing}'))
    ids = collections.Counter(by_version.values())
    for patch_id, count in sorted(ids.items()):
        if count > 1:
            text = f'{patch_id} became {count} versions'
            breaches.append(Breach('patches', text))
    return breaches


def check_versions(samples):
    """A version seen in force at an entry never goes down.

    Args:
        samples: ``VersionLine`` values, in order of time.
    """
    highest = {}
    breaches = []
    for line in samples:
        if not line.version:
            continue
        before = highest.get(line.entry, 0)
        if line.version < before:
            text = f'{line.entry} went from {before} to {line.version}'
            breaches.append(Breach('versions', text))
        highest[line.entry] = max(before, line.version)
    return breaches


# Jobs


class _Span:
    """Time in which one attempt ran, in nanoseconds."""

    __slots__ = ('attempt', 'job_id', 'start_ns', 'stop_ns', 'worker')

    def __init__(self, line, stop_ns):
        self.worker = line.worker
        self.job_id = line.job_id
        self.attempt = line.attempt
        self.start_ns = line.time_ns
        self.stop_ns = stop_ns

    def overlaps(self, other):
        return self.start_ns < other.stop_ns and other.start_ns < self.stop_ns

    def __repr__(self):
        return f'{self.job_id}#{self.attempt} on {self.worker}'


def _frozen_before(freezes, worker, end):
    """Returns since when a worker was frozen right before an end line."""
    for freeze in freezes:
        woke = freeze.until_ns - WAKE_LIMIT_NS < end.time_ns
        soon = end.time_ns < freeze.until_ns + WAKE_LIMIT_NS
        if freeze.target == worker and woke and soon:
            return freeze.done_ns
    return None


def _spans(attempts, faults, finished_ns):
    """Returns a ``_Span`` for every begin line.

    The span ends with its end line, or when the worker was killed.  If the
    worker was frozen beyond its lease, nothing ran from the freeze on.
    """
    ends = {
        (line.worker, line.incarnation, line.job_id, line.attempt): line
        for line in attempts
        if line.event == 'end'
    }
    freezes = [fault for fault in faults if fault.kind == 'freeze']
    kills = [fault for fault in faults if fault.kind in ('kill', 'stop')]
    for line in attempts:
        if line.event != 'begin':
            continue
        key = (line.worker, line.incarnation, line.job_id, line.attempt)
        end = ends.get(key)
        if end is None:
            stops = [
                kill.done_ns
                for kill in kills
                if kill.target == line.worker and kill.done_ns > line.time_ns
            ]
            yield _Span(line, min(stops, default=finished_ns))
            continue
        stop_ns = end.time_ns
        if end.why == LEASE_ENDED:
            since_ns = _frozen_before(freezes, line.worker, end)
            stop_ns = max(since_ns or stop_ns, line.time_ns)
        yield _Span(line, stop_ns)


def _check_overlaps(spans):
    by_job = collections.defaultdict(list)
    for span in spans:
        by_job[span.job_id].append(span)
    for job_spans in by_job.values():
        job_spans.sort(key=lambda span: span.start_ns)
        for place, span in enumerate(job_spans):
            for other in job_spans[place + 1 :]:
                if span.overlaps(other):
                    both_ns = span.stop_ns - other.start_ns
                    text = f'{span} and {other} for {both_ns} ns'
                    yield Breach('one_place', text)


def _check_starts(attempts, jobs):
    begins = [line for line in attempts if line.event == 'begin']
    numbers = collections.Counter(
        (line.job_id, line.attempt) for line in begins
    )
    for (job_id, attempt), count in sorted(numbers.items()):
        if count > 1:
            text = f'{job_id}#{attempt} started {count} times'
            yield Breach('attempts', text)
    starts = collections.Counter(line.job_id for line in begins)
    for job_id, count in sorted(starts.items()):
        billed = job_id in jobs and not jobs[job_id]['idempotent']
        if billed and count > 1:
            text = f'billed job {job_id} started {count} times'
            yield Breach('billed', text)
    resumed = collections.Counter(
        (line.job_id, line.resumed_attempt, line.resumed_from)
        for line in begins
        if line.resumed_from
    )
    for (job_id, attempt, checkpoint), count in sorted(resumed.items()):
        if count > 1:
            text = f'{job_id}#{attempt} checkpoint {checkpoint}: {count} times'
            yield Breach('resumed', text)


def _check_capacity(spans, jobs, capacity_milli):
    """Sums declared processor time of what runs at once on a worker."""
    by_worker = collections.defaultdict(list)
    for span in spans:
        size = jobs.get(span.job_id, {}).get('size', {}).get('cpu_milli', 0)
        by_worker[span.worker].append((span.start_ns, size))
        by_worker[span.worker].append((span.stop_ns, -size))
    for worker, changes in sorted(by_worker.items()):
        # At one moment ends come before starts.
        used = highest = 0
        for _, size in sorted(changes):
            used += size
            highest = max(highest, used)
        if highest > capacity_milli:
            text = f'{worker} ran {highest} of {capacity_milli}'
            yield Breach('capacity', text)


def check_attempts(attempts, jobs, faults, capacity_milli, finished_ns):
    """No job runs in two places; each attempt and checkpoint is used once.

    Args:
        attempts: ``AttemptLine`` values of all workers.
        jobs: submitted jobs by id, as in the body of the call.
        faults: ``FaultLine`` values.
        capacity_milli: processor time of each worker.
        finished_ns: when the ledgers were read.
    """
    spans = list(_spans(attempts, faults, finished_ns))
    return [
        *_check_starts(attempts, jobs),
        *_check_overlaps(spans),
        *_check_capacity(spans, jobs, capacity_milli),
    ]


def check_jobs_end(submitted, views, attempts):
    """Every acknowledged job ended, and the done ones did run to the end.

    Args:
        submitted: identifiers of acknowledged jobs.
        views: final job views by id.
        attempts: ``AttemptLine`` values of all workers.
    """
    done = {
        line.job_id
        for line in attempts
        if line.event == 'end' and line.why == 'done'
    }
    breaches = []
    for job_id in sorted(submitted):
        view = views.get(job_id)
        if view is None:
            breaches.append(Breach('jobs', f'{job_id} is lost'))
        elif view['state'] not in FINAL_STATES:
            text = f'{job_id} is still {view["state"]}: {view["reason"]}'
            breaches.append(Breach('jobs', text))
        elif view['state'] == 'done' and job_id not in done:
            text = f'{job_id} is done and no worker finished it'
            breaches.append(Breach('jobs', text))
    return breaches
