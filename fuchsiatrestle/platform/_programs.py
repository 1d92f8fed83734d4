"""The entry and control daemons with the calls of the platform."""

import curio

from fuchsiatrestle.control import program
from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import evacuation_orders
from fuchsiatrestle.net import http
from fuchsiatrestle.net import http_limits
from fuchsiatrestle.net import link
from fuchsiatrestle import pauses
from fuchsiatrestle.platform import _callers
from fuchsiatrestle.platform import _driver
from fuchsiatrestle.platform import _operators
from fuchsiatrestle.platform import _settings
from fuchsiatrestle import settings

__all__ = ('PROGRAMS',)

# Memory of a request while control answers it, as a multiple of its body: the
# body, its decoded form, the encoded command and the message on the link.
HANDLING_FACTOR = 4
# A configuration has some twenty values for each of its 1,400 routes.
BODY_LIMITS_BY_CALL = {
    ('POST', '/config/put'): http.BodyLimits(8 * 1024 * 1024, 131072)
}
# Part of ``grace_s`` that is left for the process to exit after its last call.
EXIT_MARGIN_S = 0.5
# An order that arrives after a suspension of the machine, but before this has
# been noticed, is answered 503.  A caller's request counts as older than it
# is.
PAUSE_CHECK_INTERVAL_S = 0.05

LOG = logs.get_logger(__name__)


class EntryDaemon(daemon.Daemon):
    """Serves callers' requests on an edge VM.

    Args:
        cfg: checked ``settings.Settings``.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._is_draining = False
        link_address = cfg.get('platform', 'link')
        self._link = link.Link(str(link_address), daemon.new_incarnation())
        self._client = control_client.ControlClient(
            self._link,
            _settings.make_control_addresses(cfg),
            settings.Address.parse,
        )
        self._pause_detector = pauses.PauseDetector()
        limits = http_limits.make_limits(
            cfg, decodes_json=True, handling_factor=HANDLING_FACTOR
        )
        self._callers_server = http.Server(
            cfg.get('platform', 'callers'),
            _callers.CallerHandler(self._client, self._pause_detector),
            limits,
        )
        self._ready_server = http.Server(
            cfg.get('platform', 'ready'),
            _callers.ReadyHandler(self._is_ready),
            http_limits.make_small_limits(cfg),
        )

    def _is_ready(self):
        """Returns True while the load balancer should send callers here."""
        return not self._is_draining and self._client.is_connected

    def reload(self, cfg):
        """Takes over the control daemons that the settings name."""
        self._client.set_initial_replicas(
            _settings.make_control_addresses(cfg)
        )

    async def start(self):
        """Starts the link and the listeners."""
        await self._link.start()
        self._client.connect()
        await self._callers_server.start()
        await self._ready_server.start()

    async def serve(self, stop_requested):
        """Serves until told to stop, then finishes the calls in progress.

        Calls that are not finished within ``grace_s`` are cut off.

        Raises:
            Exception: the exception of a task that failed.
        """
        async with curio.TaskGroup(wait=any) as task_group:
            await task_group.spawn(self._check_pauses_forever)
            await task_group.spawn(self._receive_events_forever)
            await task_group.spawn(self._stop_gracefully, stop_requested)
        if task_group.exception:
            raise task_group.exception
        await self._link.stop()

    async def _check_pauses_forever(self):
        while True:
            self._pause_detector.check(daemon.monotonic_ms())
            await curio.sleep(PAUSE_CHECK_INTERVAL_S)

    async def _stop_gracefully(self, stop_requested):
        """Stops the listeners once ``stop_requested`` is set.

        The health check fails for ``health_lead_s`` before the listener for
        callers is closed, so that the load balancer sends them elsewhere.
        """
        await stop_requested.wait()
        self._is_draining = True
        health_lead_s = self._cfg.get('platform', 'health_lead_s')
        grace_s = self._cfg.get('platform', 'grace_s')
        await curio.sleep(health_lead_s)
        await self._callers_server.stop(
            max(0.1, grace_s - health_lead_s - EXIT_MARGIN_S)
        )
        await self._ready_server.stop(0)

    async def _receive_events_forever(self):
        while True:
            await self._client.handle_event(await self._link.receive())


class ControlDaemon(daemon.Daemon):
    """Serves operators' and workers' calls and runs a control replica.

    Args:
        cfg: checked ``settings.Settings``.
    """

    def __init__(self, cfg):
        self._control_daemon = program.ControlDaemon(
            _settings.make_control_daemon_settings(cfg),
            driver=_driver.HttpDriver(),
        )
        control_address = cfg.get('platform', 'control')
        self._evacuation_orders = None
        if cfg.get('workflows', 'evacuation_ms'):
            self._evacuation_orders = evacuation_orders.EvacuationOrders(
                self._control_daemon.client,
                cfg.get('platform', 'data_centres'),
            )
        self._control_server = http.Server(
            control_address,
            _operators.ControlHandler(
                self._control_daemon.client,
                control_address.port,
                self._evacuation_orders,
            ),
            http_limits.make_limits(
                cfg,
                decodes_json=True,
                handling_factor=HANDLING_FACTOR,
                body_limits_by_call=BODY_LIMITS_BY_CALL,
            ),
        )

    def reload(self, cfg):
        """Takes over the control daemons that the settings name."""
        self._control_daemon.set_initial_replicas(
            _settings.make_control_addresses(cfg)
        )

    async def start(self):
        """Starts the replica, then the listener."""
        await self._control_daemon.start()
        await self._control_server.start()

    async def serve(self, stop_requested):
        """Serves until told to stop."""
        pause_check = await curio.spawn(self._check_pauses, daemon=True)
        await self._control_daemon.serve(stop_requested)
        await pause_check.cancel()
        await self._control_server.stop(0)

    async def _check_pauses(self):
        while self._evacuation_orders is not None:
            self._evacuation_orders.check_pause()
            await curio.sleep(PAUSE_CHECK_INTERVAL_S)


PROGRAMS = {
    'entry': daemon.Program(
        'fuchsiatrestle-entry', _settings.ENTRY_SECTIONS, EntryDaemon
    ),
    'control': daemon.Program(
        'fuchsiatrestle-control', _settings.CONTROL_SECTIONS, ControlDaemon
    ),
}
