"""Tests of mutual TLS on links."""

import tempfile
import unittest

import curio

from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle.net import link
from fuchsiatrestle.net import tls
from fuchsiatrestle import settings
from tests.fakes import certificates
from tests.fakes import ports

HEARD_LIMIT_S = 30
UNHEARD_AFTER_S = 1.5


class TlsLinkTest(unittest.TestCase):
    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = holder.name
        self.authority = certificates.Authority(self.folder)
        self.address = settings.Address('127.0.0.1', ports.free_ports(1)[0])

    def _is_heard(self, sender_name, sender_files, limit_s=UNHEARD_AFTER_S):
        """Returns whether b accepts a message of a process so certified."""

        async def run():
            files = self.authority.issue('b')
            b = link.Link('b', 1, self.address, files)
            a = link.Link(sender_name, 1, None, sender_files)
            await b.start()
            await a.start()
            a.connect('b', self.address)
            sender = await curio.spawn(self._send_repeatedly, a)
            heard = await curio.ignore_after(limit_s, b.receive)
            await sender.cancel()
            await a.stop()
            await b.stop()
            return heard is not None

        return curio.run(run)

    async def _send_repeatedly(self, lnk):
        while True:
            lnk.send('b', messages.ReturnSlots(1, 'a', 1))
            await curio.sleep(0.05)

    def test_certified_name_is_heard(self):
        files = self.authority.issue('a')
        self.assertTrue(self._is_heard('a', files, HEARD_LIMIT_S))

    def test_other_name_than_certified_is_not_heard(self):
        files = self.authority.issue('a')
        self.assertFalse(self._is_heard('c', files))

    def test_foreign_authority_is_not_heard(self):
        files = certificates.Authority(self.folder).issue('a')
        self.assertFalse(self._is_heard('a', files))

    def test_plain_tcp_is_not_heard(self):
        self.assertFalse(self._is_heard('a', None))


class SettingsTest(unittest.TestCase):
    def _load(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as stream:
            stream.write(text)
            stream.flush()
            cfg = settings.load(stream.name, [tls.SECTION])
            return tls.files_from_settings(cfg)

    def test_absent_section_means_plain_tcp(self):
        self.assertIsNone(self._load(''))

    def test_incomplete_or_unreadable_files_are_refused(self):
        for text in (
            '[tls]\ncertificate = a.pem\n',
            '[tls]\ncertificate = a\nkey = b\nauthority = c\n',
        ):
            with self.subTest(text=text):
                with self.assertRaises(errors.SettingsInvalid):
                    self._load(text)
