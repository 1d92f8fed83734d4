"""Cost of the agreed state as the number of applied commands grows.

``python -m benchmarks.control_state`` prints, for growing numbers of patches
and of claims: time to apply one command, size of a snapshot, and the times to
take and to restore it.  In a daemon both block the state task.
"""

import sys
import time

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine

PATCH_COUNTS = (500, 5000, 20000)
CLAIM_COUNTS = (2000, 20000, 200000)
CLAIMS_PER_COMMAND = 20
ENTRY_COUNT = 8


def _make_patches(count):
    for version in range(1, count + 1):
        team_number = version % 100
        patch_format = b'{"teams":{"t%d":{"cpu_milli":%d,"memory_mib":1}}}'
        yield commands.PatchConfig(
            version,
            f'operator-{version}',
            patch_format % (team_number, version),
            'operator',
        )


def _make_claims(count):
    for batch in range(1, count // CLAIMS_PER_COMMAND + 1):
        owner = (f'e{batch % ENTRY_COUNT}', 1)
        keys = [
            f'credit-{batch}-{number}' for number in range(CLAIMS_PER_COMMAND)
        ]
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


def _time_call(func, *args):
    started_s = time.perf_counter()
    result = func(*args)
    return result, (time.perf_counter() - started_s) * 1000


def _apply_all(state, all_commands):
    for command in all_commands:
        state.apply(state.applied_index + 1, command)
    return state.applied_index


def _print_costs(title, all_commands):
    state = machine.StateMachine()
    applied_count, apply_ms = _time_call(_apply_all, state, all_commands)
    snapshot, snapshot_ms = _time_call(state.snapshot)
    _, restore_ms = _time_call(machine.StateMachine().restore, snapshot)
    print(
        f'{title}: {1000 * apply_ms / applied_count:.0f} us a command, '
        f'snapshot {len(snapshot) / 1000:.0f} KB, '
        f'take {snapshot_ms:.1f} ms, restore {restore_ms:.1f} ms'
    )


def main():
    """Prints one line for each number of patches and of claims."""
    for count in PATCH_COUNTS:
        _print_costs(f'{count} patches', _make_patches(count))
    for count in CLAIM_COUNTS:
        _print_costs(f'{count} claims', _make_claims(count))


if __name__ == '__main__':
    sys.exit(main())
