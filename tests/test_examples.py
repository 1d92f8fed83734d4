"""Tests that the example settings and patches in etc/ are valid and agree."""

import configparser
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from fuchsiatrestle import settings
from fuchsiatrestle.state import schema

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Number of data centres, entries and control replicas of each example.
EXAMPLE_COUNTS = {'cooperative': (4, 8, 5), 'imaging': (3, 6, 3)}


def _read(path):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path, encoding='utf-8')
    return parser


def _parse_peers(text):
    return settings.PeerListOption('peers').parse(text)


class ExamplesTest(unittest.TestCase):
    def _run_module(self, *arguments):
        completed = subprocess.run(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(0, completed.returncode, completed.stderr)
        return completed.stdout

    def _check_settings(self, program, path, replacements=()):
        """Checks a copy of a settings file with the daemon's ``--check``.

        Args:
            program: module of the daemon.
            path: the settings file.
            replacements: (section, key, value) to set in the copy.
        """
        parser = _read(path)
        for section, key, value in replacements:
            parser.set(section, key, value)
        with tempfile.TemporaryDirectory() as folder:
            copy_path = os.path.join(folder, path.name)
            with open(copy_path, 'w', encoding='utf-8') as stream:
                parser.write(stream)
            self._run_module(program, f'--config={copy_path}', '--check')

    def test_daemons_accept_the_settings(self):
        for customer in EXAMPLE_COUNTS:
            folder = ROOT / 'etc' / customer
            with self.subTest(customer=customer):
                self._check_settings(
                    'fuchsiatrestle.entry', folder / 'entry-e1.ini'
                )
                with tempfile.TemporaryDirectory() as data:
                    self._check_settings(
                        'fuchsiatrestle.control',
                        folder / 'control-c1.ini',
                        [('control', 'data_folder', data)],
                    )

    def test_first_patch_fits_the_schema_and_the_settings(self):
        for customer, (centres, entries, controls) in EXAMPLE_COUNTS.items():
            with self.subTest(customer=customer):
                folder = ROOT / 'etc' / customer
                patch = self._run_module(
                    'fuchsiatrestle.ctl',
                    'config',
                    'check',
                    str(folder / 'first.ini'),
                )
                document = schema.parse_document(json.dumps(json.loads(patch)))
                self.assertEqual(entries, len(document.entries))
                data_centres = {
                    row.data_centre for row in document.entries.values()
                }
                self.assertEqual(centres, len(data_centres))
                entry = _read(folder / 'entry-e1.ini')['entry']
                row = document.entries[entry['name']]
                self.assertEqual(entry['link'], row.address)
                self.assertEqual(entry['data_centre'], row.data_centre)
                control = _read(folder / 'control-c1.ini')['control']
                peers = _parse_peers(control['peers'])
                self.assertEqual(controls, len(peers))
                self.assertEqual(peers, _parse_peers(entry['controls']))
                link = settings.Address.parse(control['link'])
                self.assertEqual(link, peers[control['name']])
