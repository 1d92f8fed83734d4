"""The example settings and patches in etc/ are valid and fit together."""

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
# Data centres, entries, control replicas.
SIZES = {'cooperative': (4, 8, 5), 'imaging': (3, 6, 3)}


def _read(path):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path, encoding='utf-8')
    return parser


def _peers(text):
    return settings.PeerListOption('peers').parse(text)


class ExamplesTest(unittest.TestCase):
    def _run(self, *arguments):
        done = subprocess.run(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        return done.stdout

    def _check(self, program, path, changes=()):
        """Runs a daemon's own check on a copy with some keys replaced."""
        parser = _read(path)
        for section, key, value in changes:
            parser.set(section, key, value)
        with tempfile.TemporaryDirectory() as folder:
            copy = os.path.join(folder, path.name)
            with open(copy, 'w', encoding='utf-8') as stream:
                parser.write(stream)
            self._run(program, f'--config={copy}', '--check')

    def test_daemons_accept_the_settings(self):
        for customer in SIZES:
            folder = ROOT / 'etc' / customer
            with self.subTest(customer=customer):
                self._check('fuchsiatrestle.entry', folder / 'entry-e1.ini')
                with tempfile.TemporaryDirectory() as data:
                    self._check(
                        'fuchsiatrestle.control',
                        folder / 'control-c1.ini',
                        [('control', 'data_folder', data)],
                    )

    def test_first_patch_fits_the_schema_and_the_settings(self):
        for customer, (centres, entries, controls) in SIZES.items():
            with self.subTest(customer=customer):
                folder = ROOT / 'etc' / customer
                patch = self._run(
                    'fuchsiatrestle.ctl',
                    'config',
                    'check',
                    str(folder / 'first.ini'),
                )
                document = schema.parse(json.dumps(json.loads(patch)))
                self.assertEqual(entries, len(document.entries))
                found = {row.data_centre for row in document.entries.values()}
                self.assertEqual(centres, len(found))
                entry = _read(folder / 'entry-e1.ini')['entry']
                row = document.entries[entry['name']]
                self.assertEqual(entry['link'], row.address)
                self.assertEqual(entry['data_centre'], row.data_centre)
                control = _read(folder / 'control-c1.ini')['control']
                peers = _peers(control['peers'])
                self.assertEqual(controls, len(peers))
                self.assertEqual(peers, _peers(entry['controls']))
                link = settings.Address.parse(control['link'])
                self.assertEqual(link, peers[control['name']])
