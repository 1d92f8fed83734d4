"""Tests that only end-to-end headers are forwarded."""

import unittest

from fuchsiatrestle.entry import _headers

RECEIVED_HEADERS = [
    (b'accept', b'*/*'),
    (b'connection', b'close, X-Trace'),
    (b'x-trace', b'1'),
    (b'transfer-encoding', b'chunked'),
    (b'content-length', b'5'),
    (b'x-other', b'2'),
]


class EndToEndTest(unittest.TestCase):
    def test_drops_what_concerns_one_connection(self):
        names = [
            name
            for name, _ in _headers.select_end_to_end_headers(RECEIVED_HEADERS)
        ]
        self.assertEqual([b'accept', b'x-other'], names)

    def test_keeps_the_length_on_demand(self):
        kept_headers = _headers.select_end_to_end_headers(
            RECEIVED_HEADERS, (b'content-length',)
        )
        self.assertIn((b'content-length', b'5'), kept_headers)
