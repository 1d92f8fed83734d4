"""Cost of running grpclib in an asyncio thread beside curio.

``python -m benchmarks.link_bridge`` compares, in one process with both ends,
a round trip over a plain grpclib stream with one over two ``net.link.Link``
objects used from curio, and measures the processor time for each message of a
batch.  It prints minimum, median and maximum of several runs.
"""

import asyncio
import statistics
import time

import curio
from grpclib import client
from grpclib import server

from fuchsiatrestle import messages
from fuchsiatrestle.net import _stream
from fuchsiatrestle.net import link
from fuchsiatrestle import settings
from tests.fakes import ports

RUN_COUNT = 7
ROUND_TRIPS = 500
BATCH_MESSAGES = 5000


def _make_message(number):
    return messages.ReturnSlots(number, 'borrower', 1)


def _format_spread(values, unit):
    low, high = min(values), max(values)
    return f'{low:.3f} / {statistics.median(values):.3f} / {high:.3f} {unit}'


class _EchoService:
    def __mapping__(self):
        return {_stream.METHOD_PATH: _stream.make_stream_handler(self._echo)}

    async def _echo(self, stream):
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            await stream.send_message(frame)


async def _measure_plain_round_trips(port):
    codec = _stream.RecordCodec()
    grpc_server = server.Server([_EchoService()], codec=codec)
    await grpc_server.start('127.0.0.1', port)
    channel = client.Channel('127.0.0.1', port, codec=codec)
    handler = _stream.make_stream_handler(None)
    stream = channel.request(
        _stream.METHOD_PATH, handler.cardinality, messages.Frame, None
    )
    medians_ms = []
    async with stream:
        await stream.send_request()
        for _ in range(RUN_COUNT):
            times_ms = []
            for number in range(ROUND_TRIPS):
                data = messages.CODEC.encode(_make_message(number))
                frame = messages.Frame('a', 1, number, [data])
                started_s = time.perf_counter()
                await stream.send_message(frame)
                await stream.recv_message()
                times_ms.append((time.perf_counter() - started_s) * 1000)
            medians_ms.append(statistics.median(times_ms))
        await stream.end()
    channel.close()
    grpc_server.close()
    await grpc_server.wait_closed()
    return medians_ms


async def _echo_forever(echo_link):
    while True:
        event = await echo_link.receive()
        if isinstance(event, link.ReceivedMessage):
            echo_link.send(event.peer, event.message)


async def _open_link_pair(first_port, second_port):
    first_link = link.Link('a', 1, settings.Address('127.0.0.1', first_port))
    second_link = link.Link('b', 1, settings.Address('127.0.0.1', second_port))
    await first_link.start()
    await second_link.start()
    first_link.connect('b', settings.Address('127.0.0.1', second_port))
    await first_link.receive()
    return first_link, second_link


async def _measure_link_round_trips(first_port, second_port):
    first_link, second_link = await _open_link_pair(first_port, second_port)
    echo_task = await curio.spawn(_echo_forever, second_link)
    medians_ms = []
    for _ in range(RUN_COUNT):
        times_ms = []
        for number in range(ROUND_TRIPS):
            started_s = time.perf_counter()
            first_link.send('b', _make_message(number))
            await first_link.receive()
            times_ms.append((time.perf_counter() - started_s) * 1000)
        medians_ms.append(statistics.median(times_ms))
    message_costs_us = []
    for _ in range(RUN_COUNT):
        started_s = time.process_time()
        for number in range(BATCH_MESSAGES):
            first_link.send('b', _make_message(number))
        for _ in range(BATCH_MESSAGES):
            await first_link.receive()
        # Each message is echoed, so that a batch carries it twice.
        message_costs_us.append(
            (time.process_time() - started_s) * 1e6 / BATCH_MESSAGES / 2
        )
    await echo_task.cancel()
    await first_link.stop()
    await second_link.stop()
    return medians_ms, message_costs_us


def main():
    """Measures both kinds of round trip and prints the results."""
    plain_port, first_port, second_port = ports.find_free_ports(3)
    plain_medians_ms = asyncio.run(_measure_plain_round_trips(plain_port))
    link_medians_ms, message_costs_us = curio.run(
        _measure_link_round_trips, first_port, second_port
    )
    print('minimum / median / maximum of', RUN_COUNT, 'runs')
    print(
        'round trip, plain grpclib stream:',
        _format_spread(plain_medians_ms, 'ms'),
    )
    print(
        'round trip, link under curio:    ',
        _format_spread(link_medians_ms, 'ms'),
    )
    ratio = statistics.median(link_medians_ms) / statistics.median(
        plain_medians_ms
    )
    print(f'ratio of medians: {ratio:.2f}')
    print(
        'one message in a batch, both ends:',
        _format_spread(message_costs_us, 'us of CPU'),
    )


if __name__ == '__main__':
    main()
