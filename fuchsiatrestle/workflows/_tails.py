"""Combines the measurements of a worker into windows for learning.

A measurement covers the last half second, but a worker may be polled several
times within that time.  If each poll counted on its own, the interference
model would count the same disturbance several times.
"""

import collections
import statistics

from fuchsiatrestle.workflows import _interference

__all__ = ('TailWindow',)

# A little less than the half second that a measurement covers.
WINDOW_MS = 450
# The first measurements of a serving task show its start-up and are skipped.
STARTUP_MS = 1500


class TailWindow:
    """Collects the measurements of one worker and updates the model.

    Args:
        worker_name: id of the worker.
        interference_model: ``InterferenceModel`` to be updated.
    """

    __slots__ = (
        '_cpu_share_sums',
        '_interference_model',
        '_max_cpu_shares',
        '_max_tail_ratios',
        '_previous_window_maxima',
        '_sample_count',
        '_window_start_ms',
        '_worker_name',
    )

    def __init__(self, worker_name, interference_model):
        self._worker_name = worker_name
        self._interference_model = interference_model
        # The largest CPU shares and the largest tail ratios in the previous
        # window, each by image.
        self._previous_window_maxima = ({}, {})
        self._start_window(None)

    def _start_window(self, now_ms):
        self._window_start_ms = now_ms
        self._sample_count = 0
        self._cpu_share_sums = collections.Counter()
        self._max_cpu_shares = {}
        self._max_tail_ratios = {}

    def add_sample(self, best_effort_runs, serving_runs, capacity_cpu, now_ms):
        """Adds the measurements of one poll; learns once the window is full.

        Args:
            best_effort_runs: list of the best-effort ``Run`` values.
            serving_runs: list of the serving ``Run`` values that have a
                measurement.
            capacity_cpu: processor time of the worker, in thousandths of a
                core.
            now_ms: monotonic time.
        """
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
        # A worker whose capacity has shrunk to nothing may still run tasks.
        capacity_cpu = max(capacity_cpu, 1)
        cpu_share_by_image = collections.Counter()
        for run in best_effort_runs:
            cpu_share_by_image[run.step.image] += (
                run.measurement or 0
            ) / capacity_cpu
        self._sample_count += 1
        self._cpu_share_sums.update(cpu_share_by_image)
        _merge_maxima(self._max_cpu_shares, cpu_share_by_image)
        _merge_maxima(
            self._max_tail_ratios, _median_tail_ratios(serving_runs, now_ms)
        )
        if now_ms - self._window_start_ms >= WINDOW_MS:
            self._update_model()
            self._previous_window_maxima = (
                self._max_cpu_shares,
                self._max_tail_ratios,
            )
            self._start_window(now_ms)

    def _update_model(self):
        cpu_share_by_image = {
            image: share_sum / self._sample_count
            for image, share_sum in self._cpu_share_sums.items()
        }
        previous_cpu_shares, previous_tail_ratios = (
            self._previous_window_maxima
        )
        # The tail may still show runs that ended in the previous window.
        recent_cpu_shares = dict(self._max_cpu_shares)
        _merge_maxima(recent_cpu_shares, previous_cpu_shares)
        for image, tail_ratio in self._max_tail_ratios.items():
            self._interference_model.record_calm_tail(
                image, tail_ratio, cpu_share_by_image, self._worker_name
            )
            recovering_ratio = (
                _interference.RECOVERING_RATIO
                * previous_tail_ratios.get(image, 0)
            )
            if tail_ratio > recovering_ratio:
                self._interference_model.record_disturbed_tail(
                    image, tail_ratio, recent_cpu_shares, self._worker_name
                )


def _merge_maxima(max_by_image, new_by_image):
    """Raises the maximum of each image to its new value if that is larger."""
    for image, new_value in new_by_image.items():
        max_by_image[image] = max(new_value, max_by_image.get(image, 0))


def _median_tail_ratios(serving_runs, now_ms):
    """Returns the median ratio of tail latency to target, by serving image.

    A best-effort task disturbs all tasks of a serving image, whereas a load
    peak may hit only one of them; the median ignores a single high ratio.
    """
    ratios_by_image = {}
    for run in serving_runs:
        if now_ms - (run.started_ms or 0) < STARTUP_MS:
            continue
        tail_ratio = run.measurement / run.step.tail_target_ms
        ratios_by_image.setdefault(run.step.image, []).append(tail_ratio)
    return {
        image: statistics.median(ratios)
        for image, ratios in ratios_by_image.items()
    }
