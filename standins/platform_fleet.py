"""Workers of the users' platform over HTTP, for tests on loopback.

Written from the users' pages alone; it shares no code with the adapter, so
that a wrong reading of the pages shows.  All workers live in one process and
one ``worker_model.Ledger`` watches them.
"""

import json
import time

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from standins import worker_model

__all__ = ('Fleet',)

BEAT_S = 0.5
POLL_S = 0.01
CALL_TIMEOUT_S = 1.0


def _now_ms():
    return time.monotonic_ns() // 1000000


class _Worker(http.Handler):
    """One worker: its model behind an HTTP server."""

    def __init__(self, name, address, announced, fleet):
        self.name = name
        self.announced = announced
        self.born = time.time_ns() // 1000000
        self.model = worker_model.WorkerModel(
            name,
            _now_ms(),
            fleet.cpu,
            32768,
            fleet.ledger,
            fleet.size_of,
            0.99,
        )
        self.server = http.Server(address, self)
        self.sequence = 0
        self._fleet = fleet

    async def handle(self, request):
        """Answers one order."""
        target = request.header(b'fuchsiatrestle-target-instance')
        if target and target != self.name:
            return self._answer(421, {})
        body = json.loads(request.body)
        calls = {
            '/run-start': self._start,
            '/run-stop': self._stop,
            '/hold': self._hold,
        }
        if request.path not in calls:
            return self._answer(404, {})
        return await calls[request.path](body)

    async def _start(self, body):
        # What has ended on a worker that nothing reaches is not running.
        self._fleet.advance()
        status, reason = self.model.start(
            _now_ms(),
            body['task'],
            body['run_id'],
            body['until_ms'],
            body.get('fencing_token', 0),
            body.get('checkpoint', ''),
        )
        return self._answer(status, {'reason': reason} if reason else {})

    async def _stop(self, body):
        status, reason = self.model.stop(
            _now_ms(),
            body['task'],
            body['run_id'],
            body.get('fencing_token', 0),
        )
        return self._answer(status, {'reason': reason} if reason else {})

    async def _hold(self, body):
        until_ms = _now_ms() + body.get('wait_ms', 0)
        while True:
            status, reason = self.model.look(
                _now_ms(),
                body.get('fencing_token', 0),
                body['last_seen'],
                body.get('until_ms'),
            )
            if reason or self.model.ends or _now_ms() >= until_ms:
                break
            await curio.sleep(POLL_S)
        if reason:
            return self._answer(status, {'reason': reason})
        rows = {
            'running': self.model.rows(_now_ms()),
            'ended': self.model.ends,
            'born': self.born,
        }
        return self._answer(status, rows)

    def _answer(self, status, value):
        clock_ms = self.model.clock(_now_ms())
        return http.json_response(status, {'clock_ms': clock_ms, **value})

    def heartbeat(self, service):
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            'service': service,
            'address': str(self.announced),
            'zone': 'dc-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': self.model.cpu,
                'mem_mb': self.model.memory_mb,
                'gpu': 0,
            },
            'labels': ['a', 'r1-1'],
            'clock_ms': self.model.clock(_now_ms()),
            'sequence': self.sequence,
            'born': self.born,
        }


class Fleet:
    """Some workers of one service.

    Args:
        service: name of the service.
        controls: ``settings.Address`` of the daemons to announce to.
        addresses: ``settings.Address`` of each worker.
        size_of: function from a task name to its ``worker_model.Size``.
        cpu: capacity of each, in thousandths of a core.
        announced: ``settings.Address`` under which each is called, if not
            its own.
    """

    def __init__(
        self, service, controls, addresses, size_of, cpu=8000, announced=None
    ):
        self.ledger = worker_model.Ledger()
        self.size_of = size_of
        self.cpu = cpu
        self.acknowledged = 0
        self._service = service
        self._controls = list(controls)
        self._workers = [
            _Worker(f'i-{number}', address, called, self)
            for number, (address, called) in enumerate(
                zip(addresses, announced or addresses, strict=True)
            )
        ]
        self._tasks = []

    async def start(self):
        """Opens the servers and begins to announce."""
        for worker in self._workers:
            await worker.server.start()
            self._tasks.append(
                await curio.spawn(self._announce_forever, worker, daemon=True)
            )

    async def stop(self):
        """Stops everything."""
        for task in self._tasks:
            await task.cancel()
        self.advance()
        for worker in self._workers:
            await worker.server.stop(0)

    def advance(self):
        """Lets the runs of all workers end that are over by now."""
        for worker in self._workers:
            worker.model.advance(_now_ms())

    async def _announce_forever(self, worker):
        place = 0
        told = None
        while True:
            address = told or self._controls[place % len(self._controls)]
            answer = await self._beat(worker, address)
            if answer is None:
                told = None
                place += 1
            else:
                self.acknowledged += 1
                named = answer.get('heartbeat_addr')
                told = settings.Address.parse(named) if named else None
            await curio.sleep(BEAT_S if answer is not None else 0.1)

    async def _beat(self, worker, address):
        client = http.Client(address, CALL_TIMEOUT_S)
        path = f'/instances/{worker.name}/heartbeat'
        body = worker.heartbeat(self._service)
        try:
            status, answer = await client.call_json('POST', path, body)
        except http.HttpFailed:
            return None
        finally:
            client.close()
        return answer if status == 200 else None
