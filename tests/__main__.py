"""Command ``python -m tests [word ...]``: runs tests and prints the results.

Only modules whose names contain one of the words are run; without words, all.
"""

import sys

from tests import _runner


def _print_report(report, known_red):
    """Prints the report of a module.

    Args:
        report: the ``ModuleReport``.
        known_red: identifiers of the tests that KNOWN-RED.txt lists.

    Returns:
        The identifiers of the failed tests that are not in ``known_red``.
    """
    unexpected = [name for name in report.failed if name not in known_red]
    known = [name for name in report.failed if name in known_red]
    verdict = 'FAILED' if unexpected else 'ok'
    print(
        f'{verdict:6} {report.module} '
        f'({len(report.passed)} passed, {len(unexpected)} failed, '
        f'{report.took_s:.0f} s)',
        flush=True,
    )
    for name in known:
        print(f'       known red: {name}')
    if unexpected:
        print(report.text)
        print('       failed: ' + ', '.join(unexpected))
    return unexpected


def main(args):
    """Runs the test modules that match the arguments.

    Args:
        args: words, or ``--module NAME`` to run one module in this process.

    Returns:
        The exit status: 1 if a test failed that is not listed as known red,
        or if none passed; else 0.
    """
    if args[:1] == ['--module']:
        return _runner.run_module(args[1])
    known_red = _runner.read_known_red()
    passed = failed = skipped = 0
    for report in _runner.run_modules(_runner.discover_modules(args)):
        passed += len(report.passed)
        failed += len(_print_report(report, known_red))
        skipped += len(report.skipped)
    skipped_text = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{skipped_text}')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
