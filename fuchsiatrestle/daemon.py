"""Common main program of the daemons.

It parses the command line, reads the settings, sets up logs and metrics,
handles signals and chooses the exit status.  A daemon declares a ``Program``
in a module that its ``__main__`` imports after it has called
``signals.catch_signals``::

    PROGRAM = daemon.Program('fuchsiatrestle-entry', SECTIONS, Entry)

``__main__`` then calls ``daemon.run(PROGRAM)``.  The third argument,
``create_daemon``, is called with the checked ``settings.Settings`` and returns
a ``Daemon``, whose ``serve`` runs in curio until SIGTERM or SIGINT arrives.

On SIGHUP the settings file is read again.  Its log level and what
``Daemon.reload`` takes over are applied; the other settings stay as they were
at the start.

Exit status: 0 after a graceful stop,
``settings.INVALID_SETTINGS_EXIT_STATUS`` (2) for a command line or settings
that can not be used, such as an address that can not be bound,
``DATA_EXIT_STATUS`` if the data folder fails or is damaged,
``REPLACED_EXIT_STATUS`` if the agreement group has replaced this replica,
which joins again when it is started the next time,
``invariants.DAEMON_EXIT_STATUS`` if an invariant does not hold, and
``FAULT_EXIT_STATUS`` after an unexpected exception.
"""

import abc
import functools
import sys
import time

from absl import flags
import curio

import fuchsiatrestle
from fuchsiatrestle import errors
from fuchsiatrestle import heap
from fuchsiatrestle import invariants
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle.net import http_limits
from fuchsiatrestle import settings
from fuchsiatrestle import signals

__all__ = (
    'COMMON_SECTIONS',
    'DATA_EXIT_STATUS',
    'Daemon',
    'Program',
    'REPLACED_EXIT_STATUS',
    'epoch_ms',
    'make_setting_error',
    'monotonic_ms',
    'new_incarnation',
    'run',
)

# EX_IOERR of sysexits.h: input/output error.
DATA_EXIT_STATUS = 74
# EX_TEMPFAIL of sysexits.h: the next start may succeed.
REPLACED_EXIT_STATUS = 75
FAULT_EXIT_STATUS = 1

COMMON_SECTIONS = (
    settings.Section(
        'log',
        settings.ChoiceOption('level', 'info', choices=logs.LEVELS),
    ),
    settings.Section(
        'metrics',
        settings.AddressOption('statsd', None),
        settings.NameOption('prefix', 'fuchsiatrestle'),
        settings.AddressOption('listen', None),
    ),
)

LOG = logs.get_logger(__name__)

_FLAGS = flags.FLAGS


class Daemon(abc.ABC):
    """Base of the daemons, which a ``Program`` creates and ``run`` runs."""

    @abc.abstractmethod
    async def start(self):
        """Opens listeners and files.

        Raises:
            errors.SettingsInvalid: a setting can not be used here.
            errors.Error: an address can not be bound.
        """

    @abc.abstractmethod
    async def serve(self, stop_requested):
        """Works until ``stop_requested`` is set, then stops gracefully.

        Args:
            stop_requested: ``curio.Event`` set by SIGTERM or SIGINT.
        """

    def reload(self, cfg):
        """Applies settings that may change while the daemon runs.

        Args:
            cfg: checked ``settings.Settings``.
        """


class Program:
    """Description of a daemon for ``run``.

    Args:
        name: name of the program.
        sections: its ``settings.Section`` values without the common ones.
        create_daemon: function that is called with the ``Settings`` and
            returns the ``Daemon``.

    Attributes:
        name: name of the program.
        sections: all its ``settings.Section`` values.
        create_daemon: function that returns the ``Daemon`` for its
            ``Settings``.
    """

    __slots__ = ('create_daemon', 'name', 'sections')

    def __init__(self, name, sections, create_daemon):
        self.name = name
        self.sections = tuple(sections) + COMMON_SECTIONS
        names = {section.name for section in self.sections}
        if http_limits.SECTION_NAME not in names:
            self.sections += (http_limits.make_section(),)
        self.create_daemon = create_daemon


def monotonic_ms():
    """Returns monotonic time in whole milliseconds."""
    return time.monotonic_ns() // 1000000


def epoch_ms():
    """Returns the time since the epoch in whole milliseconds."""
    return time.time_ns() // 1000000


def new_incarnation():
    """Returns an incarnation number for this start of the process.

    It is higher than that of earlier starts, provided that the wall clock
    was not set back.
    """
    return epoch_ms()


def make_setting_error(cfg, section, key, reason):
    """Returns the error for a well-formed setting that can not be used.

    An example is an address that can not be bound.

    Args:
        cfg: the ``Settings``.
        section: name of the section.
        key: key of the setting.
        reason: why the value can not be used.

    Returns:
        An ``errors.SettingsInvalid`` that names file, section, key and value.
    """
    value_text = str(cfg.get(section, key))
    return errors.SettingsInvalid(
        f'{cfg.path}: [{section}] {key} = {value_text!r}: {reason}',
        step='start',
    )


# Running


def _define_flags():
    flags.DEFINE_string('config', None, 'Settings file (INI).')
    flags.DEFINE_bool('check', False, 'Check the settings file and exit.')
    flags.DEFINE_bool('version', False, 'Print the version and exit.')
    flags.DEFINE_bool('help', False, 'Print this help and exit.')


def _connect_statsd(cfg, program_name):
    address = cfg.get('metrics', 'statsd')
    if address is None:
        return
    prefix = f'{cfg.get("metrics", "prefix")}.{program_name}'
    metrics.default_registry.connect(address.host, address.port, prefix)


async def _watch_signals(stop_requested, reload_settings):
    async with curio.io.Socket(signals.catch_signals().reader) as pipe:
        while signum := await pipe.recv(1):
            if signum[0] in signals.STOP_SIGNALS:
                break
            reload_settings()
    LOG.info('stop_requested')
    await stop_requested.set()


def _reload_settings(program, daemon):
    """Reads the settings file again and applies what may change.

    The other settings are checked only; they can not change in a running
    process.  A file that can not be used changes nothing.
    """
    try:
        cfg = settings.load(_FLAGS.config, program.sections)
    except errors.SettingsInvalid as exc:
        LOG.error('reload_refused', extra={'error': exc.reason})
        return
    logs.set_level(cfg.get('log', 'level'))
    daemon.reload(cfg)
    LOG.info('reloaded', extra={'level': cfg.get('log', 'level')})


async def _run_daemon(daemon, reload_settings, cfg):
    stop_requested = curio.Event()
    signal_watcher = await curio.spawn(
        _watch_signals, stop_requested, reload_settings, daemon=True
    )
    metrics_server = _make_metrics_server(cfg)
    try:
        if metrics_server is not None:
            await metrics_server.start()
        await daemon.start()
        LOG.info('started')
        await daemon.serve(stop_requested)
    finally:
        await signal_watcher.cancel()
        if metrics_server is not None:
            await metrics_server.stop(0)


class _MetricsHandler(http.Handler):
    """Answers HTTP requests with the metrics of the process."""

    async def handle(self, request):
        """Returns all counters, gauges and histograms as text."""
        body = metrics.render().encode()
        return http.Response(200, [(b'content-type', b'text/plain')], body)


def _make_metrics_server(cfg):
    """Returns the server of the metrics address, None if none is set."""
    metrics_address = cfg.get('metrics', 'listen')
    if metrics_address is None:
        return None
    return http.Server(
        metrics_address,
        _MetricsHandler(),
        http_limits.make_small_limits(cfg),
    )


def _run_until_stopped(program, cfg):
    """Runs the daemon of a program; returns the exit status."""
    try:
        heap.limit_growth()
        http_limits.apply_memory_budget(cfg)
        daemon = program.create_daemon(cfg)
        curio.run(
            _run_daemon,
            daemon,
            functools.partial(_reload_settings, program, daemon),
            cfg,
        )
    except errors.SettingsInvalid as exc:
        return _report_error(exc.reason)
    except errors.InvariantBreach as exc:
        LOG.error('stopped_by_breach', extra={'error': str(exc)})
        return invariants.DAEMON_EXIT_STATUS
    except errors.IdentityReplaced as exc:
        LOG.warning('stopped_to_rejoin', extra={'error': str(exc)})
        return REPLACED_EXIT_STATUS
    except (errors.StorageFailed, errors.DataDamaged) as exc:
        LOG.error('stopped_by_storage', extra={'error': str(exc)})
        return DATA_EXIT_STATUS
    except errors.Error as exc:
        return _report_error(str(exc))
    except Exception:
        LOG.exception('stopped_by_fault')
        return FAULT_EXIT_STATUS
    LOG.info('stopped')
    return 0


def _report_error(message):
    """Prints an error to standard error; returns the exit status for it."""
    print(message, file=sys.stderr, flush=True)
    return settings.INVALID_SETTINGS_EXIT_STATUS


def _run_command_line(program):
    if _FLAGS.help:
        print(f'{program.name} --config FILE [--check]')
        print(_FLAGS.module_help(__name__))
        return 0
    if _FLAGS.version:
        print(f'{program.name} {fuchsiatrestle.__version__}')
        return 0
    if not _FLAGS.config:
        return _report_error(
            f'{program.name}: --config is required; see --help'
        )
    try:
        cfg = settings.load(_FLAGS.config, program.sections)
    except errors.SettingsInvalid as exc:
        return _report_error(exc.reason)
    if _FLAGS.check:
        print(f'{_FLAGS.config}: ok')
        return 0
    logs.configure(cfg.get('log', 'level'))
    _connect_statsd(cfg, program.name)
    if signals.catch_signals().is_stop_requested:
        LOG.info('stopped_before_start')
        return 0
    return _run_until_stopped(program, cfg)


def run(program):
    """Runs a program with the command line of this process, then exits.

    A stop signal that arrived before the daemon has started, but after
    ``signals.catch_signals`` was called, ends the process with status 0.

    Args:
        program: the ``Program``.

    Raises:
        SystemExit: always, with the exit status.
    """
    _define_flags()
    try:
        _FLAGS(sys.argv)
    except flags.Error as exc:
        sys.exit(_report_error(f'{program.name}: {exc}'))
    exit_status = _run_command_line(program)
    logs.flush()
    sys.exit(exit_status)
