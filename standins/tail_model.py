"""Model of the tail latencies of the serving tasks on a worker.

A tail latency is that without best-effort tasks, and in addition a part in
proportion to the processors that these use.  Nothing else moves it.
"""

__all__ = ('TailModel',)

# A reported tail latency is the mean over this time.
MEASURED_MS = 500
# Longest time for which best-effort tasks may push a tail over its target.
MAX_HARM_MS = 4000


class TailModel:
    """Tail latencies of the serving tasks on one worker.

    Args:
        worker: name of the worker.
        ledger: the ``RunLedger``, which is told of tails that are pushed over
            their targets for too long.
    """

    def __init__(self, worker, ledger):
        self._worker = worker
        self._ledger = ledger
        # Pairs of a time and the share of the worker's processors in use by
        # best-effort image from then on, the oldest first.
        self._loads = [(0, {})]
        # Since when the tails of the present serving tasks are over their
        # targets because of best-effort tasks, by ``TaskProfile``.
        self._over_since_ms = {}

    def update_load(self, now_ms, running):
        """Records which tasks share the worker from now on.

        Args:
            now_ms: time.
            running: for each run, its ``TaskProfile`` and the factor from its
                processors to the share of the worker that it uses.
        """
        now_ms = max(now_ms, self._loads[-1][0])
        self.check_targets(now_ms)
        cpu_share_by_image = {}
        for profile, factor in running:
            if profile.fills:
                cpu_share_by_image[profile.image] = (
                    cpu_share_by_image.get(profile.image, 0)
                    + profile.cpu_milli * factor
                )
        self._loads.append((now_ms, cpu_share_by_image))
        while len(self._loads) > 1 and (
            self._loads[1][0] <= now_ms - MEASURED_MS
        ):
            self._loads.pop(0)
        self._over_since_ms = {
            profile: self._over_since_ms.get(profile, now_ms)
            for profile, _ in running
            if profile.tail_target_ms > profile.calm_tail_ms
            and _tail_ms(profile, cpu_share_by_image) > profile.tail_target_ms
        }

    def check_targets(self, now_ms):
        """Records a breach for each tail that is over its target too long."""
        for profile, since_ms in self._over_since_ms.items():
            if now_ms - since_ms > MAX_HARM_MS:
                self._ledger.record_harm(now_ms, self._worker, profile.image)
                self._over_since_ms[profile] = now_ms

    def mean_tail_ms(self, profile, now_ms):
        """Returns the mean tail latency of a serving task of late, in ms.

        Args:
            profile: its ``TaskProfile``.
            now_ms: time.
        """
        from_ms = now_ms - MEASURED_MS
        until_ms = now_ms
        tail_sum = 0.0
        for since_ms, cpu_share_by_image in reversed(self._loads):
            since_ms = max(since_ms, from_ms)
            if since_ms >= until_ms:
                continue
            tail_ms = _tail_ms(profile, cpu_share_by_image)
            tail_sum += (until_ms - since_ms) * tail_ms
            until_ms = since_ms
        tail_sum += (until_ms - from_ms) * profile.calm_tail_ms
        return tail_sum / MEASURED_MS


def _tail_ms(profile, cpu_share_by_image):
    rise = sum(
        profile.tail_slope_by_image.get(image, 0) * cpu_share
        for image, cpu_share in cpu_share_by_image.items()
    )
    return profile.calm_tail_ms * (1 + rise)
