"""Cost of a claim: requests with an idempotency key against those without.

``python -m benchmarks.entry_claims [--seconds N] [--rounds N]`` starts three
control replicas with data folders, two entries and three stand-in upstreams,
and measures both kinds of requests in turns.
"""

import argparse
import tempfile
import time

from benchmarks import _entry_load
from standins import _cluster


def _make_unkeyed_headers(request_number):
    return ()


def _make_keyed_headers(request_number):
    return ((b'idempotency-key', b'%d' % time.monotonic_ns()),)


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument('--rounds', type=int, default=2)
    args = parser.parse_args()
    process_counts = _cluster.ProcessCounts(3, 2, 3, 0)
    cluster = _cluster.Cluster(tempfile.mkdtemp(), process_counts)
    try:
        cluster.start()
        cluster.wait_for_leader()
        cluster.wait_until_in_force(cluster.configure())
        cluster.wait_for_upstreams()
        port = cluster.caller_addresses[0].port
        print('| requests | answers/s | p50 | p99 | p99.9 | - | refused |')
        print('|---|---|---|---|---|---|---|')
        for callers in (1, 16):
            for _ in range(args.rounds):
                for name, make_headers in (
                    ('plain', _make_unkeyed_headers),
                    ('keyed', _make_keyed_headers),
                ):
                    result = _entry_load.measure_load(
                        port, callers, args.seconds, 'POST', make_headers
                    )
                    label = f'POST {name}, {callers} callers'
                    print(_entry_load.format_table_row(label, result, 0))
    finally:
        cluster.stop()


if __name__ == '__main__':
    main()
