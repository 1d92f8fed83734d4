"""The commands in docs/OPERATING.md run and exit as documented."""

import os
import pathlib
import re
import shlex
import subprocess
import sys

from tests.standins import systems

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
OPERATING_PAGE = ROOT / 'docs' / 'OPERATING.md'
PROGRAM = 'fuchsiatrestle-ctl'
TIMEOUT_S = 120


class _DocumentedCommand:
    """A command of the page and its documented exit status."""

    __slots__ = ('exit_status', 'line')

    def __init__(self, line, exit_status):
        self.line = line
        self.exit_status = exit_status


def _read_commands():
    """Returns the commands of all console blocks of the page, in order."""
    text = OPERATING_PAGE.read_text(encoding='utf-8')
    commands = []
    for block in re.findall(r'^```console\n(.*?)^```', text, re.M | re.S):
        exit_status = 0
        for line in block.splitlines():
            if line.startswith('# exit '):
                exit_status = int(line.rpartition(' ')[2])
            elif line.startswith('$ '):
                commands.append(_DocumentedCommand(line[2:], exit_status))
                exit_status = 0
    return commands


class OperatingTest(systems.SystemTest):
    def test_every_command_ends_as_the_page_says(self):
        entries = ' '.join(map(str, self.cluster.admin_addresses))
        environment = {**os.environ, 'FUCHSIATRESTLE_ENTRIES': entries}
        commands = _read_commands()
        self.assertGreater(len(commands), 20)
        for command in commands:
            words = shlex.split(command.line)
            self.assertEqual(PROGRAM, words[0])
            with self.subTest(command=command.line):
                completed = subprocess.run(
                    [sys.executable, '-m', 'fuchsiatrestle.ctl', *words[1:]],
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    capture_output=True,
                    text=True,
                    timeout=TIMEOUT_S,
                )
                text = completed.stdout + completed.stderr
                self.assertEqual(
                    command.exit_status, completed.returncode, text
                )
        self.assertEqual(0, self.cluster.entries['e2'].wait())
