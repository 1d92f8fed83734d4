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


def _read_ini(path):
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
        parser = _read_ini(path)
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
                with tempfile.TemporaryDirectory() as data_folder:
                    self._check_settings(
                        'fuchsiatrestle.control',
                        folder / 'control-c1.ini',
                        [('control', 'data_folder', data_folder)],
                    )

    def test_first_patch_fits_the_schema_and_the_settings(self):
        for customer, (
            data_centre_count,
            entry_count,
            control_count,
        ) in EXAMPLE_COUNTS.items():
            with self.subTest(customer=customer):
                folder = ROOT / 'etc' / customer
                patch = self._run_module(
                    'fuchsiatrestle.ctl',
                    'config',
                    'check',
                    str(folder / 'first.ini'),
                )
                document = schema.parse_document(json.dumps(json.loads(patch)))
                self.assertEqual(entry_count, len(document.entries))
                data_centres = {
                    entry_record.data_centre
                    for entry_record in document.entries.values()
                }
                self.assertEqual(data_centre_count, len(data_centres))
                entry_section = _read_ini(folder / 'entry-e1.ini')['entry']
                entry_record = document.entries[entry_section['name']]
                self.assertEqual(entry_section['link'], entry_record.address)
                self.assertEqual(
                    entry_section['data_centre'], entry_record.data_centre
                )
                control_section = _read_ini(folder / 'control-c1.ini')[
                    'control'
                ]
                peers = _parse_peers(control_section['peers'])
                self.assertEqual(control_count, len(peers))
                self.assertEqual(
                    peers, _parse_peers(entry_section['controls'])
                )
                link_address = settings.Address.parse(control_section['link'])
                self.assertEqual(link_address, peers[control_section['name']])
