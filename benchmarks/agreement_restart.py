"""Time to open a data folder, its size, and that of a snapshot.

A folder holds N changes of 200 bytes, written a hundred to a frame, without
and with a snapshot of 10 bytes a change that replaces them.  The slope is
fitted over N::

    python -m benchmarks.agreement_restart
"""

import pathlib
import statistics
import tempfile
import time

from absl import app
from absl import flags

from fuchsiatrestle import agreement
from fuchsiatrestle import messages

FLAGS = flags.FLAGS

flags.DEFINE_string('folder', None, 'Folder for the data, temporary if unset.')
flags.DEFINE_list('changes', '500,2000,8000,17000,68000', 'Values of N.')
flags.DEFINE_integer('runs', 5, 'Openings of each folder.')

COMMAND = b'x' * 200
BATCH = 100
SNAPSHOT_BYTES_A_CHANGE = 10
VOTERS = agreement.Voters('cell/1', ['c1#1', 'c2#2', 'c3#3'])


def _fill(path, changes):
    folder = agreement.DataFolder.open(path, 'c1', 1)
    state = agreement.HardState(1, '', VOTERS.group)
    write_id = 0
    for first in range(1, changes + 1, BATCH):
        last = min(first + BATCH - 1, changes)
        entries = [
            messages.Entry(index, 1, 'command', COMMAND)
            for index in range(first, last + 1)
        ]
        write_id += 1
        folder.write_effects([agreement.Write(write_id, state, None, entries)])
    return folder


def _size(path):
    return sum(one.stat().st_size for one in pathlib.Path(path).iterdir())


def _open_ms(path):
    started = time.perf_counter()
    folder = agreement.DataFolder.open(path, 'c1', 1)
    agreement.Replica('cell', folder.state, ('c1', 'c2', 'c3'))
    spent_ms = (time.perf_counter() - started) * 1000
    folder.close()
    return spent_ms


def _measure(changes, compact):
    with tempfile.TemporaryDirectory(dir=FLAGS.folder) as path:
        folder = _fill(path, changes)
        if compact:
            data = b'y' * (SNAPSHOT_BYTES_A_CHANGE * changes)
            folder.save_snapshot(agreement.Snapshot(changes, 1, VOTERS, data))
        folder.close()
        times = sorted(_open_ms(path) for _ in range(FLAGS.runs))
        return times, _size(path)


def _slope(points):
    x_mean = statistics.mean(x for x, _ in points)
    y_mean = statistics.mean(y for _, y in points)
    over = sum((x - x_mean) * (y - y_mean) for x, y in points)
    return over / sum((x - x_mean) ** 2 for x, _ in points)


def main(argv):
    """Prints the times and sizes and their slopes."""
    for compact in (False, True):
        opened, sizes = [], []
        for changes in map(int, FLAGS.changes):
            times, size = _measure(changes, compact)
            median = statistics.median(times)
            opened.append((changes, median))
            sizes.append((changes, size))
            print(
                f'snapshot={compact} changes={changes} bytes={size} '
                f'open_ms min={times[0]:.1f} median={median:.1f} '
                f'max={times[-1]:.1f}',
                flush=True,
            )
        print(
            f'snapshot={compact} slope: {_slope(opened) * 1000:.2f} us and '
            f'{_slope(sizes):.1f} bytes a change'
        )


if __name__ == '__main__':
    app.run(main)
