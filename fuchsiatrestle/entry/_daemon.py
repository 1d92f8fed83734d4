"""The entry daemon: its listeners, its link and its tasks."""

import curio

from fuchsiatrestle import admin
from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _caller_path
from fuchsiatrestle.entry import _local
from fuchsiatrestle.entry import _platform
from fuchsiatrestle.entry import _reports
from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import membership
from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import http
from fuchsiatrestle.net import http_limits
from fuchsiatrestle.net import link
from fuchsiatrestle.net import tls
from fuchsiatrestle import pauses
from fuchsiatrestle import routing
from fuchsiatrestle import settings

__all__ = ('EntryDaemon',)

# Interval of the lease holder's steps and of the checks for suspensions and
# failed tasks.
TICK_INTERVAL_S = 0.05

LOG = logs.get_logger(__name__)


class EntryDaemon(daemon.Daemon):
    """One entry process.

    It has three listeners: for callers, for upstreams and workers, and for
    operators.  It exchanges messages with control and the other entries over
    the link.

    Args:
        cfg: checked ``settings.Settings``.

    Attributes:
        name: name of the entry.
        data_centre: name of its data centre, empty if not set.
        incarnation: number drawn for this process.
        is_draining: True once the graceful stop has begun.
        lease_holder: the ``membership.ConfigLeaseHolder``.
        router: the ``Router``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self.name = cfg.get('entry', 'name')
        self.data_centre = cfg.get('entry', 'data_centre')
        self.incarnation = daemon.new_incarnation()
        self.is_draining = False
        self._stop_requested = curio.Event()
        self._peer_addresses = {}
        self._tasks = []
        self._pause_detector = pauses.PauseDetector()
        control_addresses = cfg.get('entry', 'controls')
        link_address = cfg.get('entry', 'link')
        self._link = link.Link(
            self.name,
            self.incarnation,
            link_address,
            tls.load_tls_files(cfg),
        )
        self._control_client = control_client.ControlClient(
            self._link, control_addresses
        )
        self.lease_holder = membership.ConfigLeaseHolder(
            self.name, self.incarnation, link_address, control_addresses
        )
        self._build_servers()

    def _build_servers(self):
        self._caller_path = _caller_path.CallerPath(
            self.name,
            self.incarnation,
            self._link.send,
            self._control_client,
            self.is_healthy,
        )
        self.router = self._caller_path.router
        self._report_batcher = _reports.ReportBatcher(
            self.name, self._control_client
        )
        limits = http_limits.make_limits(self._cfg, decodes_json=True)
        # Bodies of callers are passed on as they are.
        callers_limits = http_limits.make_limits(self._cfg, decodes_json=False)
        platform_handler = _platform.PlatformHandler(
            self.router, self._report_batcher
        )
        admin_api = admin.AdminApi(
            self._control_client,
            _local.LocalEntryAdapter(self),
            pause_detector=self._pause_detector,
        )
        self._callers_server = self._build_server(
            'callers', self._caller_path.handler, callers_limits
        )
        self._platform_server = self._build_server(
            'platform', platform_handler, limits
        )
        self._admin_server = self._build_server('admin', admin_api, limits)

    def _build_server(self, option_name, handler, limits):
        share_port = option_name == 'callers' and self._cfg.get(
            'entry', 'share_callers_port'
        )
        return http.Server(
            self._cfg.get('entry', option_name),
            handler,
            limits,
            share_port=share_port,
        )

    # Health

    def is_healthy(self):
        """True while the load balancer should send callers here.

        The lease holder and the routing core both have to hold the
        configuration lease.  After a change of the set of entries, this entry
        may use the slots that it gained at an upstream only once all requests
        sent there under earlier sets are known to have ended.  It is healthy
        only if this holds for at least half of the ready upstreams.
        """
        now_ms = daemon.monotonic_ms()
        core = self.router.core
        if self.is_draining or not self.lease_holder.is_held(now_ms):
            return False
        return core.has_config_lease(now_ms) and core.may_use_gained_slots

    # Running

    async def start(self):
        """Starts the listeners, the link and the tasks.

        Raises:
            errors.SettingsInvalid: the address of a listener can not be used.
        """
        await self._start_listener('link', self._link.start)
        await self._start_listener('callers', self._callers_server.start)
        await self._start_listener('platform', self._platform_server.start)
        await self._start_listener('admin', self._admin_server.start)
        self._control_client.connect()
        for task_function in (
            self._receive_events_forever,
            self._renew_lease_forever,
            *self._caller_path.task_functions,
            self._report_batcher.send_reports_forever,
        ):
            self._tasks.append(await curio.spawn(task_function))

    async def _start_listener(self, option_name, start_server):
        """Starts a server.

        Raises:
            errors.SettingsInvalid: the server can not use its address, the
                setting ``option_name``.
        """
        try:
            await start_server()
        except errors.Error as exc:
            raise daemon.make_setting_error(
                self._cfg, 'entry', option_name, exc.reason
            ) from exc

    async def serve(self, stop_requested):
        """Serves until told to stop or a task fails, then stops gracefully.

        Raises:
            Exception: the exception of a task that failed.
        """
        stop_watcher = await curio.spawn(
            self._forward_stop_request, stop_requested
        )
        task_watcher = await curio.spawn(self._watch_for_failed_task)
        await self._stop_requested.wait()
        await stop_watcher.cancel()
        await self._stop_gracefully()
        await task_watcher.cancel()
        for task in self._tasks:
            if task.terminated and task.exception is not None:
                raise task.exception
            await task.cancel()
        await self._link.stop()

    async def request_stop(self):
        """Requests the graceful stop and returns at once."""
        await self._stop_requested.set()

    async def _forward_stop_request(self, stop_requested):
        await stop_requested.wait()
        await self._stop_requested.set()

    async def _watch_for_failed_task(self):
        """Requests the stop of the daemon once one of its tasks has ended.

        The tasks run forever, so that only a failure ends one.
        """
        while not any(task.terminated for task in self._tasks):
            await curio.sleep(TICK_INTERVAL_S)
        await self._stop_requested.set()

    async def _stop_gracefully(self):
        """Ends the callers' requests, then releases the lease.

        The health check fails ``health_lead_s`` before the callers' listener
        is closed, so that the load balancer stops sending callers in time.
        """
        self.is_draining = True
        LOG.info('draining')
        await self.router.step(routing.StopStarted())
        await curio.sleep(self._cfg.get('stop', 'health_lead_s'))
        await self._callers_server.stop(self._cfg.get('stop', 'grace_s'))
        await self._platform_server.stop(0)
        await self._caller_path.claim_batcher.flush_finishes()
        await self._step_lease_holder(membership.ReleaseLease())
        await self._admin_server.stop(0)
        self._caller_path.pool.close_all()

    # Link

    async def _receive_events_forever(self):
        while True:
            event = await self._link.receive()
            if await self._control_client.handle_event(event):
                continue
            if isinstance(event, link.ReceivedMessage):
                await self._handle_message(event)

    async def _handle_message(self, event):
        message = event.message
        if isinstance(
            message, (messages.ConfigLease, messages.ControlRefused)
        ):
            await self._step_lease_holder(
                membership.MessageReceived(event.peer, message)
            )
        elif isinstance(message, routing.PEER_MESSAGES):
            await self.router.step(routing.PeerSent(event.peer, message))

    # Configuration lease

    async def _renew_lease_forever(self):
        while True:
            self._pause_detector.check(daemon.monotonic_ms())
            await self._step_lease_holder(membership.Tick())
            await curio.sleep(TICK_INTERVAL_S)

    async def _step_lease_holder(self, event):
        """Passes an event to the lease holder and carries its effects out.

        Then passes the configuration and lease that it holds to the router,
        unless it has not received a configuration yet.
        """
        lease_holder = self.lease_holder
        now_ms = daemon.monotonic_ms()
        for effect in lease_holder.step(event, now_ms):
            if isinstance(effect, membership.SendToPeer):
                self._link.send(effect.peer, effect.message)
            elif isinstance(effect, membership.ConfigInForce):
                LOG.info('config_in_force', extra={'version': effect.version})
            elif isinstance(effect, membership.LeaseLost):
                LOG.warning('lease_lost', extra={'reason': effect.reason})
        if not lease_holder.version:
            return
        await self.router.step(
            routing.ConfigurationGranted(
                lease_holder.version,
                now_ms + int(lease_holder.remaining_ms(now_ms)),
                lease_holder.document,
            )
        )
        self._connect_peers()

    def _connect_peers(self):
        """Connects to the other entries and disconnects from former ones."""
        members = self.router.core.configuration.members
        peer_addresses = {
            name: settings.Address.parse(member.address)
            for name, member in members.items()
            if name != self.name
        }
        if peer_addresses == self._peer_addresses:
            return
        for name in self._peer_addresses.keys() - peer_addresses.keys():
            self._link.disconnect(name)
        for name, address in peer_addresses.items():
            self._link.connect(name, address)
        self._peer_addresses = peer_addresses
