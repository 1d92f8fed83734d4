"""Tests of order, redialling, silence and planned stops of links."""

import functools
import unittest
from unittest import mock

import curio

from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import link
from fuchsiatrestle import settings
from standins import relay
from tests.fakes import ports
from tests.fakes import stops

MESSAGE_COUNT = 3000


def _make_message(loan):
    return messages.ReturnSlots(loan, 'x', 1)


async def _next_message(receiving_link):
    while True:
        event = await receiving_link.receive()
        if isinstance(event, link.ReceivedMessage):
            return event


class LinkTest(unittest.TestCase):
    def setUp(self):
        first_port, second_port = ports.find_free_ports(2)
        self.first_address = settings.Address('127.0.0.1', first_port)
        self.second_address = settings.Address('127.0.0.1', second_port)

    def test_keeps_order_and_answers_over_an_accepted_stream(self):
        async def scenario():
            a = link.Link('a', 1, self.first_address)
            b = link.Link('b', 7, self.second_address)
            await a.start()
            await b.start()
            a.connect('b', self.second_address)
            self.assertEqual('b', (await a.receive()).peer)
            for number in range(MESSAGE_COUNT):
                a.send('b', _make_message(number))
            for number in range(MESSAGE_COUNT):
                event = await _next_message(b)
                self.assertEqual(number, event.message.loan)
            b.send('a', _make_message(-1))
            event = await _next_message(a)
            self.assertEqual(('b', 7), (event.peer, event.incarnation))
            await a.stop()
            await b.stop()

        curio.run(curio.timeout_after, 30, scenario)

    def test_dials_again_after_the_peer_restarts(self):
        async def scenario():
            a = link.Link('a', 1, self.first_address)
            await a.start()
            a.connect('b', self.second_address)
            for incarnation in (1, 2):
                b = link.Link('b', incarnation, self.second_address)
                await b.start()
                while not isinstance(await a.receive(), link.PeerUp):
                    pass
                a.send('b', _make_message(incarnation))
                event = await _next_message(b)
                self.assertEqual(incarnation, event.message.loan)
                await b.stop()
            await a.stop()

        curio.run(curio.timeout_after, 30, scenario)

    def test_replaces_a_stream_that_went_silent(self):
        async def scenario():
            relay_address = settings.Address(
                '127.0.0.1', ports.find_free_ports(1)[0]
            )
            stream_relay = relay.Relay(
                [f'b={relay_address}>{self.second_address}']
            )
            await stream_relay.start()
            a = link.Link('a', 1)
            b = link.Link('b', 1, self.second_address)
            await b.start()
            await a.start()
            a.connect('b', relay_address)
            self.assertIsInstance(await a.receive(), link.PeerUp)
            # The kernel completes a connection before the relay accepts it,
            # and the relay can silence only connections it has accepted.
            self.assertIsInstance(await b.receive(), link.PeerUp)
            stream_relay.set_mode('b', relay.SILENCE)
            self.assertIsInstance(await a.receive(), link.PeerDown)
            self.assertIsInstance(await a.receive(), link.PeerUp)
            a.send('b', _make_message(5))
            self.assertEqual(5, (await _next_message(b)).message.loan)
            await a.stop()
            await b.stop()

        curio.run(curio.timeout_after, 30, scenario)

    def test_peer_detects_a_planned_stop_at_once(self):
        for stopping_index in (0, 1):
            with self.subTest(stopping_index=stopping_index):
                curio.run(
                    curio.timeout_after,
                    30,
                    self._check_planned_stop,
                    stopping_index,
                )

    async def _check_planned_stop(self, stopping_index):
        links = [
            link.Link('a', 1, self.first_address),
            link.Link('b', 1, self.second_address),
        ]
        for started_link in links:
            await started_link.start()
        links[0].connect('b', self.second_address)
        for started_link in links:
            self.assertIsInstance(await started_link.receive(), link.PeerUp)
        silent_streams_before = metrics.default_registry.counters().get(
            'link.silent'
        )
        await links[stopping_index].stop()
        remaining_link = links[1 - stopping_index]
        self.assertIsInstance(await remaining_link.receive(), link.PeerDown)
        silent_streams_after = metrics.default_registry.counters().get(
            'link.silent'
        )
        self.assertEqual(silent_streams_before, silent_streams_after)
        await remaining_link.stop()

    def test_stop_returns_when_streams_do_not_end_in_time(self):
        async def scenario():
            a = link.Link('a', 1, self.first_address)
            await a.start()
            with mock.patch.object(link, 'CLOSE_TIMEOUT_S', 0):
                with self.assertLogs(link.LOG, 'WARNING'):
                    await a.stop()

        curio.run(curio.timeout_after, 30, scenario)

    def test_a_stop_between_receive_and_send_does_not_hang(self):
        def make_queue():
            a = link.Link('a', 1)
            return a.receive, functools.partial(a.send, 'a', _make_message(1))

        self.assertEqual([], stops.find_hanging_stops(make_queue))
