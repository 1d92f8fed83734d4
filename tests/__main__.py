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
    unexpected_failures = [
        name for name in report.failed if name not in known_red
    ]
    known_failures = [name for name in report.failed if name in known_red]
    verdict = 'FAILED' if unexpected_failures else 'ok'
    print(
        f'{verdict:6} {report.module} '
        f'({len(report.passed)} passed, {len(unexpected_failures)} failed, '
        f'{report.duration_s:.0f} s)',
        flush=True,
    )
    for name in known_failures:
        print(f'       known red: {name}')
    if unexpected_failures:
        print(report.text)
        print('       failed: ' + ', '.join(unexpected_failures))
    return unexpected_failures


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
    passed_count = failed_count = skipped_count = 0
    for report in _runner.run_modules(_runner.discover_modules(args)):
        passed_count += len(report.passed)
        failed_count += len(_print_report(report, known_red))
        skipped_count += len(report.skipped)
    skipped_text = f', {skipped_count} skipped' if skipped_count else ''
    print(f'{passed_count} passed, {failed_count} failed{skipped_text}')
    return 1 if failed_count or not passed_count else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
