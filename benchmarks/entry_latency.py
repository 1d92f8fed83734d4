"""Latency and throughput of an entry, against a relay and no proxy at all.

``python -m benchmarks.entry_latency [--seconds N] [--rounds N]`` measures,
with 1 and with 8 callers, calls to a stand-in upstream directly, through an
h11 relay without routing and through the entry's caller path, in turns.  Then
it profiles the entry.
"""

import argparse
import json
import time

from benchmarks import _entry_load

MODULE = 'benchmarks.entry_latency'
# Time after which a started entry is ready to serve.
SETTLE_S = 6.0


def _compare_paths(callers, seconds, rounds):
    upstreams = [
        _entry_load.ServerProcess(MODULE, 'upstream', 0) for _ in range(2)
    ]
    port = upstreams[0].port
    print(f'\n{callers} callers, {rounds} rounds of {seconds} s each, last:')
    print(
        '| path | answers/s | p50 ms | p99 ms | p99.9 ms | CPU us | refused |'
    )
    print('|---|---|---|---|---|---|---|')
    rates_by_kind = {}
    for round_number in range(rounds):
        table_rows = []
        result = _entry_load.measure_load(port, callers, seconds)
        table_rows.append(_entry_load.format_table_row('direct', result, 0))
        for kind, args in (
            ('relay', (port,)),
            ('entry', ([server.port for server in upstreams],)),
        ):
            server = _entry_load.ServerProcess(MODULE, kind, *args)
            if kind == 'entry':
                time.sleep(SETTLE_S)
            cpu_before_s = server.read_cpu_s()
            result = _entry_load.measure_load(server.port, callers, seconds)
            cpu_s = server.read_cpu_s() - cpu_before_s
            server.stop()
            table_rows.append(
                _entry_load.format_table_row(kind, result, cpu_s)
            )
            rates_by_kind.setdefault(kind, []).append(result.answers_per_s)
    print('\n'.join(table_rows))
    ratios = [
        entry_rate / relay_rate
        for entry_rate, relay_rate in zip(
            rates_by_kind['entry'], rates_by_kind['relay'], strict=True
        )
    ]
    print(
        'entry/relay by round: ' + ' '.join(f'{ratio:.2f}' for ratio in ratios)
    )
    for server in upstreams:
        server.stop()


def _print_profile(seconds):
    """Prints the share of the entry's own time by component."""
    upstream = _entry_load.ServerProcess(MODULE, 'upstream', 0)
    server = _entry_load.ServerProcess(
        MODULE, 'profiled entry', [upstream.port]
    )
    time.sleep(SETTLE_S)
    result = _entry_load.measure_load(server.port, 8, seconds)
    shares_by_component = server.stop()['shares']
    upstream.stop()
    shares_by_component.pop('waiting', None)
    total_share = sum(shares_by_component.values())
    print(f'\nprofile of the entry over {result.answer_count} requests:\n')
    print('| part | share of own time |')
    print('|---|---|')
    for component, share in sorted(
        shares_by_component.items(), key=lambda item: -item[1]
    )[:14]:
        print(f'| {component} | {100 * share / total_share:.1f} % |')


def main():
    """Compares the paths and profiles the entry, or runs one server."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=3)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--role')
    args = parser.parse_args()
    if args.role:
        _entry_load.run_server(*json.loads(args.role))
        return
    for callers in (1, 8):
        _compare_paths(callers, args.seconds, args.rounds)
    _print_profile(args.seconds)


if __name__ == '__main__':
    main()
