"""Fakes of what the administration API needs, and a server around it."""

import threading

import curio
from returns import result

from fuchsiatrestle import admin
from fuchsiatrestle.net import http
from fuchsiatrestle import settings
from tests.fakes import ports

__all__ = ('FakeControl', 'FakeLocal', 'ServedAdmin')

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
    """Answers by the class of the call and notes what was asked."""

    def __init__(self):
        self.answers = {}
        self.calls = []

    def _answer(self, call):
        self.calls.append(call)
        answer = self.answers[type(call).__name__]
        if isinstance(answer, result.Result):
            return answer
        return result.Success(answer)

    async def propose(self, command):
        """Returns the prepared outcome."""
        return self._answer(command)

    async def ask(self, query):
        """Returns the prepared result."""
        return self._answer(query)

    async def call(self, message):
        """Returns the prepared answer."""
        return self._answer(message)


class FakeLocal(admin.Local):
    """A fixed view of an entry."""

    def __init__(self):
        self.drained = False

    def status(self):
        """Returns a fixed status."""
        return STATUS

    def upstreams(self):
        """Returns one upstream."""
        return [UPSTREAM]

    async def drain(self):
        """Notes the call."""
        self.drained = True


class ServedAdmin:
    """An ``AdminApi`` served on a loopback port by a curio thread."""

    def __init__(self, control, local):
        self.address = settings.Address('127.0.0.1', ports.free_ports(1)[0])
        api = admin.AdminApi(control, local)
        self._server = http.Server(self.address, api)
        self._started = threading.Event()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._thread.join()

    def _run(self):
        curio.run(self._serve)

    async def _serve(self):
        await self._server.start()
        self._started.set()
        await self._stop.wait()
        await self._server.stop(grace_s=0.0)
