"""Counters, gauges and timings, kept in process and sent to statsd.

Counter names are declared in one place with the line of documentation that
``docs/COUNTERS.md`` is made from, so that a misspelt name fails at once.  The
in-process values are what ``fuchsiatrestle-ctl counters`` reads.
"""

import threading

import statsd

__all__ = (
    'DECLARED',
    'Registry',
    'count',
    'declare',
    'default_registry',
    'gauge',
    'timing',
)

DECLARED = {}


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
        self._lock = threading.Lock()
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
        """Sends one duration to statsd; no value is kept in process."""
        if name not in DECLARED:
            raise KeyError(name)
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


default_registry = Registry()


def count(name, amount=1):
    """Adds to a counter of the process's own registry."""
    default_registry.count(name, amount)


def gauge(name, value):
    """Sets a gauge of the process's own registry."""
    default_registry.gauge(name, value)


def timing(name, duration_ms):
    """Records a duration in the process's own registry."""
    default_registry.timing(name, duration_ms)
