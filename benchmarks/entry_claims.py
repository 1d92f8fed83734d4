"""Price of a claim: keyed against unkeyed requests, side by side in one run.

``python -m benchmarks.entry_claims [--seconds N] [--rounds N]`` starts three
control replicas with data folders, two entries and three stand-in upstreams.
"""

import argparse
import tempfile
import time

from benchmarks import _entry_load
from standins import _cluster


def _unkeyed(number):
    return ()


def _keyed(number):
    return ((b'idempotency-key', b'%d' % time.monotonic_ns()),)


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--rounds', type=int, default=2)
    args = parser.parse_args()
    sizes = _cluster.Sizes(3, 2, 3, 0)
    cluster = _cluster.Cluster(tempfile.mkdtemp(), sizes)
    try:
        cluster.start()
        cluster.wait_for_leader()
        cluster.wait_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        port = cluster.caller_addresses[0].port
        print('| requests | answers/s | p50 | p99 | p99.9 | - | refused |')
        print('|---|---|---|---|---|---|---|')
        for callers in (1, 16):
            for _ in range(args.rounds):
                for name, headers in (('plain', _unkeyed), ('keyed', _keyed)):
                    result = _entry_load.measure(
                        port, callers, args.seconds, 'POST', headers
                    )
                    label = f'POST {name}, {callers} callers'
                    print(_entry_load.summary_line(label, result, 0))
    finally:
        cluster.stop()


if __name__ == '__main__':
    main()
