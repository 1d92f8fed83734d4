"""Runs every test module in a process of its own and adds up the results.

Modules named ``test_process_*`` start daemons and wait for them; they run
once the rest is done, a few side by side, each with ports of its own.
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
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
PARALLEL_MODULES = 5
PARALLEL_PROCESS_MODULES = 3
MODULE_TIMEOUT_S = 1200
REPORT_MARK = 'MODULE-REPORT '
# Started first, so that none of them runs on alone at the end.
LONG_MODULES = (
    'tests.standins.test_process_requests',
    'tests.standins.test_process_jobs',
    'tests.control.test_process_faults',
    'tests.entry.test_fault_matrix',
    'tests.scheduling.test_process_evictions',
    'tests.standins.test_process_soak',
    'tests.platform.test_process_platform',
    'tests.net.test_link',
)


class ModuleReport:
    """Results of one module."""

    __slots__ = ('failed', 'module', 'passed', 'skipped', 'text', 'took_s')

    def __init__(self, module, passed, failed, skipped, text, took_s=0.0):
        self.module = module
        self.passed = passed
        self.failed = failed
        self.skipped = skipped
        self.text = text
        self.took_s = took_s


class _Result(unittest.TextTestResult):
    """Collects identifiers; a failed subtest fails its test."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.started = []

    def startTest(self, test):
        """Notes the test before it runs."""
        super().startTest(test)
        self.started.append(test.id())


def _test_id(test):
    return getattr(test, 'test_case', test).id()


def discover_modules(words):
    """Returns the names of the test modules that contain one of words."""
    names = []
    for path in sorted(ROOT.glob('tests/**/test_*.py')):
        name = '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        if not words or any(word in name for word in words):
            names.append(name)
    return names


def read_known_red():
    """Returns the test identifiers that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split('|')[0].strip() for entry in entries}


def run_module(name):
    """Runs one module in this process and prints its report as JSON."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    stream = io.StringIO()
    runner = unittest.TextTestRunner(
        stream=stream, resultclass=_Result, verbosity=1
    )
    result = runner.run(suite)
    broken = result.failures + result.errors
    failed = {_test_id(test) for test, _ in broken}
    failed |= {_test_id(test) for test in result.unexpectedSuccesses}
    skipped = {_test_id(test) for test, _ in result.skipped}
    passed = set(result.started) - failed - skipped
    report = {
        'passed': sorted(passed),
        'failed': sorted(failed),
        'skipped': sorted(skipped),
        'text': stream.getvalue(),
    }
    print(REPORT_MARK + json.dumps(report))
    return 1 if failed else 0


def _run_in_child(name, slots):
    slot = slots.get()
    try:
        return _report_child(name, slot)
    finally:
        slots.put(slot)


def _report_child(name, slot):
    command = [sys.executable, '-m', 'tests', '--module', name]
    started_s = time.monotonic()
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, _ports.SLOT_VARIABLE: str(slot)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
        output = done.stdout
    except subprocess.TimeoutExpired as exc:
        output = f'timed out after {exc.timeout} s'
    took_s = time.monotonic() - started_s
    for line in reversed(output.splitlines()):
        if line.startswith(REPORT_MARK):
            report = json.loads(line[len(REPORT_MARK) :])
            return ModuleReport(name, **report, took_s=took_s)
    return ModuleReport(name, [], [name], [], output, took_s)


def _run_side_by_side(names, parallel):
    """Yields the reports in order; a slot gives each module its ports."""
    slots = queue.SimpleQueue()
    for slot in range(parallel):
        slots.put(slot)
    with concurrent.futures.ThreadPoolExecutor(parallel) as pool:
        yield from pool.map(lambda name: _run_in_child(name, slots), names)


def _start_order(name):
    if name in LONG_MODULES:
        return LONG_MODULES.index(name)
    return len(LONG_MODULES)


def run_modules(names):
    """Yields the ``ModuleReport`` of each module."""
    names = sorted(names, key=_start_order)
    daemons = [name for name in names if '.test_process_' in name]
    together = [name for name in names if name not in daemons]
    yield from _run_side_by_side(together, PARALLEL_MODULES)
    yield from _run_side_by_side(daemons, PARALLEL_PROCESS_MODULES)
