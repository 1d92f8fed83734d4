"""Tests of mutual TLS on links and of its settings."""

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

DELIVERY_TIMEOUT_S = 30
REJECTION_WAIT_S = 1.5


class TlsLinkTest(unittest.TestCase):
    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = temporary_folder.name
        self.authority = certificates.Authority(self.folder)
        self.address = settings.Address(
            '127.0.0.1', ports.find_free_ports(1)[0]
        )

    def _is_stream_accepted(
        self, sender_name, sender_files, timeout_s=REJECTION_WAIT_S
    ):
        """Returns whether a link accepts a stream from another one.

        Args:
            sender_name: name that the dialling link claims.
            sender_files: its ``tls.TlsFiles``; None for plain TCP.
            timeout_s: time to wait for the first event.
        """

        async def scenario():
            tls_files = self.authority.issue('b')
            b = link.Link('b', 1, self.address, tls_files)
            a = link.Link(sender_name, 1, None, sender_files)
            await b.start()
            await a.start()
            a.connect('b', self.address)
            sender = await curio.spawn(self._send_repeatedly, a)
            event = await curio.ignore_after(timeout_s, b.receive)
            await sender.cancel()
            await a.stop()
            await b.stop()
            return event is not None

        return curio.run(scenario)

    async def _send_repeatedly(self, sending_link):
        while True:
            sending_link.send('b', messages.ReturnSlots(1, 'a', 1))
            await curio.sleep(0.05)

    def test_accepts_the_certified_name(self):
        tls_files = self.authority.issue('a')
        self.assertTrue(
            self._is_stream_accepted('a', tls_files, DELIVERY_TIMEOUT_S)
        )

    def test_rejects_a_name_that_is_not_certified(self):
        tls_files = self.authority.issue('a')
        self.assertFalse(self._is_stream_accepted('c', tls_files))

    def test_rejects_a_certificate_of_another_authority(self):
        tls_files = certificates.Authority(self.folder).issue('a')
        self.assertFalse(self._is_stream_accepted('a', tls_files))

    def test_rejects_plain_tcp(self):
        self.assertFalse(self._is_stream_accepted('a', None))


class SettingsTest(unittest.TestCase):
    def _load(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.ini') as stream:
            stream.write(text)
            stream.flush()
            cfg = settings.load(stream.name, [tls.SECTION])
            return tls.load_tls_files(cfg)

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
