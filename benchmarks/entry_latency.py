"""Added latency and throughput of an entry, side by side in one run.

``python -m benchmarks.entry_latency [--seconds N]`` measures, with 1 and with
8 callers, the stand-in upstream directly, a bare h11 relay and the entry's
caller path, in turns.
"""

import argparse
import json
import time

from benchmarks import _entry_load

MODULE = 'benchmarks.entry_latency'
SETTLE_S = 6.0


def _compare(callers, seconds, rounds):
    upstreams = [_entry_load.Role(MODULE, 'upstream', 0) for _ in range(2)]
    port = upstreams[0].port
    print(f'\n{callers} callers, {rounds} rounds of {seconds} s each, last:')
    print(
        '| path | answers/s | p50 ms | p99 ms | p99.9 ms | CPU us | refused |'
    )
    print('|---|---|---|---|---|---|---|')
    rates = {}
    for number in range(rounds):
        lines = []
        result = _entry_load.measure(port, callers, seconds)
        lines.append(_entry_load.summary_line('direct', result, 0))
        for kind, args in (
            ('relay', (port,)),
            ('entry', ([role.port for role in upstreams],)),
        ):
            role = _entry_load.Role(MODULE, kind, *args)
            if kind == 'entry':
                time.sleep(SETTLE_S)
            before_s = role.cpu_s()
            result = _entry_load.measure(role.port, callers, seconds)
            cpu_s = role.cpu_s() - before_s
            role.end()
            lines.append(_entry_load.summary_line(kind, result, cpu_s))
            rates.setdefault(kind, []).append(result.rate)
    print('\n'.join(lines))
    shares = [
        e / r for e, r in zip(rates['entry'], rates['relay'], strict=True)
    ]
    print('entry/relay by round: ' + ' '.join(f'{s:.2f}' for s in shares))
    for role in upstreams:
        role.end()


def _profile(seconds):
    """Prints where the entry spends its own time."""
    upstream = _entry_load.Role(MODULE, 'upstream', 0)
    role = _entry_load.Role(MODULE, 'profiled entry', [upstream.port])
    time.sleep(SETTLE_S)
    result = _entry_load.measure(role.port, 8, seconds)
    shares = role.end()['shares']
    upstream.end()
    shares.pop('waiting', None)
    total = sum(shares.values())
    print(f'\nprofile of the entry over {result.requests} requests:\n')
    print('| part | share of own time |')
    print('|---|---|')
    for part, share in sorted(shares.items(), key=lambda item: -item[1])[:14]:
        print(f'| {part} | {100 * share / total:.1f} % |')


def main():
    """Runs the comparison."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seconds', type=float, default=3)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--role')
    args = parser.parse_args()
    if args.role:
        _entry_load.run_role(*json.loads(args.role))
        return
    for callers in (1, 8):
        _compare(callers, args.seconds, args.rounds)
    _profile(args.seconds)


if __name__ == '__main__':
    main()
