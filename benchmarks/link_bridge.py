"""Cost of carrying grpclib in an asyncio thread beside curio.

Command: ``python -m benchmarks.link_bridge``.  Compares, in one process that
holds both ends, a round trip over a plain grpclib stream with one over two
``net.link.Link`` objects driven from curio; then the processor time of a
message when messages are batched.  Prints minimum, median and maximum.
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

RUNS = 7
ROUND_TRIPS = 500
BATCH = 5000


def _message(number):
    return messages.ReturnSlots(number, 'borrower', 1)


def _spread(values, unit):
    low, high = min(values), max(values)
    return f'{low:.3f} / {statistics.median(values):.3f} / {high:.3f} {unit}'


class _EchoService:
    def __mapping__(self):
        return {_stream.METHOD_PATH: _stream.stream_handler(self._echo)}

    async def _echo(self, stream):
        while True:
            frame = await stream.recv_message()
            if frame is None:
                return
            await stream.send_message(frame)


async def _plain_round_trips(port):
    codec = _stream.RecordCodec()
    listener = server.Server([_EchoService()], codec=codec)
    await listener.start('127.0.0.1', port)
    channel = client.Channel('127.0.0.1', port, codec=codec)
    handler = _stream.stream_handler(None)
    stream = channel.request(
        _stream.METHOD_PATH, handler.cardinality, messages.Frame, None
    )
    medians = []
    async with stream:
        await stream.send_request()
        for _ in range(RUNS):
            times = []
            for number in range(ROUND_TRIPS):
                data = messages.CODEC.encode(_message(number))
                frame = messages.Frame('a', 1, number, [data])
                started = time.perf_counter()
                await stream.send_message(frame)
                await stream.recv_message()
                times.append((time.perf_counter() - started) * 1000)
            medians.append(statistics.median(times))
        await stream.end()
    channel.close()
    listener.close()
    await listener.wait_closed()
    return medians


async def _echo_forever(lnk):
    while True:
        event = await lnk.receive()
        if isinstance(event, link.Inbound):
            lnk.send(event.peer, event.message)


async def _link_pair(first, second):
    a = link.Link('a', 1, settings.Address('127.0.0.1', first))
    b = link.Link('b', 1, settings.Address('127.0.0.1', second))
    await a.start()
    await b.start()
    a.connect('b', settings.Address('127.0.0.1', second))
    await a.receive()
    return a, b


async def _link_round_trips(first, second):
    a, b = await _link_pair(first, second)
    echo = await curio.spawn(_echo_forever, b)
    medians = []
    for _ in range(RUNS):
        times = []
        for number in range(ROUND_TRIPS):
            started = time.perf_counter()
            a.send('b', _message(number))
            await a.receive()
            times.append((time.perf_counter() - started) * 1000)
        medians.append(statistics.median(times))
    costs = []
    for _ in range(RUNS):
        started = time.process_time()
        for number in range(BATCH):
            a.send('b', _message(number))
        for _ in range(BATCH):
            await a.receive()
        costs.append((time.process_time() - started) * 1e6 / BATCH / 2)
    await echo.cancel()
    await a.stop()
    await b.stop()
    return medians, costs


def main():
    """Runs both measurements and prints them."""
    first, second, third = ports.free_ports(3)
    plain = asyncio.run(_plain_round_trips(first))
    linked, costs = curio.run(_link_round_trips, second, third)
    print('minimum / median / maximum of', RUNS, 'runs')
    print('round trip, plain grpclib stream:', _spread(plain, 'ms'))
    print('round trip, link under curio:    ', _spread(linked, 'ms'))
    ratio = statistics.median(linked) / statistics.median(plain)
    print(f'ratio of medians: {ratio:.2f}')
    print('one message in a batch, both ends:', _spread(costs, 'us of CPU'))


if __name__ == '__main__':
    main()
