"""Counters, gauges and histograms, kept in the process and sent to statsd.

Every metric has to be declared, with the description that is shown in
``docs/COUNTERS.md``; the use of any other name, such as a misspelt one, raises
``KeyError``.  ``fuchsiatrestle-ctl counters`` reads the counters of a process,
and ``render`` returns all its metrics as text for the metrics address.
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

# Description of every declared metric, by name.
DECLARED = {}

# Upper bounds of the buckets of a latency histogram, in milliseconds.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


def declare(name, description):
    """Declares a metric; returns its name for use as a constant.

    Args:
        name: dotted lower-case name, such as ``refused.queue_full``.
        description: one line that says what it counts or measures.
    """
    DECLARED[name] = description
    return name


class Registry:
    """Values of all metrics of one process, optionally also sent to statsd."""

    def __init__(self):
        self._counter_values = {}
        self._gauge_values = {}
        self._histogram_by_metric = {}
        # Reentrant, as a finalizer that counts may run in the thread that
        # holds the lock.
        self._lock = threading.RLock()
        self._statsd_client = None

    def connect(self, host, port, prefix):
        """Sends every later change to a statsd daemon.

        Args:
            host: IP address of the daemon.
            port: UDP port of the daemon.
            prefix: text put before the name of every metric, with a dot.
        """
        self._statsd_client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name, amount=1):
        """Adds ``amount`` to a declared counter.

        Raises:
            KeyError: the name is not declared.
        """
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            self._counter_values[name] = (
                self._counter_values.get(name, 0) + amount
            )
        if self._statsd_client is not None:
            self._statsd_client.incr(name, amount)

    def gauge(self, name, value):
        """Sets a declared gauge to ``value``.

        Raises:
            KeyError: the name is not declared.
        """
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            self._gauge_values[name] = value
        if self._statsd_client is not None:
            self._statsd_client.gauge(name, value)

    def timing(self, name, duration_ms):
        """Adds one duration, in milliseconds, to a declared histogram.

        Raises:
            KeyError: the name is not declared.
        """
        if name not in DECLARED:
            raise KeyError(name)
        with self._lock:
            histogram = self._histogram_by_metric.setdefault(
                name, _Histogram()
            )
            histogram.add(duration_ms)
        if self._statsd_client is not None:
            self._statsd_client.timing(name, duration_ms)

    def counters(self):
        """Returns the counters that were counted so far, by name."""
        with self._lock:
            return dict(sorted(self._counter_values.items()))

    def gauges(self):
        """Returns the gauges set so far, by name."""
        with self._lock:
            return dict(sorted(self._gauge_values.items()))

    def render(self):
        """Returns all values as text, with one ``name value`` pair a line.

        A histogram has a line for each bucket, with the number of durations
        up to its bound, and lines for the number and sum of all durations.
        """
        lines = [f'{name} {value}' for name, value in self.counters().items()]
        lines += [f'{name} {value}' for name, value in self.gauges().items()]
        with self._lock:
            for name, histogram in sorted(self._histogram_by_metric.items()):
                lines += histogram.format_lines(name)
        return '\n'.join(lines) + '\n'


class _Histogram:
    """Number of durations in each bucket, and their sum."""

    __slots__ = ('_bucket_counts', '_sum_ms')

    def __init__(self):
        self._bucket_counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum_ms = 0.0

    def add(self, duration_ms):
        """Adds one duration to its bucket and to the sum."""
        self._bucket_counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self._sum_ms += duration_ms

    def format_lines(self, name):
        """Yields the lines that ``Registry.render`` writes."""
        cumulative_count = 0
        bucket_bounds = (*BUCKETS_MS, 'inf')
        for bound, bucket_count in zip(
            bucket_bounds, self._bucket_counts, strict=True
        ):
            cumulative_count += bucket_count
            yield f'{name}.le_{bound} {cumulative_count}'
        yield f'{name}.count {cumulative_count}'
        yield f'{name}.sum_ms {self._sum_ms:.1f}'


# The registry of this process.
default_registry = Registry()


def count(name, amount=1):
    """Adds ``amount`` to a counter of ``default_registry``."""
    default_registry.count(name, amount)


def gauge(name, value):
    """Sets a gauge of ``default_registry`` to ``value``."""
    default_registry.gauge(name, value)


def render():
    """Returns the values of ``default_registry`` as text."""
    return default_registry.render()


def timing(name, duration_ms):
    """Adds one duration, in ms, to a histogram of ``default_registry``."""
    default_registry.timing(name, duration_ms)
