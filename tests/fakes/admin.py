"""Fake implementations behind the administration API, and a server for it."""

import threading

import curio
from returns import result

from fuchsiatrestle import admin
from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from tests.fakes import ports

__all__ = ('FakeControl', 'FakeLocalEntry', 'AdminServer')

STATUS = admin.EntryStatus(
    entry='e1',
    data_centre='dc1',
    incarnation=7,
    version=3,
    lease_ms=1500,
    ready=True,
    draining=False,
)
UPSTREAM = admin.UpstreamView(
    service='quotes',
    address='127.0.0.1:9001',
    data_centre='dc1',
    state='ready',
    slots=8,
    share=4,
    in_flight=1,
    age_ms=20,
)


class FakeControl(admin.Control):
    """Returns prepared answers and records the calls.

    Attributes:
        answers: answer by the class name of the call; a ``Result`` is returned
            as it is, any other value is returned in a ``Success``.
        calls: list of all commands, queries and messages, in order.
    """

    def __init__(self):
        self.answers = {}
        self.calls = []

    def _get_answer(self, call):
        self.calls.append(call)
        answer = self.answers[type(call).__name__]
        if isinstance(answer, result.Result):
            return answer
        return result.Success(answer)

    async def propose(self, command, timeout_ms=None):
        """Returns the prepared outcome."""
        return self._get_answer(command)

    async def query(self, query, timeout_ms=None):
        """Returns the prepared result."""
        return self._get_answer(query)

    async def call(self, message):
        """Returns the prepared answer."""
        return self._get_answer(message)


class FakeLocalEntry(admin.LocalEntry):
    """Returns a fixed status and one fixed upstream.

    Attributes:
        drain_called: True once ``drain`` was called.
    """

    def __init__(self):
        self.drain_called = False

    def get_status(self):
        """Returns ``STATUS``."""
        return STATUS

    def list_upstreams(self):
        """Returns a list of ``UPSTREAM`` alone."""
        return [UPSTREAM]

    async def drain(self):
        """Records the call."""
        self.drain_called = True


class AdminServer:
    """Serves an ``AdminApi`` on a loopback port while it is entered.

    The server runs curio in a thread of its own.

    Attributes:
        address: ``settings.Address`` of the server.
    """

    def __init__(self, control, local_entry):
        self.address = settings.Address(
            '127.0.0.1', ports.find_free_ports(1)[0]
        )
        api = admin.AdminApi(control, local_entry)
        self._server = http.Server(self.address, api)
        self._started_event = threading.Event()
        self._stop_event = curio.UniversalEvent()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        self._started_event.wait()
        return self

    def __exit__(self, *exc_info):
        self._stop_event.set()
        self._thread.join()

    def _run(self):
        curio.run(self._serve)

    async def _serve(self):
        await self._server.start()
        self._started_event.set()
        await self._stop_event.wait()
        await self._server.stop(grace_s=0.0)
