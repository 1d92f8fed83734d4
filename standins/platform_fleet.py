"""Workers of the users' platform over HTTP, for tests on loopback.

They are built from the user documentation alone and share no code with the
adapter, so that a misreading of the documentation shows.  All workers run in
one process and record their runs in one ``worker_model.RunLedger``.
"""

import json
import time

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from standins import worker_model

__all__ = ('Fleet',)

HEARTBEAT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.01
CALL_TIMEOUT_S = 1.0


def _now_ms():
    return time.monotonic_ns() // 1000000


class _Worker(http.Handler):
    """A ``worker_model.WorkerModel`` behind an HTTP server."""

    def __init__(self, name, address, announced_address, fleet):
        self.name = name
        self.announced_address = announced_address
        self.incarnation_ms = time.time_ns() // 1000000
        self.model = worker_model.WorkerModel(
            name,
            _now_ms(),
            fleet.cpu_milli,
            32768,
            fleet.ledger,
            fleet.find_profile,
            0.99,  # clock rate: the clock of the worker is 1 % slow
        )
        self.server = http.Server(address, self)
        self.heartbeat_sequence = 0
        self._fleet = fleet

    async def handle(self, request):
        """Answers a request of the scheduler to start, stop or list runs."""
        target = request.get_header(b'fuchsiatrestle-target-instance')
        if target and target != self.name:
            return self._make_response(421, {})
        body = json.loads(request.body)
        handlers = {
            '/run-start': self._start_run,
            '/run-stop': self._stop_run,
            '/hold': self._wait_for_ends,
        }
        if request.path not in handlers:
            return self._make_response(404, {})
        return await handlers[request.path](body)

    async def _start_run(self, body):
        # A model advances only when it is called.  Without this call, a run
        # that has ended on an unreachable worker would count as running when
        # its successor starts here.
        self._fleet.advance()
        status, reason = self.model.start_run(
            _now_ms(),
            body['task'],
            body['run_id'],
            body['until_ms'],
            body.get('fencing_token', 0),
            body.get('checkpoint', ''),
        )
        return self._make_response(
            status, {'reason': reason} if reason else {}
        )

    async def _stop_run(self, body):
        status, reason = self.model.stop_run(
            _now_ms(),
            body['task'],
            body['run_id'],
            body.get('fencing_token', 0),
        )
        return self._make_response(
            status, {'reason': reason} if reason else {}
        )

    async def _wait_for_ends(self, body):
        wait_until_ms = _now_ms() + body.get('wait_ms', 0)
        while True:
            status, reason = self.model.poll(
                _now_ms(),
                body.get('fencing_token', 0),
                body['last_seen'],
                body.get('until_ms'),
            )
            if (
                reason
                or self.model.unacknowledged_ends
                or _now_ms() >= wait_until_ms
            ):
                break
            await curio.sleep(POLL_INTERVAL_S)
        if reason:
            return self._make_response(status, {'reason': reason})
        answer = {
            'running': self.model.list_running_runs(_now_ms()),
            'ended': self.model.unacknowledged_ends,
            'born': self.incarnation_ms,
        }
        return self._make_response(status, answer)

    def _make_response(self, status, value):
        clock_ms = self.model.clock_ms(_now_ms())
        return http.make_json_response(status, {'clock_ms': clock_ms, **value})

    def make_heartbeat(self, service):
        """Returns the body of the next heartbeat, a dict."""
        self.heartbeat_sequence += 1
        return {
            'service': service,
            'address': str(self.announced_address),
            'zone': 'dc-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': self.model.cpu_milli,
                'mem_mb': self.model.memory_mib,
                'gpu': 0,
            },
            'labels': ['a', 'r1-1'],
            'clock_ms': self.model.clock_ms(_now_ms()),
            'sequence': self.heartbeat_sequence,
            'born': self.incarnation_ms,
        }


class Fleet:
    """Workers of one service.

    Args:
        service: name of the service.
        control_addresses: ``settings.Address`` of each daemon that takes
            heartbeats.
        listen_addresses: ``settings.Address`` values that the workers listen
            on, one for each worker.
        find_profile: function from a task name to its
            ``worker_model.TaskProfile``.
        cpu_milli: processors of each worker, in thousandths of a core.
        announced: ``settings.Address`` values that the workers announce, None
            for those that they listen on.

    Attributes:
        ledger: the ``worker_model.RunLedger`` of all workers.
        acknowledged_heartbeats: number of heartbeats answered with 200.
    """

    def __init__(
        self,
        service,
        control_addresses,
        listen_addresses,
        find_profile,
        cpu_milli=8000,
        announced=None,
    ):
        self.ledger = worker_model.RunLedger()
        self.find_profile = find_profile
        self.cpu_milli = cpu_milli
        self.acknowledged_heartbeats = 0
        self._service = service
        self._control_addresses = list(control_addresses)
        self._workers = [
            _Worker(f'i-{number}', address, announced_address, self)
            for number, (address, announced_address) in enumerate(
                zip(
                    listen_addresses,
                    announced or listen_addresses,
                    strict=True,
                )
            )
        ]
        self._heartbeat_tasks = []

    def set_control_addresses(self, control_addresses):
        """Changes the daemons to which heartbeats are sent from now on."""
        self._control_addresses[:] = control_addresses

    async def start(self):
        """Starts the HTTP servers and the heartbeats."""
        for worker in self._workers:
            await worker.server.start()
            self._heartbeat_tasks.append(
                await curio.spawn(
                    self._send_heartbeats_forever, worker, daemon=True
                )
            )

    async def stop(self):
        """Stops heartbeats and servers; records the runs that have ended."""
        for task in self._heartbeat_tasks:
            await task.cancel()
        self.advance()
        for worker in self._workers:
            await worker.server.stop(0)

    def advance(self):
        """Advances the models of all workers to the current time."""
        for worker in self._workers:
            worker.model.advance(_now_ms())

    async def _send_heartbeats_forever(self, worker):
        control_index = 0
        redirect_address = None
        while True:
            address = (
                redirect_address
                or self._control_addresses[
                    control_index % len(self._control_addresses)
                ]
            )
            answer = await self._send_heartbeat(worker, address)
            if answer is None:
                redirect_address = None
                control_index += 1
            else:
                self.acknowledged_heartbeats += 1
                next_address = answer.get('heartbeat_addr')
                redirect_address = (
                    settings.Address.parse(next_address)
                    if next_address
                    else None
                )
            await curio.sleep(
                HEARTBEAT_INTERVAL_S if answer is not None else 0.1
            )

    async def _send_heartbeat(self, worker, address):
        client = http.Client(address, CALL_TIMEOUT_S)
        path = f'/instances/{worker.name}/heartbeat'
        body = worker.make_heartbeat(self._service)
        try:
            status, answer = await client.call_json('POST', path, body)
        except http.HttpError:
            return None
        finally:
            client.close()
        return answer if status == 200 else None
