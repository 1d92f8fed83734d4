"""Time to open a data folder and its size, by the number of changes.

A folder holds either N changes of 200 bytes, a hundred in each frame, or a
snapshot that replaces them, with 10 bytes for each change.  The slopes of
time and size are fitted over N::

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
CHANGES_PER_FRAME = 100
SNAPSHOT_BYTES_PER_CHANGE = 10
VOTERS = agreement.Voters('cell/1', ['c1#1', 'c2#2', 'c3#3'])


def _fill_folder(path, change_count):
    folder = agreement.DataFolder.open(path, 'c1', 1)
    state = agreement.HardState(1, '', VOTERS.group)
    write_id = 0
    for first_index in range(1, change_count + 1, CHANGES_PER_FRAME):
        last_index = min(first_index + CHANGES_PER_FRAME - 1, change_count)
        entries = [
            messages.Entry(index, 1, 'command', COMMAND)
            for index in range(first_index, last_index + 1)
        ]
        write_id += 1
        folder.write_effects(
            [agreement.PersistChanges(write_id, state, None, entries)]
        )
    return folder


def _measure_folder_bytes(path):
    return sum(file.stat().st_size for file in pathlib.Path(path).iterdir())


def _measure_open_ms(path):
    started_s = time.perf_counter()
    folder = agreement.DataFolder.open(path, 'c1', 1)
    agreement.Replica('cell', folder.state, ('c1', 'c2', 'c3'))
    duration_ms = (time.perf_counter() - started_s) * 1000
    folder.close()
    return duration_ms


def _measure_folder(change_count, with_snapshot):
    with tempfile.TemporaryDirectory(dir=FLAGS.folder) as path:
        folder = _fill_folder(path, change_count)
        if with_snapshot:
            data = b'y' * (SNAPSHOT_BYTES_PER_CHANGE * change_count)
            folder.save_snapshot(
                agreement.Snapshot(change_count, 1, VOTERS, data)
            )
        folder.close()
        open_times_ms = sorted(
            _measure_open_ms(path) for _ in range(FLAGS.runs)
        )
        return open_times_ms, _measure_folder_bytes(path)


def _fit_slope(points):
    x_mean = statistics.mean(x for x, _ in points)
    y_mean = statistics.mean(y for _, y in points)
    covariance = sum((x - x_mean) * (y - y_mean) for x, y in points)
    return covariance / sum((x - x_mean) ** 2 for x, _ in points)


def main(argv):
    """Prints the time and size for each N, and their slopes over N."""
    for with_snapshot in (False, True):
        open_time_points, size_points = [], []
        for change_count in map(int, FLAGS.changes):
            open_times_ms, size_bytes = _measure_folder(
                change_count, with_snapshot
            )
            median_ms = statistics.median(open_times_ms)
            open_time_points.append((change_count, median_ms))
            size_points.append((change_count, size_bytes))
            print(
                f'snapshot={with_snapshot} changes={change_count} '
                f'bytes={size_bytes} '
                f'open_ms min={open_times_ms[0]:.1f} median={median_ms:.1f} '
                f'max={open_times_ms[-1]:.1f}',
                flush=True,
            )
        print(
            f'snapshot={with_snapshot} slope: '
            f'{_fit_slope(open_time_points) * 1000:.2f} us and '
            f'{_fit_slope(size_points):.1f} bytes a change'
        )


if __name__ == '__main__':
    app.run(main)
