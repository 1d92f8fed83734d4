"""Entry without HTTP that calls control and holds a lease over a real link."""

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle import membership
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import link

__all__ = ('FakeEntry',)

TICK_INTERVAL_S = 0.05


class FakeEntry:
    """Entry that has only its configuration lease and its control client.

    Args:
        name: name of the entry.
        address: ``settings.Address`` of its link listener.
        controls: ``settings.Address`` of each control replica, by name.

    Attributes:
        client: the ``ControlClient``.
        lease_holder: the ``ConfigLeaseHolder``.
        in_force_ms_by_version: monotonic time in milliseconds since which a
            version is in force, by version.
        lost: monotonic times in milliseconds at which the lease was lost.
    """

    def __init__(self, name, address, controls):
        self.name = name
        self.address = address
        self._link = link.Link(name, daemon.new_incarnation(), address)
        self.client = control_client.ControlClient(self._link, controls)
        self.lease_holder = membership.ConfigLeaseHolder(
            name, self._link.incarnation, address, controls
        )
        self.in_force_ms_by_version = {}
        self.lost = []
        self._tasks = []

    async def start(self):
        """Starts the link and the tasks."""
        await self._link.start()
        self.client.connect()
        self._tasks = [
            await curio.spawn(self._receive_forever),
            await curio.spawn(self._tick_forever),
        ]

    async def stop(self):
        """Releases the lease, then stops."""
        self._step_lease_holder(membership.ReleaseLease())
        await curio.sleep(TICK_INTERVAL_S)
        await self.crash()

    async def crash(self):
        """Stops without releasing the lease, as after a crash."""
        for task in self._tasks:
            await task.cancel()
        await self._link.stop()

    def is_held(self):
        """Returns True while it holds the lease and could serve callers."""
        return self.lease_holder.is_held(daemon.monotonic_ms())

    async def wait_for_version(self, version):
        """Waits until this entry has a version in force."""
        while version not in self.in_force_ms_by_version:
            await curio.sleep(TICK_INTERVAL_S / 10)

    async def _receive_forever(self):
        while True:
            event = await self._link.receive()
            if await self.client.handle_event(event):
                continue
            if isinstance(event, link.ReceivedMessage):
                self._step_lease_holder(
                    membership.MessageReceived(event.peer, event.message)
                )

    async def _tick_forever(self):
        while True:
            self._step_lease_holder(membership.Tick())
            await curio.sleep(TICK_INTERVAL_S)

    def _step_lease_holder(self, event):
        now_ms = daemon.monotonic_ms()
        for effect in self.lease_holder.step(event, now_ms):
            if isinstance(effect, membership.SendToPeer):
                self._link.send(effect.peer, effect.message)
            elif isinstance(effect, membership.ConfigInForce):
                self.in_force_ms_by_version[effect.version] = now_ms
            else:
                self.lost.append(now_ms)
