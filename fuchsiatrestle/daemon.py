"""Skeleton of the daemons: flags, settings, logs, metrics, signals, exit.

A daemon describes itself with a ``Program`` and calls ``run``::

    PROGRAM = daemon.Program('fuchsiatrestle-entry', SECTIONS, Entry)


    def run():
        daemon.run(PROGRAM)

The factory is called with the checked ``settings.Settings`` and returns a
``Daemon``, whose ``serve`` runs in curio until the process is told to stop.

SIGHUP has the settings file read again; the log level follows it.

Exit status: 0 after a graceful stop, 2 for settings that can not be used,
``DATA_EXIT_STATUS`` for a data folder that fails, and
``invariants.DAEMON_EXIT_STATUS`` after a broken invariant.
"""

import abc
import functools
import signal
import socket
import sys
import time

from absl import flags
import curio

import fuchsiatrestle
from fuchsiatrestle import errors
from fuchsiatrestle import invariants
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle import settings

__all__ = (
    'COMMON_SECTIONS',
    'DATA_EXIT_STATUS',
    'Daemon',
    'Program',
    'draw_incarnation',
    'now_ms',
    'refused_setting',
    'run',
    'wall_ms',
)

DATA_EXIT_STATUS = 74
FAULT_EXIT_STATUS = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

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
    """One running daemon."""

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


class Program:
    """What a daemon adds to the skeleton.

    Args:
        name: name of the program.
        sections: its ``settings.Section`` values besides the common ones.
        factory: called with the ``Settings``, returns the ``Daemon``.
    """

    __slots__ = ('factory', 'name', 'sections')

    def __init__(self, name, sections, factory):
        self.name = name
        self.sections = tuple(sections) + COMMON_SECTIONS
        self.factory = factory


def now_ms():
    """Returns monotonic time in whole milliseconds."""
    return time.monotonic_ns() // 1000000


def wall_ms():
    """Returns the time since the epoch in whole milliseconds."""
    return time.time_ns() // 1000000


def draw_incarnation():
    """Returns a number that grows from one start of a process to the next."""
    return wall_ms()


def refused_setting(cfg, section, key, reason):
    """Returns the error for a checked value that can not be used here."""
    value = str(cfg.get(section, key))
    return errors.SettingsInvalid(
        f'{cfg.path}: [{section}] {key} = {value!r}: {reason}', step='start'
    )


# Running


def _define_flags():
    flags.DEFINE_string('config', None, 'Settings file (INI).')
    flags.DEFINE_bool('check', False, 'Check the settings file and exit.')
    flags.DEFINE_bool('version', False, 'Print the version and exit.')
    flags.DEFINE_bool('help', False, 'Print this help and exit.')


def _connect_metrics(cfg, name):
    address = cfg.get('metrics', 'statsd')
    if address is None:
        return
    prefix = f'{cfg.get("metrics", "prefix")}.{name}'
    metrics.default_registry.connect(address.host, address.port, prefix)


def _open_signal_pipe():
    """Returns a socket on which each signal arrives as a byte."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.detach())
    for signum in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(signum, lambda received, frame: None)
    return reader


async def _watch_signals(stop_requested, reload):
    async with curio.io.Socket(_open_signal_pipe()) as pipe:
        while signum := await pipe.recv(1):
            if signum[0] in STOP_SIGNALS:
                break
            reload()
    LOG.info('stop_requested')
    await stop_requested.set()


def _reload(program):
    """Takes from the settings file what can change in a running process.

    A file that can not be used changes nothing.
    """
    try:
        cfg = settings.load(_FLAGS.config, program.sections)
    except errors.SettingsInvalid as exc:
        LOG.error('reload_refused', extra={'error': exc.reason})
        return
    logs.set_level(cfg.get('log', 'level'))
    LOG.info('reloaded', extra={'level': cfg.get('log', 'level')})


async def _serve(daemon, reload, listen):
    stop_requested = curio.Event()
    watcher = await curio.spawn(
        _watch_signals, stop_requested, reload, daemon=True
    )
    exporter = _make_exporter(listen)
    try:
        if exporter is not None:
            await exporter.start()
        await daemon.start()
        LOG.info('started')
        await daemon.serve(stop_requested)
    finally:
        await watcher.cancel()
        if exporter is not None:
            await exporter.stop(0)


class _MetricsHandler(http.Handler):
    """Shows the metrics of the process."""

    async def handle(self, request):
        """Returns all counters, gauges and histograms as text."""
        text = metrics.render().encode()
        return http.Response(200, [(b'content-type', b'text/plain')], text)


def _make_exporter(listen):
    if listen is None:
        return None
    return http.Server(listen, _MetricsHandler())


def _serve_until_stopped(program, cfg):
    """Returns the exit status."""
    try:
        curio.run(
            _serve,
            program.factory(cfg),
            functools.partial(_reload, program),
            cfg.get('metrics', 'listen'),
        )
    except errors.SettingsInvalid as exc:
        return _refuse(exc.reason)
    except errors.InvariantBreach as exc:
        LOG.error('stopped_by_breach', extra={'error': str(exc)})
        return invariants.DAEMON_EXIT_STATUS
    except (errors.StorageFailed, errors.DataDamaged) as exc:
        LOG.error('stopped_by_storage', extra={'error': str(exc)})
        return DATA_EXIT_STATUS
    except errors.Error as exc:
        return _refuse(str(exc))
    except Exception:
        LOG.exception('stopped_by_fault')
        return FAULT_EXIT_STATUS
    LOG.info('stopped')
    return 0


def _refuse(text):
    print(text, file=sys.stderr, flush=True)
    return settings.EXIT_STATUS


def _main(program):
    if _FLAGS.help:
        print(f'{program.name} --config FILE [--check]')
        print(_FLAGS.module_help(__name__))
        return 0
    if _FLAGS.version:
        print(f'{program.name} {fuchsiatrestle.__version__}')
        return 0
    if not _FLAGS.config:
        return _refuse(f'{program.name}: --config is required; see --help')
    try:
        cfg = settings.load(_FLAGS.config, program.sections)
    except errors.SettingsInvalid as exc:
        return _refuse(exc.reason)
    if _FLAGS.check:
        print(f'{_FLAGS.config}: ok')
        return 0
    logs.configure(cfg.get('log', 'level'))
    _connect_metrics(cfg, program.name)
    return _serve_until_stopped(program, cfg)


def run(program):
    """Runs the program with the command line of this process; exits."""
    _define_flags()
    try:
        _FLAGS(sys.argv)
    except flags.Error as exc:
        sys.exit(_refuse(f'{program.name}: {exc}'))
    status = _main(program)
    logs.flush()
    sys.exit(status)
