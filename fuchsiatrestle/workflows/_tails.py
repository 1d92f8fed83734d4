"""Half-second windows of what a worker shows, for learning; decisions only.

Looks come at any time, several within the half second that a figure covers.
Taken one by one they would count the same disturbance several times.
"""

import collections
import statistics

from fuchsiatrestle.workflows import _interference

__all__ = ('TailWindow',)

# Figures cover half a second.
WINDOW_MS = 450
# The first figures of a serving task show its start-up.
STARTED_UP_MS = 1500


class TailWindow:
    """Collects the figures of one worker and learns from them.

    Args:
        worker: id of the worker.
        interference: ``Interference`` that takes what was seen.
    """

    __slots__ = (
        '_before',
        '_began_ms',
        '_interference',
        '_peaks',
        '_ratios',
        '_readings',
        '_shares',
        '_worker',
    )

    def __init__(self, worker, interference):
        self._worker = worker
        self._interference = interference
        # Of the window before: largest shares and tails by image.
        self._before = ({}, {})
        self._start(None)

    def _start(self, now_ms):
        self._began_ms = now_ms
        self._readings = 0
        self._shares = collections.Counter()
        self._peaks = {}
        self._ratios = {}

    def observe(self, filling, serving, capacity_cpu, now_ms):
        """Takes one look; learns once the window is full.

        Args:
            filling: running ``Run`` values that fill.
            serving: running ``Run`` values with a tail.
            capacity_cpu: processor time of the worker, in thousandths of a
                core.
            now_ms: monotonic time.
        """
        if self._began_ms is None:
            self._began_ms = now_ms
        shares = collections.Counter()
        for run in filling:
            shares[run.step.image] += (run.figure or 0) / capacity_cpu
        self._readings += 1
        self._shares.update(shares)
        _raise_to(self._peaks, shares)
        _raise_to(self._ratios, _ratios(serving, now_ms))
        if now_ms - self._began_ms >= WINDOW_MS:
            self._learn()
            self._before = (self._peaks, self._ratios)
            self._start(now_ms)

    def _learn(self):
        shares = {
            image: share / self._readings
            for image, share in self._shares.items()
        }
        peaks_before, ratios_before = self._before
        # The tail may still show what ended within the window before.
        recent = dict(self._peaks)
        _raise_to(recent, peaks_before)
        for image, ratio in self._ratios.items():
            self._interference.calm(image, ratio, shares, self._worker)
            recovering_at = _interference.RECOVERING_AT * ratios_before.get(
                image, 0
            )
            if ratio > recovering_at:
                self._interference.disturbed(
                    image, ratio, recent, self._worker
                )


def _raise_to(most, values):
    """Raises each value of a dictionary to at least another one."""
    for key, value in values.items():
        most[key] = max(value, most.get(key, 0))


def _ratios(serving, now_ms):
    """Returns the median tail by serving image, as a share of its target.

    One task may have a peak of its own; what fills disturbs all of them.
    """
    by_image = {}
    for run in serving:
        if now_ms - (run.started_ms or 0) < STARTED_UP_MS:
            continue
        ratio = run.figure / run.step.tail_target_ms
        by_image.setdefault(run.step.image, []).append(ratio)
    return {
        image: statistics.median(found) for image, found in by_image.items()
    }
