"""Agreed state against the number of changes it has seen.

``python -m benchmarks.control_state`` prints, for growing numbers of patches
and of claims: time to apply one command, size of a snapshot, and the time to
take and to restore one (the state task does nothing else meanwhile).
"""

import sys
import time

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine

PATCHES = (500, 5000, 20000)
CLAIMS = (2000, 20000, 200000)
BATCH = 20
ENTRIES = 8


def _patches(count):
    for version in range(1, count + 1):
        name = version % 100
        value = b'{"teams":{"t%d":{"cpu_milli":%d,"memory_mib":1}}}'
        yield commands.PatchConfig(
            version, f'operator-{version}', value % (name, version), 'operator'
        )


def _claims(count):
    for batch in range(1, count // BATCH + 1):
        owner = (f'e{batch % ENTRIES}', 1)
        keys = [f'credit-{batch}-{number}' for number in range(BATCH)]
        yield commands.ClaimRequests(
            *owner,
            batch,
            [commands.Claim('credits', key, b'12345678') for key in keys],
        )
        yield commands.FinishClaims(
            *owner,
            [
                commands.FinishedClaim('credits', key, 'done', 201, b'ok')
                for key in keys
            ],
            batch,
        )


def _timed(func, *args):
    begun = time.perf_counter()
    value = func(*args)
    return value, (time.perf_counter() - begun) * 1000


def _apply_all(state, made):
    for command in made:
        state.apply(state.applied + 1, command)
    return state.applied


def _measure(title, made):
    state = machine.StateMachine()
    applied, apply_ms = _timed(_apply_all, state, made)
    data, take_ms = _timed(state.snapshot)
    _, restore_ms = _timed(machine.StateMachine().restore, data)
    print(
        f'{title}: {1000 * apply_ms / applied:.0f} us a command, '
        f'snapshot {len(data) / 1000:.0f} KB, '
        f'take {take_ms:.1f} ms, restore {restore_ms:.1f} ms'
    )


def main():
    """Prints the table."""
    for count in PATCHES:
        _measure(f'{count} patches', _patches(count))
    for count in CLAIMS:
        _measure(f'{count} claims', _claims(count))


if __name__ == '__main__':
    sys.exit(main())
