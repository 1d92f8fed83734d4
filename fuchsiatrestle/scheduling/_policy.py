"""Tunable bounds of the scheduler."""

__all__ = ('Policy',)


class Policy:
    """Times, bounds and thresholds; every attribute is an argument.

    Attributes:
        tick_ms: longest time between two ``Tick`` events.
        lease_ms: time a worker may run an attempt unheard.
        lease_margin_ms: what the giver of a lease adds for clock drift.
        silent_ms: a worker unheard for this long takes no new attempt.
        retire_ms: a worker unheard for this long, without reservations, is
            dropped.
        max_batch: most jobs or events in one proposed command.
        max_in_flight: most proposals of one kind awaiting agreement.
        max_misses: most queued shapes tried in vain in one round.
        max_candidates: most workers scored for one placement.
        evict_patience_ms: time given for a checkpoint before the stop.
        urgent_patience_ms: the same when urgent work waits.
        refusal_pause_ms: a worker that refused a start gets no new one for
            this long.
        failed_workers: an idempotent job that failed on so many distinct
            trusted workers is parked.
        checkpoint_gap_ms: least time between two agreed checkpoints of one
            attempt that is not being evicted.
        max_tail_ratio: a placement waits rather than raise the estimated
            tail of a service beyond this multiple of its baseline.
        tail_patience_ms: a shape of jobs held back for so long gets one
            placement where it harms least.
        hot_tail_ratio: a measured tail beyond this multiple is answered.
        calm_tail_ratio: below this multiple a throttle may be lifted.
        shrink_cpu: reserve the learned processor time even if it is below
            the declared; memory is never reserved below the declared.  Off,
            because a worker may then be given more than it can hold should
            its jobs use what they declared.
        learn_sizes: reserve by measured sizes too.
        model_interference: place by, and learn, pair interference.
        control_pressure: throttle and evict on measured pressure.
        quarantine_workers: hold work back from workers that fail it.
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

    def __init__(self, **values):
        for name, default in self._DEFAULTS.items():
            setattr(self, name, values.pop(name, default))
        if values:
            raise TypeError(f'unknown policy {sorted(values)!r}')
