"""Counters, gauges and timings, kept in process and sent to statsd.

Counter names are declared in one place with the line of documentation that
``docs/COUNTERS.md`` is made from, so that a misspelt name fails at once.  The
in-process values are what ``fuchsiatrestle-ctl counters`` reads, and what
``render`` writes for the metrics address.
"""

import bisect
import threading

import statsd

__all__ = (
    'DECLARED',
    'BUCKETS_MS',
    'Registry',
    'count',
    'declare',
    'default_registry',
    'gauge',
    'render',
    'timing',
)

DECLARED = {}

# Upper bounds of the buckets of a latency histogram, in milliseconds.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


def declare(name, description):
    """Declares a metric; returns its name for use as a constant.

    Args:
        name: dotted lower-case name, such as ``refused.queue_full``.
        description: one line that says what it means.
    """
    DECLARED[name] = description
    return name


class Registry:
    """Values of all metrics of one process, with an optional statsd sink."""

    def __init__(self):
        self._counts = {}
        self._gauges = {}
        self._histograms = {}
        # A finalizer may count while its own thread holds the lock.
        self._lock = threading.RLock()
        self._sink = None

    def connect(self, host, port, prefix):
        """Sends every later change to the statsd daemon at ``host:port``."""
        self._sink = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name, amount=1):
        """Adds ``amount`` to a declared counter."""
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + amount
        if self._sink is not None:
            self._sink.incr(name, amount)

    def gauge(self, name, value):
        """Sets a declared gauge."""
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            self._gauges[name] = value
        if self._sink is not None:
            self._sink.gauge(name, value)

    def timing(self, name, duration_ms):
        """Adds one duration to a declared histogram."""
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            histogram = self._histograms.setdefault(name, _Histogram())
            histogram.add(duration_ms)
        if self._sink is not None:
            self._sink.timing(name, duration_ms)

    def counters(self):
        """Returns the non-zero counters, by name."""
        with self._lock:
            return dict(sorted(self._counts.items()))

    def gauges(self):
        """Returns the gauges set so far, by name."""
        with self._lock:
            return dict(sorted(self._gauges.items()))

    def render(self):
        """Returns all values as text, one ``name value`` pair a line.

        A histogram has a line for each bucket, which counts the durations
        up to its bound, and lines for their number and sum.
        """
        lines = [f'{name} {value}' for name, value in self.counters().items()]
        lines += [f'{name} {value}' for name, value in self.gauges().items()]
        with self._lock:
            for name, histogram in sorted(self._histograms.items()):
                lines += histogram.lines(name)
        return '\n'.join(lines) + '\n'


class _Histogram:
    """Durations counted in buckets."""

    __slots__ = ('_counts', '_sum_ms')

    def __init__(self):
        self._counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum_ms = 0.0

    def add(self, duration_ms):
        """Counts one duration."""
        self._counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms

    def lines(self, name):
        """Yields the lines of the text form."""
        total = 0
        bounds = (*BUCKETS_MS, 'inf')
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            yield f'{name}.le_{bound} {total}'
        yield f'{name}.count {total}'
        yield f'{name}.sum_ms {self._sum_ms:.1f}'


default_registry = Registry()


def count(name, amount=1):
    """Adds to a counter of the process's own registry."""
    default_registry.count(name, amount)


def gauge(name, value):
    """Sets a gauge of the process's own registry."""
    default_registry.gauge(name, value)


def render():
    """Returns the values of the process's own registry as text."""
    return default_registry.render()


def timing(name, duration_ms):
    """Records a duration in the process's own registry."""
    default_registry.timing(name, duration_ms)
