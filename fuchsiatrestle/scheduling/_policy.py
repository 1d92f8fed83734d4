"""Tunable settings of the scheduler."""

__all__ = ('Policy',)


class Policy:
    """Times, bounds and switches, each an optional keyword argument.

    Attributes:
        tick_ms: longest time between two ``Tick`` events.
        lease_ms: time that a worker may run an attempt without an answer to
            its reports.
        lease_margin_ms: time that the leader waits beyond a lease, for clock
            drift.
        silent_ms: a worker without a report for this long gets no new
            attempt.
        retire_ms: a worker without a report for this long, and without
            reservations, is removed.  The check is made once in this time, so
            the removal may take twice as long.
        max_batch: most jobs or events in one proposed command.
        max_in_flight: most commands of one kind that are proposed and neither
            applied nor rejected.
        max_misses: failed tries to place a job after which a round ends.
        max_candidates: most workers scored for one placement.
        evict_patience_ms: longest wait for a checkpoint before an evicted
            attempt is stopped.
        urgent_patience_ms: longest wait for a checkpoint of an attempt that is
            evicted to make room for an urgent job, or whose eviction an
            earlier leader began.
        refusal_pause_ms: a worker that refused a start gets no new attempt
            for this long.
        failed_workers: a job that failed on this many distinct workers that
            are not in quarantine is parked.
        checkpoint_gap_ms: least time between two checkpoints proposed for one
            attempt that is not being evicted.
        max_tail_ratio: a job that is not urgent waits rather than raise the
            estimated tail latency of a service above this multiple of its
            baseline.
        tail_patience_ms: a shape (see ``_queue.Shape``) that waits this long
            because of ``max_tail_ratio`` gets one placement, on the worker
            where the estimated harm is least.
        hot_tail_ratio: a measured tail latency above this multiple of its
            baseline makes the worker hot.
        calm_tail_ratio: a worker can be calm, so that a throttle may be
            relaxed, only while the measured tail latencies are below this
            multiple of their baselines.
        shrink_cpu: reserve the learned processor time even if it is less
            than declared; memory is never reserved below the declared size.
            Off by default, because a worker could then get more jobs than it
            can run if these use what they declared.
        learn_sizes: reserve more than declared if earlier jobs of the class
            used more.
        model_interference: choose workers by the estimated effect of a job's
            class on the services there; otherwise the first worker with room.
        control_pressure: throttle and evict attempts on workers under pressure
            (see ``_pressure``).
        quarantine_workers: place nothing but probes on workers that fail
            jobs which other workers can run.
    """

    _DEFAULTS = {
        'tick_ms': 100,
        'lease_ms': 10_000,
        'lease_margin_ms': 2_000,
        'silent_ms': 4_000,
        'retire_ms': 600_000,
        'max_batch': 256,
        'max_in_flight': 2,
        'max_misses': 64,
        'max_candidates': 24,
        'evict_patience_ms': 5_000,
        'urgent_patience_ms': 400,
        'refusal_pause_ms': 10_000,
        'failed_workers': 3,
        'checkpoint_gap_ms': 5_000,
        'max_tail_ratio': 2.0,
        'tail_patience_ms': 60_000,
        'hot_tail_ratio': 2.0,
        'calm_tail_ratio': 1.6,
        'shrink_cpu': False,
        'learn_sizes': True,
        'model_interference': True,
        'control_pressure': True,
        'quarantine_workers': True,
    }
    __slots__ = tuple(_DEFAULTS)

    def __init__(self, **settings):
        for name, default in self._DEFAULTS.items():
            setattr(self, name, settings.pop(name, default))
        if settings:
            raise TypeError(f'unknown policy settings {sorted(settings)!r}')
