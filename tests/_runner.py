"""Runs each test module in a process of its own and reports the results.

Modules named ``test_process_*`` start daemons and wait for them.  They run
after all others, fewer at a time.  Modules that run at the same time use
different ports.
"""

import concurrent.futures
import io
import json
import os
import pathlib
import queue
import subprocess
import sys
import time
import unittest

from standins import _ports

__all__ = (
    'ModuleReport',
    'discover_modules',
    'read_known_red',
    'run_module',
    'run_modules',
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / 'KNOWN-RED.txt'
MAX_PARALLEL_MODULES = 5
MAX_PARALLEL_PROCESS_MODULES = 3
MODULE_TIMEOUT_S = 1200
REPORT_PREFIX = 'MODULE-REPORT '
# Started first: a long module that starts last would still run when all others
# have ended.
LONG_MODULES = (
    'tests.standins.test_process_requests',
    'tests.standins.test_process_jobs',
    'tests.control.test_process_faults',
    'tests.entry.test_fault_matrix',
    'tests.scheduling.test_process_evictions',
    'tests.standins.test_process_soak',
    'tests.platform.test_process_untrusted_clients',
    'tests.platform.test_process_platform',
    'tests.net.test_link',
)


class ModuleReport:
    """Results of one test module.

    Attributes:
        module: name of the module.
        passed: identifiers of the tests that passed.
        failed: identifiers of the tests that failed; the module's name if it
            ended without a report.
        skipped: identifiers of the tests that were skipped.
        text: output of the test runner.
        duration_s: duration of its process, in seconds.
    """

    __slots__ = ('duration_s', 'failed', 'module', 'passed', 'skipped', 'text')

    def __init__(self, module, passed, failed, skipped, text, duration_s=0.0):
        self.module = module
        self.passed = passed
        self.failed = failed
        self.skipped = skipped
        self.text = text
        self.duration_s = duration_s


class _Result(unittest.TextTestResult):
    """Test result that also records the identifiers of started tests."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.started_tests = []

    def startTest(self, test):
        """Records the identifier of a test before it runs."""
        super().startTest(test)
        self.started_tests.append(test.id())


def _test_id(test):
    """Returns the identifier of a test, for a subtest that of its test."""
    return getattr(test, 'test_case', test).id()


def discover_modules(words):
    """Returns the names of the test modules that contain one of the words.

    Args:
        words: parts of module names; if empty, all modules are returned.
    """
    module_names = []
    for path in sorted(ROOT.glob('tests/**/test_*.py')):
        name = '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        if not words or any(word in name for word in words):
            module_names.append(name)
    return module_names


def read_known_red():
    """Returns the test identifiers that KNOWN-RED.txt lists."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text(encoding='utf-8').splitlines()
    entry_lines = [line for line in lines if line and not line.startswith('#')]
    return {entry_line.split('|')[0].strip() for entry_line in entry_lines}


def run_module(name):
    """Runs one module in this process and prints its report.

    The report is a line of JSON after ``REPORT_PREFIX``.

    Returns:
        The exit status: 1 if a test failed, else 0.
    """
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    stream = io.StringIO()
    runner = unittest.TextTestRunner(
        stream=stream, resultclass=_Result, verbosity=1
    )
    result = runner.run(suite)
    failures = result.failures + result.errors
    failed = {_test_id(test) for test, _ in failures}
    failed |= {_test_id(test) for test in result.unexpectedSuccesses}
    skipped = {_test_id(test) for test, _ in result.skipped}
    passed = set(result.started_tests) - failed - skipped
    report = {
        'passed': sorted(passed),
        'failed': sorted(failed),
        'skipped': sorted(skipped),
        'text': stream.getvalue(),
    }
    print(REPORT_PREFIX + json.dumps(report))
    return 1 if failed else 0


def _run_in_free_slot(module_name, free_slots):
    """Runs a module with the ports of a slot; returns its report.

    Args:
        module_name: name of the module.
        free_slots: queue of the numbers of the free slots.
    """
    slot = free_slots.get()
    try:
        return _run_in_child_process(module_name, slot)
    finally:
        free_slots.put(slot)


def _run_in_child_process(name, slot):
    """Returns the ``ModuleReport`` of a module run in a new process."""
    command = [sys.executable, '-m', 'tests', '--module', name]
    started_s = time.monotonic()
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, _ports.SLOT_VARIABLE: str(slot)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
        output = completed.stdout
    except subprocess.TimeoutExpired as exc:
        output = f'timed out after {exc.timeout} s'
    duration_s = time.monotonic() - started_s
    for line in reversed(output.splitlines()):
        if line.startswith(REPORT_PREFIX):
            report = json.loads(line[len(REPORT_PREFIX) :])
            return ModuleReport(name, **report, duration_s=duration_s)
    return ModuleReport(name, [], [name], [], output, duration_s)


def _run_in_parallel(module_names, max_parallel):
    """Runs modules in parallel; yields their reports in the given order.

    Args:
        module_names: names of the modules.
        max_parallel: number of modules that run at a time. Each of them has a
            slot, a number that determines its ports.
    """
    free_slots = queue.SimpleQueue()
    for slot in range(max_parallel):
        free_slots.put(slot)
    with concurrent.futures.ThreadPoolExecutor(max_parallel) as pool:
        yield from pool.map(
            lambda name: _run_in_free_slot(name, free_slots), module_names
        )


def _start_order(name):
    """Returns the sort key by which long modules come first."""
    if name in LONG_MODULES:
        return LONG_MODULES.index(name)
    return len(LONG_MODULES)


def run_modules(module_names):
    """Runs modules; yields the ``ModuleReport`` of each."""
    module_names = sorted(module_names, key=_start_order)
    process_modules = [
        name for name in module_names if '.test_process_' in name
    ]
    other_modules = [
        name for name in module_names if name not in process_modules
    ]
    yield from _run_in_parallel(other_modules, MAX_PARALLEL_MODULES)
    yield from _run_in_parallel(process_modules, MAX_PARALLEL_PROCESS_MODULES)
