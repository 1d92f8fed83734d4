"""The entry daemon: listeners, the link, and the tasks between them."""

import curio

from fuchsiatrestle import admin
from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _caller_path
from fuchsiatrestle.entry import _local
from fuchsiatrestle.entry import _platform
from fuchsiatrestle.entry import _reports
from fuchsiatrestle.entry import _settings
from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import membership
from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import http
from fuchsiatrestle.net import link
from fuchsiatrestle.net import tls
from fuchsiatrestle import routing
from fuchsiatrestle import settings

__all__ = ('EntryDaemon',)

LEASE_TICK_S = 0.05

LOG = logs.get_logger(__name__)


class EntryDaemon(daemon.Daemon):
    """One entry.

    Args:
        cfg: checked ``settings.Settings``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self.name = cfg.get('entry', 'name')
        self.data_centre = cfg.get('entry', 'data_centre')
        self.incarnation = daemon.draw_incarnation()
        self.draining = False
        self._stop_requested = curio.Event()
        self._peers = {}
        self._tasks = []
        controls = cfg.get('entry', 'controls')
        address = cfg.get('entry', 'link')
        self._link = link.Link(
            self.name,
            self.incarnation,
            address,
            tls.files_from_settings(cfg),
        )
        self._client = control_client.ControlClient(self._link, controls)
        self.holder = membership.ConfigLeaseHolder(
            self.name, self.incarnation, address, controls
        )
        self._build()

    def _build(self):
        self._path = _caller_path.CallerPath(
            self.name,
            self.incarnation,
            self._link.send,
            self._client,
            self.is_healthy,
        )
        self.router = self._path.router
        self._reports = _reports.ReportsDesk(self.name, self._client)
        limits = _settings.http_limits(self._cfg)
        platform = _platform.PlatformHandler(self.router, self._reports)
        api = admin.AdminApi(self._client, _local.LocalView(self))
        self._callers = self._server('callers', self._path.handler, limits)
        self._platform = self._server('platform', platform, limits)
        self._admin = self._server('admin', api, limits)

    def _server(self, key, handler, limits):
        shared = key == 'callers' and self._cfg.get(
            'entry', 'share_callers_port'
        )
        return http.Server(
            self._cfg.get('entry', key), handler, limits, share_port=shared
        )

    # Health

    def is_healthy(self):
        """True while the balancer should send callers here."""
        now_ms = daemon.now_ms()
        core = self.router.core
        if self.draining or not self.holder.is_held(now_ms):
            return False
        return core.is_leased(now_ms) and core.is_settled

    # Running

    async def start(self):
        """Opens the listeners and starts the tasks."""
        await self._listen('link', self._link.start)
        await self._listen('callers', self._callers.start)
        await self._listen('platform', self._platform.start)
        await self._listen('admin', self._admin.start)
        self._client.connect()
        for task in (
            self._receive_forever,
            self._renew_forever,
            *self._path.tasks,
            self._reports.send_forever,
        ):
            self._tasks.append(await curio.spawn(task))

    async def _listen(self, key, start):
        try:
            await start()
        except errors.Error as exc:
            raise daemon.refused_setting(
                self._cfg, 'entry', key, exc.reason
            ) from exc

    async def serve(self, stop_requested):
        """Works until told to stop, then stops gracefully."""
        watcher = await curio.spawn(self._pass_stop_on, stop_requested)
        guard = await curio.spawn(self._watch_tasks)
        await self._stop_requested.wait()
        await watcher.cancel()
        await self._stop()
        await guard.cancel()
        for task in self._tasks:
            if task.terminated and task.exception is not None:
                raise task.exception
            await task.cancel()
        await self._link.stop()

    async def request_stop(self):
        """Starts the graceful stop; returns at once."""
        await self._stop_requested.set()

    async def _pass_stop_on(self, stop_requested):
        await stop_requested.wait()
        await self._stop_requested.set()

    async def _watch_tasks(self):
        """Stops the daemon once one of its tasks has failed."""
        while not any(task.terminated for task in self._tasks):
            await curio.sleep(LEASE_TICK_S)
        await self._stop_requested.set()

    async def _stop(self):
        self.draining = True
        LOG.info('draining')
        await self.router.step(routing.StopStarted())
        await curio.sleep(self._cfg.get('stop', 'health_lead_s'))
        await self._callers.stop(self._cfg.get('stop', 'grace_s'))
        await self._platform.stop(0)
        await self._path.claims.flush()
        await self._step_holder(membership.Release())
        await self._admin.stop(0)
        self._path.pool.close_all()

    # Link

    async def _receive_forever(self):
        while True:
            event = await self._link.receive()
            if await self._client.handle(event):
                continue
            if isinstance(event, link.Inbound):
                await self._receive(event)

    async def _receive(self, inbound):
        message = inbound.message
        if isinstance(
            message, (messages.ConfigLease, messages.ControlRefused)
        ):
            await self._step_holder(membership.Received(inbound.peer, message))
        elif isinstance(message, routing.PEER_MESSAGES):
            await self.router.step(routing.PeerSent(inbound.peer, message))

    # Configuration lease

    async def _renew_forever(self):
        while True:
            await self._step_holder(membership.Tick())
            await curio.sleep(LEASE_TICK_S)

    async def _step_holder(self, event):
        holder = self.holder
        now_ms = daemon.now_ms()
        for effect in holder.step(event, now_ms):
            if isinstance(effect, membership.Send):
                self._link.send(effect.peer, effect.message)
            elif isinstance(effect, membership.ConfigInForce):
                LOG.info('config_in_force', extra={'version': effect.version})
            elif isinstance(effect, membership.LeaseLost):
                LOG.warning('lease_lost', extra={'reason': effect.reason})
        if not holder.version:
            return
        await self.router.step(
            routing.ConfigurationGranted(
                holder.version,
                now_ms + int(holder.remaining_ms(now_ms)),
                holder.document,
            )
        )
        self._connect_peers()

    def _connect_peers(self):
        """Keeps links to the entries that the configuration lists."""
        members = self.router.core.configuration.members
        wanted = {
            name: settings.Address.parse(member.address)
            for name, member in members.items()
            if name != self.name
        }
        if wanted == self._peers:
            return
        for name in self._peers.keys() - wanted.keys():
            self._link.disconnect(name)
        for name, address in wanted.items():
            self._link.connect(name, address)
        self._peers = wanted
