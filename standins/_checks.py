"""Checks ledgers for violations of the guarantees of the system.

The guarantees hold whichever faults occurred during a run.  Every check takes
lines of ledgers and returns a list of ``Breach``.
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

# The default --leave_s of standins.upstream.
LEAVING_GRACE_NS = 4 * 10**9
# A worker that is resumed after its lease has ended stops the attempt at once.
RESUME_GRACE_NS = 10**9
# Reason that the stand-in worker records when the lease of an attempt ended.
LEASE_EXPIRED_TEXT = 'lease ran out'
FINAL_STATES = ('done', 'failed', 'cancelled', 'parked')


class Breach:
    """A violated guarantee.

    Attributes:
        check: name of the check that found it.
        detail: one line with the identifiers to look for in the ledgers.
    """

    __slots__ = ('check', 'detail')

    def __init__(self, check, detail):
        self.check = check
        self.detail = detail

    def __repr__(self):
        return f'{self.check}: {self.detail}'


def _select_begin_lines(runs):
    return [line for line in runs if line.event == 'begin']


# Requests


def check_run_once(runs):
    """Finds non-idempotent requests that ran more than once.

    A resend counts as the same request.
    """
    begins_by_request = collections.Counter(
        line.request_id
        for line in _select_begin_lines(runs)
        if line.method != 'GET'
    )
    return [
        Breach('run_once', f'request {request_id} ran {count} times')
        for request_id, count in sorted(begins_by_request.items())
        if count > 1
    ]


def check_not_run(calls, runs):
    """Finds calls that ran although they were refused as ``not-run``."""
    begun_attempt_ids = {line.attempt_id for line in _select_begin_lines(runs)}
    return [
        Breach('not_run', f'call {line.attempt_id} ran: {line.reason}')
        for line in calls
        if line.outcome == 'not-run' and line.attempt_id in begun_attempt_ids
    ]


def check_answers(calls, runs):
    """Finds wrong answers, and answers to requests that never ran.

    Only answers with status 200 count.
    """
    begun_request_ids = {line.request_id for line in _select_begin_lines(runs)}
    breaches = []
    for line in calls:
        if line.answer == 'wrong':
            text = f'call {line.attempt_id} got a wrong or cut answer'
            breaches.append(Breach('answers', text))
        elif (
            line.answer == 'whole' and line.request_id not in begun_request_ids
        ):
            text = f'call {line.attempt_id} was answered and never ran'
            breaches.append(Breach('answers', text))
    return breaches


def check_slots(runs_by_upstream):
    """Finds upstreams that ran more requests at once than they have slots."""
    breaches = []
    for name, runs in sorted(runs_by_upstream.items()):
        lines_over_limit = [
            line for line in runs if line.in_flight > line.slots
        ]
        if lines_over_limit:
            max_in_flight = max(line.in_flight for line in lines_over_limit)
            text = (
                f'{name} had {max_in_flight} in flight,'
                f' {len(lines_over_limit)} times over'
            )
            breaches.append(Breach('slots', text))
    return breaches


def check_leaving(runs_by_upstream):
    """Finds requests that an upstream began after it announced that it leaves.

    Requests within ``LEAVING_GRACE_NS`` are accepted, as every entry first
    has to learn of the announcement.
    """
    breaches = []
    for name, runs in sorted(runs_by_upstream.items()):
        leaving_since_ns = None
        for line in runs:
            if line.event == 'leaving':
                leaving_since_ns = line.time_ns
            elif line.event == 'ready':
                leaving_since_ns = None
            elif line.event == 'begin' and leaving_since_ns is not None:
                elapsed_ns = line.time_ns - leaving_since_ns
                if elapsed_ns > LEAVING_GRACE_NS:
                    text = f'{name} got {line.attempt_id} {elapsed_ns} ns late'
                    breaches.append(Breach('leaving', text))
    return breaches


def check_planned_stops(calls_by_entry, faults):
    """Finds calls left unanswered by a planned stop of their entry.

    A call that could not connect does not count.

    Args:
        calls_by_entry: ``CallLine`` values by the name of the called entry.
        faults: ``FaultLine`` values.
    """
    breaches = []
    for fault in faults:
        if fault.kind != 'stop':
            continue
        for line in calls_by_entry.get(fault.target, ()):
            overlaps_stop = (
                line.start_ns < fault.done_ns and line.end_ns > fault.since_ns
            )
            # A stopping entry closes its listener first, so new connections
            # are refused as intended.
            has_connected = not line.reason.startswith('connect:')
            if overlaps_stop and has_connected and line.answer == 'none':
                text = f'{fault.target}: {line.attempt_id} {line.reason}'
                breaches.append(Breach('planned_stop', text))
    return breaches


# Configuration


def check_patches(patches, history):
    """Finds lost patches and patches with contradictory outcomes.

    The history must contain each accepted patch as the version that was
    acknowledged and no patch that was refused as a conflict.  Its versions
    must be consecutive, each of a different patch.

    Args:
        patches: ``PatchLine`` values of all operators.
        history: final configuration history, dicts with ``version`` and
            ``patch_id``.
    """
    breaches = []
    patch_id_by_version = {
        item['version']: item['patch_id'] for item in history
    }
    outcomes_by_patch = collections.defaultdict(set)
    for line in patches:
        if line.outcome == 'accepted':
            if patch_id_by_version.get(line.version) != line.patch_id:
                text = f'{line.patch_id} accepted as {line.version} is lost'
                breaches.append(Breach('patches', text))
        if line.outcome != 'unknown':
            outcomes_by_patch[line.patch_id].add((line.outcome, line.version))
    for patch_id, patch_outcomes in sorted(outcomes_by_patch.items()):
        if len(patch_outcomes) > 1:
            text = f'{patch_id} had several outcomes: {sorted(patch_outcomes)}'
            breaches.append(Breach('patches', text))
    patch_ids_in_history = set(patch_id_by_version.values())
    for patch_id, patch_outcomes in sorted(outcomes_by_patch.items()):
        only_conflicts = {outcome for outcome, _ in patch_outcomes} == {
            'conflict'
        }
        if only_conflicts and patch_id in patch_ids_in_history:
            text = f'{patch_id} was refused and is in the history'
            breaches.append(Breach('patches', text))
    return breaches + _check_history_numbers(patch_id_by_version, history)


def _check_history_numbers(patch_id_by_version, history):
    """Finds repeated and missing versions, and patches with several."""
    breaches = []
    if len(patch_id_by_version) != len(history):
        breaches.append(Breach('patches', 'a version number occurs twice'))
    if patch_id_by_version:
        expected_versions = set(
            range(min(patch_id_by_version), max(patch_id_by_version) + 1)
        )
        missing_versions = sorted(expected_versions - set(patch_id_by_version))
        if missing_versions:
            breaches.append(
                Breach('patches', f'versions missing: {missing_versions}')
            )
    version_counts = collections.Counter(patch_id_by_version.values())
    for patch_id, count in sorted(version_counts.items()):
        if count > 1:
            text = f'{patch_id} became {count} versions'
            breaches.append(Breach('patches', text))
    return breaches


def check_versions(version_lines):
    """Finds entries whose version in force went down.

    Args:
        version_lines: ``VersionLine`` values, in order of time; version 0
            (none in force yet) is skipped.
    """
    highest_versions = {}
    breaches = []
    for line in version_lines:
        if not line.version:
            continue
        highest_version = highest_versions.get(line.entry, 0)
        if line.version < highest_version:
            text = (
                f'{line.entry} went from {highest_version} to {line.version}'
            )
            breaches.append(Breach('versions', text))
        highest_versions[line.entry] = max(highest_version, line.version)
    return breaches


# Jobs


class _AttemptSpan:
    """Time span in which one attempt ran.

    Attributes:
        worker: name of the worker.
        job_id: identifier of the job.
        attempt: number of the attempt.
        start_ns: when it began, in nanoseconds of the system-wide monotonic
            clock.
        stop_ns: when it ended, by the same clock.
    """

    __slots__ = ('attempt', 'job_id', 'start_ns', 'stop_ns', 'worker')

    def __init__(self, line, stop_ns):
        self.worker = line.worker
        self.job_id = line.job_id
        self.attempt = line.attempt
        self.start_ns = line.time_ns
        self.stop_ns = stop_ns

    def overlaps(self, other):
        """Returns True if both attempts ran at the same time."""
        return self.start_ns < other.stop_ns and other.start_ns < self.stop_ns

    def __repr__(self):
        return f'{self.job_id}#{self.attempt} on {self.worker}'


def _find_freeze_start_ns(freezes, worker, end_line):
    """Returns the start of the freeze at whose end an attempt was ended.

    The end line has to be written within ``RESUME_GRACE_NS`` of the time at
    which the worker was resumed; the result is None if there is no such
    freeze.
    """
    for freeze in freezes:
        not_too_early = freeze.until_ns - RESUME_GRACE_NS < end_line.time_ns
        not_too_late = end_line.time_ns < freeze.until_ns + RESUME_GRACE_NS
        if freeze.target == worker and not_too_early and not_too_late:
            return freeze.done_ns
    return None


def _make_spans(attempts, faults, finished_ns):
    """Yields an ``_AttemptSpan`` for every begin line.

    The span ends with its end line; without one, when the worker was killed
    or at ``finished_ns``.  If the lease expired while the worker was frozen,
    the span ends with the start of the freeze, as nothing ran after it.
    """
    end_lines = {
        (line.worker, line.incarnation, line.job_id, line.attempt): line
        for line in attempts
        if line.event == 'end'
    }
    freezes = [fault for fault in faults if fault.kind == 'freeze']
    kill_faults = [fault for fault in faults if fault.kind in ('kill', 'stop')]
    for line in attempts:
        if line.event != 'begin':
            continue
        attempt_key = (
            line.worker,
            line.incarnation,
            line.job_id,
            line.attempt,
        )
        end_line = end_lines.get(attempt_key)
        if end_line is None:
            kill_times_ns = [
                kill.done_ns
                for kill in kill_faults
                if kill.target == line.worker and kill.done_ns > line.time_ns
            ]
            yield _AttemptSpan(line, min(kill_times_ns, default=finished_ns))
            continue
        stop_ns = end_line.time_ns
        if end_line.why == LEASE_EXPIRED_TEXT:
            freeze_start_ns = _find_freeze_start_ns(
                freezes, line.worker, end_line
            )
            stop_ns = max(freeze_start_ns or stop_ns, line.time_ns)
        yield _AttemptSpan(line, stop_ns)


def _check_overlaps(spans):
    """Yields a breach for each two attempts of a job that ran at once."""
    spans_by_job = collections.defaultdict(list)
    for span in spans:
        spans_by_job[span.job_id].append(span)
    for job_spans in spans_by_job.values():
        job_spans.sort(key=lambda span: span.start_ns)
        for index, span in enumerate(job_spans):
            for other in job_spans[index + 1 :]:
                if span.overlaps(other):
                    overlap_ns = span.stop_ns - other.start_ns
                    text = f'{span} and {other} for {overlap_ns} ns'
                    yield Breach('one_place', text)


def _check_starts(attempts, jobs):
    """Yields a breach for each repeated start.

    An attempt may start once, a job that is not idempotent (called billed in
    the breaches) may start once, and a checkpoint may be resumed from once.
    """
    begin_lines = [line for line in attempts if line.event == 'begin']
    begins_by_attempt = collections.Counter(
        (line.job_id, line.attempt) for line in begin_lines
    )
    for (job_id, attempt), count in sorted(begins_by_attempt.items()):
        if count > 1:
            text = f'{job_id}#{attempt} started {count} times'
            yield Breach('attempts', text)
    begins_by_job = collections.Counter(line.job_id for line in begin_lines)
    for job_id, count in sorted(begins_by_job.items()):
        may_start_once = job_id in jobs and not jobs[job_id]['idempotent']
        if may_start_once and count > 1:
            text = f'billed job {job_id} started {count} times'
            yield Breach('billed', text)
    begins_by_checkpoint = collections.Counter(
        (line.job_id, line.resumed_attempt, line.resumed_from)
        for line in begin_lines
        if line.resumed_from
    )
    for (job_id, attempt, checkpoint), count in sorted(
        begins_by_checkpoint.items()
    ):
        if count > 1:
            text = f'{job_id}#{attempt} checkpoint {checkpoint}: {count} times'
            yield Breach('resumed', text)


def _check_capacity(spans, jobs, capacity_milli):
    """Yields a breach for each worker whose attempts exceeded its processors.

    Sums the declared ``cpu_milli`` of the attempts that ran at once.
    """
    cpu_changes_by_worker = collections.defaultdict(list)
    for span in spans:
        cpu_milli = (
            jobs.get(span.job_id, {}).get('size', {}).get('cpu_milli', 0)
        )
        cpu_changes_by_worker[span.worker].append((span.start_ns, cpu_milli))
        cpu_changes_by_worker[span.worker].append((span.stop_ns, -cpu_milli))
    for worker, cpu_changes in sorted(cpu_changes_by_worker.items()):
        # At the same time, ends sort before starts, as their change is
        # negative.
        used_milli = max_used_milli = 0
        for _, cpu_milli in sorted(cpu_changes):
            used_milli += cpu_milli
            max_used_milli = max(max_used_milli, used_milli)
        if max_used_milli > capacity_milli:
            text = f'{worker} ran {max_used_milli} of {capacity_milli}'
            yield Breach('capacity', text)


def check_attempts(attempts, jobs, faults, capacity_milli, finished_ns):
    """Finds jobs that ran twice at once and attempts that started wrongly.

    Each attempt starts once, each checkpoint is resumed from once, jobs that
    are not idempotent start once, and no worker exceeds its processors.

    Args:
        attempts: ``AttemptLine`` values of all workers.
        jobs: submitted jobs by id, as in the body of the call.
        faults: ``FaultLine`` values.
        capacity_milli: processors of each worker, in thousandths of a core.
        finished_ns: when the ledgers were read, by the system-wide monotonic
            clock; an attempt without an end line counts as running until
            then.
    """
    spans = list(_make_spans(attempts, faults, finished_ns))
    return [
        *_check_starts(attempts, jobs),
        *_check_overlaps(spans),
        *_check_capacity(spans, jobs, capacity_milli),
    ]


def check_jobs_end(job_ids, job_views, attempts):
    """Finds acknowledged jobs that are lost, unfinished or falsely done.

    Args:
        job_ids: identifiers of acknowledged jobs.
        job_views: last answer of ``GET /v1/jobs/ID`` for each job, by id.
        attempts: ``AttemptLine`` values of all workers.
    """
    finished_job_ids = {
        line.job_id
        for line in attempts
        if line.event == 'end' and line.why == 'done'
    }
    breaches = []
    for job_id in sorted(job_ids):
        job_view = job_views.get(job_id)
        if job_view is None:
            breaches.append(Breach('jobs', f'{job_id} is lost'))
        elif job_view['state'] not in FINAL_STATES:
            text = (
                f'{job_id} is still {job_view["state"]}: {job_view["reason"]}'
            )
            breaches.append(Breach('jobs', text))
        elif job_view['state'] == 'done' and job_id not in finished_job_ids:
            text = f'{job_id} is done and no worker finished it'
            breaches.append(Breach('jobs', text))
    return breaches
