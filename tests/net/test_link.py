"""Tests of the link between processes."""

import unittest
from unittest import mock

import curio

from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import link
from fuchsiatrestle import settings
from standins import relay
from tests.fakes import ports

MESSAGES = 3000


def _returned(loan):
    return messages.ReturnSlots(loan, 'x', 1)


async def _next_message(lnk):
    while True:
        event = await lnk.receive()
        if isinstance(event, link.Inbound):
            return event


class LinkTest(unittest.TestCase):
    def setUp(self):
        first, second = ports.free_ports(2)
        self.first = settings.Address('127.0.0.1', first)
        self.second = settings.Address('127.0.0.1', second)

    def test_keeps_order_and_answers_over_an_accepted_stream(self):
        async def run():
            a = link.Link('a', 1, self.first)
            b = link.Link('b', 7, self.second)
            await a.start()
            await b.start()
            a.connect('b', self.second)
            self.assertEqual('b', (await a.receive()).peer)
            for number in range(MESSAGES):
                a.send('b', _returned(number))
            for number in range(MESSAGES):
                inbound = await _next_message(b)
                self.assertEqual(number, inbound.message.loan)
            b.send('a', _returned(-1))
            inbound = await _next_message(a)
            self.assertEqual(('b', 7), (inbound.peer, inbound.incarnation))
            await a.stop()
            await b.stop()

        curio.run(curio.timeout_after, 30, run)

    def test_dials_again_after_the_peer_restarts(self):
        async def run():
            a = link.Link('a', 1, self.first)
            await a.start()
            a.connect('b', self.second)
            for incarnation in (1, 2):
                b = link.Link('b', incarnation, self.second)
                await b.start()
                while not isinstance(await a.receive(), link.PeerUp):
                    pass
                a.send('b', _returned(incarnation))
                inbound = await _next_message(b)
                self.assertEqual(incarnation, inbound.message.loan)
                await b.stop()
            await a.stop()

        curio.run(curio.timeout_after, 30, run)

    def test_replaces_a_stream_that_went_silent(self):
        async def run():
            middle = settings.Address('127.0.0.1', ports.free_ports(1)[0])
            network = relay.Relay([f'b={middle}>{self.second}'])
            await network.start()
            a = link.Link('a', 1)
            b = link.Link('b', 1, self.second)
            await b.start()
            await a.start()
            a.connect('b', middle)
            self.assertIsInstance(await a.receive(), link.PeerUp)
            # The kernel connects before the relay accepts; the relay can
            # only silence a connection that it has accepted.
            self.assertIsInstance(await b.receive(), link.PeerUp)
            network.set_mode('b', relay.SILENCE)
            self.assertIsInstance(await a.receive(), link.PeerDown)
            self.assertIsInstance(await a.receive(), link.PeerUp)
            a.send('b', _returned(5))
            self.assertEqual(5, (await _next_message(b)).message.loan)
            await a.stop()
            await b.stop()

        curio.run(curio.timeout_after, 30, run)

    def test_peer_learns_of_a_planned_stop_from_the_stream(self):
        for stopping in (0, 1):
            with self.subTest(stopping=stopping):
                curio.run(curio.timeout_after, 30, self._stop, stopping)

    async def _stop(self, stopping):
        pair = [link.Link('a', 1, self.first), link.Link('b', 1, self.second)]
        for lnk in pair:
            await lnk.start()
        pair[0].connect('b', self.second)
        for lnk in pair:
            self.assertIsInstance(await lnk.receive(), link.PeerUp)
        silent = metrics.default_registry.counters().get('link.silent')
        await pair[stopping].stop()
        staying = pair[1 - stopping]
        self.assertIsInstance(await staying.receive(), link.PeerDown)
        now = metrics.default_registry.counters().get('link.silent')
        self.assertEqual(silent, now)
        await staying.stop()

    def test_stop_goes_on_when_its_streams_do_not_end_in_time(self):
        async def run():
            a = link.Link('a', 1, self.first)
            await a.start()
            with mock.patch.object(link, 'CLOSE_TIMEOUT_S', 0):
                with self.assertLogs(link.LOG, 'WARNING'):
                    await a.stop()

        curio.run(curio.timeout_after, 30, run)
