"""Tests of the settings loader."""

import os
import tempfile
import unittest

from fuchsiatrestle import errors
from fuchsiatrestle import settings

SECTIONS = (
    settings.Section(
        'server',
        settings.NameOption('name'),
        settings.AddressOption('listen'),
        settings.IntOption('limit', 5, min_value=1, max_value=9),
        settings.PeerListOption('peers', None),
    ),
)
VALID_SETTINGS = (
    '[server]\nname = e1\nlisten = 127.0.0.1:80\npeers = a=127.0.0.1:1\n'
)


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, 'x.ini')

    def _load(self, text):
        with open(self.path, 'w', encoding='utf-8') as stream:
            stream.write(text)
        return settings.load(self.path, SECTIONS)

    def test_typed_values_and_defaults(self):
        cfg = self._load(VALID_SETTINGS)
        self.assertEqual('e1', cfg.get('server', 'name'))
        self.assertEqual(80, cfg.get('server', 'listen').port)
        self.assertEqual(5, cfg.get('server', 'limit'))
        self.assertEqual(['a'], list(cfg.get('server', 'peers')))

    def test_each_fault_names_file_section_key_and_value(self):
        expected_texts_by_settings = {
            VALID_SETTINGS + '[other]\n': ('[other]', 'unknown section'),
            VALID_SETTINGS + 'color = red\n': (
                'color',
                "'red'",
                'unknown key',
            ),
            VALID_SETTINGS + 'limit = 10\n': (
                'limit',
                "'10'",
                'must be 1 to 9',
            ),
            VALID_SETTINGS + 'limit = x\n': ('limit', "'x'"),
            '[server]\nname = a\n': ('listen', 'missing'),
            VALID_SETTINGS.replace('127.0.0.1:80', 'host:80'): (
                'listen',
                "'host:80'",
            ),
            'name = e1\n': ('no section',),
            VALID_SETTINGS + 'name = e2\n': ('already exists',),
        }
        for text, expected_texts in expected_texts_by_settings.items():
            with self.subTest(text=text):
                with self.assertRaises(errors.SettingsInvalid) as caught:
                    self._load(text)
                for expected_text in expected_texts + (self.path,):
                    self.assertIn(expected_text, caught.exception.reason)
                self.assertNotIn('\n', caught.exception.reason)
