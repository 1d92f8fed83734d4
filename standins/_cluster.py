"""The whole system on loopback: daemons, upstreams and workers.

Settings files, data folders, ledgers and logs lie in one folder.
"""

import configparser
import os

from fuchsiatrestle import ctl
from fuchsiatrestle import errors
from fuchsiatrestle import settings
from standins import _ledgers
from standins import _ports
from standins import _processes
from standins import worker

__all__ = ('Cluster', 'Sizes')

HOST = '127.0.0.1'
SERVICE = 'quotes'
TEAM = 'repricing'
WORKER_CPU_MILLI = 32000
CTL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0

# In the order of starting.
KINDS = ('relays', 'controls', 'entries', 'upstreams', 'workers')


class Sizes:
    """How many processes of each kind."""

    __slots__ = ('controls', 'entries', 'upstreams', 'workers')

    def __init__(self, controls=3, entries=2, upstreams=3, workers=2):
        self.controls = controls
        self.entries = entries
        self.upstreams = upstreams
        self.workers = workers


class _Ports:
    """Loopback addresses of one entry."""

    __slots__ = ('admin', 'callers', 'link', 'platform')

    def __init__(self, numbers):
        addresses = [settings.Address(HOST, number) for number in numbers]
        self.callers, self.platform, self.admin, self.link = addresses


def _data_centre(number):
    return f'dc{number + 1}'


def _write_ini(path, sections):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with open(path, 'w', encoding='utf-8') as stream:
        parser.write(stream)


class Cluster:
    """Processes of one system, by kind and name.

    Args:
        folder: where everything is kept.
        sizes: the ``Sizes``.
        log_level: level of the daemons' logs.
        relayed: True to put a relay before controls and upstreams.
        tls_files: function from the name of a daemon to its ``TlsFiles``;
            None for plain TCP between the daemons.
    """

    def __init__(
        self,
        folder,
        sizes=None,
        log_level='info',
        relayed=False,
        tls_files=None,
    ):
        self.folder = folder
        self.sizes = sizes or Sizes()
        self.controls = {}
        self.entries = {}
        self.upstreams = {}
        self.workers = {}
        self.upstream_addresses = {}
        self.entry_ports = {}
        self._log_level = log_level
        self.control_links = {}
        self._relayed = {}
        self._relay_control = None
        self.relays = {}
        self._relay_wanted = relayed
        self._tls_files = tls_files
        self._plan_ports()
        self._plan_processes()

    # Layout

    def path(self, name):
        """Returns the path of a file or folder of the cluster."""
        return os.path.join(self.folder, name)

    def ledger_path(self, name):
        """Returns the path of the ledger of an upstream or a worker."""
        return self.path(f'{name}.jsonl')

    def _plan_ports(self):
        sizes = self.sizes
        count = sizes.controls + 4 * sizes.entries + sizes.upstreams
        numbers = _ports.free_ports(count)
        self._taken = frozenset(numbers)
        for number in range(sizes.controls):
            address = settings.Address(HOST, numbers.pop())
            self.control_links[f'c{number + 1}'] = address
        for number in range(sizes.entries):
            taken = [numbers.pop() for _ in range(4)]
            self.entry_ports[f'e{number + 1}'] = _Ports(taken)
        for number in range(sizes.upstreams):
            address = settings.Address(HOST, numbers.pop())
            self.upstream_addresses[f'u{number + 1}'] = address
        if self._relay_wanted:
            self._plan_relay()

    def _plan_relay(self):
        """Gives each control and upstream a second address, the relay's."""
        behind = {**self.control_links, **self.upstream_addresses}
        numbers = _ports.free_ports(len(behind) + 1, self._taken)
        self._relay_control = settings.Address(HOST, numbers.pop())
        pairs = []
        for name, address in behind.items():
            self._relayed[name] = settings.Address(HOST, numbers.pop())
            pairs.append(f'--pair={name}={self._relayed[name]}>{address}')
        self.relays['relay'] = _processes.Process(
            'relay',
            'standins.relay',
            [f'--control={self._relay_control}', *pairs],
            self.folder,
        )

    def _reached_at(self, name, address):
        """Returns the address under which others reach a process."""
        return self._relayed.get(name, address)

    def set_relay(self, name, mode):
        """Changes what the relay does with connections to a process."""
        body = {'target': name, 'mode': mode}
        self._instruct(self._relay_control, '/standin/relay', body)

    def set_upstream_mode(self, name, mode):
        """Changes the behaviour of an upstream."""
        address = self.upstream_addresses[name]
        self._instruct(address, '/standin/mode', {'mode': mode})

    def _instruct(self, address, path, body):
        client = ctl.AdminClient([address], CTL_TIMEOUT_S)
        reply = client.call('POST', path, value=body)
        if not reply.ok:
            raise errors.Error(str(reply.value), step=path, peer=str(address))

    def _plan_processes(self):
        for number, name in enumerate(self.control_links):
            self.controls[name] = self._control(name, _data_centre(number))
        for number, name in enumerate(self.entry_ports):
            self.entries[name] = self._entry(name, _data_centre(number))
        for number, name in enumerate(self.upstream_addresses):
            self.upstreams[name] = self._upstream(name, number)
        for number in range(self.sizes.workers):
            name = f'w{number + 1}'
            self.workers[name] = self._worker(name, number)

    def _daemon(self, name, module, sections):
        sections['log'] = {'level': self._log_level}
        if self._tls_files is not None:
            files = self._tls_files(name)
            sections['tls'] = {
                'certificate': files.certificate,
                'key': files.key,
                'authority': files.authority,
            }
        path = self.path(f'{name}.ini')
        _write_ini(path, sections)
        return _processes.Process(
            name, module, [f'--config={path}'], self.folder
        )

    def _peer_list(self):
        return ' '.join(
            f'{name}={self._reached_at(name, address)}'
            for name, address in self.control_links.items()
        )

    def _control(self, name, data_centre):
        data_folder = self.path(f'{name}.data')
        os.makedirs(data_folder, exist_ok=True)
        section = {
            'name': name,
            'link': str(self.control_links[name]),
            'data_folder': data_folder,
            'peers': self._peer_list(),
            'data_centre': data_centre,
        }
        return self._daemon(
            name, 'fuchsiatrestle.control', {'control': section}
        )

    def _entry(self, name, data_centre):
        ports = self.entry_ports[name]
        section = {
            'name': name,
            'data_centre': data_centre,
            'callers': str(ports.callers),
            'platform': str(ports.platform),
            'admin': str(ports.admin),
            'link': str(ports.link),
            'controls': self._peer_list(),
        }
        return self._daemon(name, 'fuchsiatrestle.entry', {'entry': section})

    def _platform_flags(self, number):
        """Returns the entries' platform ports, beginning with a turn."""
        ports = [ports.platform for ports in self.entry_ports.values()]
        start = number % len(ports)
        return [f'--entry={port}' for port in ports[start:] + ports[:start]]

    def _upstream(self, name, number):
        arguments = [
            f'--listen={self.upstream_addresses[name]}',
            f'--advertise={self._reached_at(name, "")}',
            f'--ledger={self.ledger_path(name)}',
            f'--service={SERVICE}',
            f'--data_centre={_data_centre(number % 2)}',
            f'--seed={number}',
            *self._platform_flags(number),
        ]
        return _processes.Process(
            name, 'standins.upstream', arguments, self.folder
        )

    def _worker(self, name, number):
        arguments = [
            f'--worker_name={name}',
            f'--ledger={self.ledger_path(name)}',
            f'--data_centre={_data_centre(number % 2)}',
            f'--rack=r{number + 1}',
            f'--cpu_milli={WORKER_CPU_MILLI}',
            *self._platform_flags(number),
        ]
        return _processes.Process(
            name, 'standins.worker', arguments, self.folder
        )

    # Ledgers

    def runs_by_upstream(self):
        """Returns the ``RunLine`` values of each upstream."""
        return {
            name: _ledgers.read_ledger(
                self.ledger_path(name), _ledgers.RunLine
            )
            for name in self.upstreams
        }

    def attempts(self):
        """Returns the ``worker.AttemptLine`` values of all workers."""
        return [
            line
            for name in self.workers
            for line in _ledgers.read_ledger(
                self.ledger_path(name), worker.AttemptLine
            )
        ]

    def by_entry(self, calls):
        """Returns ``CallLine`` values by the name of their entry."""
        return {
            name: [line for line in calls if line.entry == str(ports.callers)]
            for name, ports in self.entry_ports.items()
        }

    # Operators' side

    @property
    def processes(self):
        """All processes by name."""
        return {
            **self.relays,
            **self.controls,
            **self.entries,
            **self.upstreams,
            **self.workers,
        }

    @property
    def admin_addresses(self):
        """Administration addresses of all entries."""
        return [ports.admin for ports in self.entry_ports.values()]

    @property
    def caller_addresses(self):
        """Callers' addresses of all entries."""
        return [ports.callers for ports in self.entry_ports.values()]

    def admin(self, *names):
        """Returns an ``AdminClient`` of the named entries, or of all."""
        chosen = names or self.entry_ports
        addresses = [self.entry_ports[name].admin for name in chosen]
        return ctl.AdminClient(addresses, CTL_TIMEOUT_S)

    def first_document(self):
        """Returns the merge patch that makes the first configuration."""
        entries = {
            name: {
                'address': str(ports.link),
                'data_centre': _data_centre(number),
            }
            for number, (name, ports) in enumerate(self.entry_ports.items())
        }
        service = {
            'path': f'/{SERVICE}',
            'deadline_ms': 2000,
            'idempotent_methods': ['GET', 'HEAD'],
        }
        team = {'cpu_milli': 64000, 'memory_mib': 256000}
        return {
            'services': {SERVICE: service},
            'entries': entries,
            'teams': {TEAM: team},
        }

    # Running

    def start(self, kinds=KINDS):
        """Starts all processes of the named kinds."""
        for kind in kinds:
            for process in getattr(self, kind).values():
                process.start()

    def status(self, *names):
        """Returns the status call's value, None if no entry answers it."""
        try:
            reply = self.admin(*names).call('GET', '/v1/status')
        except ctl.CallFailed:
            return None
        return reply.value if reply.ok else None

    def wait_for_leader(self, timeout_s=READY_TIMEOUT_S):
        """Waits until an entry can read from a leader; returns its view."""

        def leader_view():
            status = self.status()
            control = status['control'] if status else {}
            return control if control.get('leader') else None

        return self._wait(leader_view, timeout_s, 'control has a leader')

    def configure(self):
        """Submits the first configuration; returns its version."""
        control = self.wait_for_leader()
        base = control['config_version']
        parameters = {'base': base, 'patch_id': f'first-{base}'}
        reply = self.admin().call(
            'PATCH', '/v1/config', parameters, self.first_document()
        )
        if not reply.ok:
            raise errors.Error(str(reply.value), step='configure')
        return reply.value['version']

    def wait_in_force(self, version, timeout_s=READY_TIMEOUT_S):
        """Waits until every entry has ``version`` in force and is ready."""

        def in_force():
            for name, process in self.entries.items():
                if not process.running:
                    continue
                status = self.status(name)
                entry = status['entry'] if status else {}
                if entry.get('version', 0) < version or not entry['ready']:
                    return False
            return True

        self._wait(in_force, timeout_s, f'version {version} is in force')

    def wait_for_upstreams(self, timeout_s=READY_TIMEOUT_S):
        """Waits until every entry sees every upstream ready."""

        def all_ready():
            for name in self.entry_ports:
                reply = self.admin(name).call('GET', '/v1/upstreams')
                views = reply.value['upstreams']
                ready = [view for view in views if view['state'] == 'ready']
                if len(ready) < len(self.upstreams):
                    return False
            return True

        self._wait(all_ready, timeout_s, 'all upstreams are ready')

    def wait_for_workers(self, timeout_s=READY_TIMEOUT_S):
        """Waits until the leader knows every worker as ready."""

        def all_ready():
            reply = self.admin().call('GET', '/v1/workers')
            if not reply.ok:
                return False
            views = reply.value['workers']
            ready = [view for view in views if view['state'] == 'ready']
            return len(ready) >= len(self.workers)

        self._wait(all_ready, timeout_s, 'all workers are ready')

    def _wait(self, condition, timeout_s, what):
        """Waits for a condition; gives up once a process has ended."""

        def true_or_ended():
            return self.describe_ended() or condition()

        value = _processes.wait_until(true_or_ended, timeout_s, what)
        ended = self.describe_ended()
        if ended:
            raise errors.Error(f'before {what}: {ended}', step='wait')
        return value

    def describe_ended(self):
        """Returns the last log lines of processes that have ended."""
        return '\n'.join(
            f'{name} ended with {process.exit_status}:\n'
            f'{process.last_log_lines()}'
            for name, process in self.processes.items()
            if process.starts and not process.running
        )

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM to all that run; returns exit status by name.

        Upstreams and workers go first, as on a planned stop of all.
        """
        statuses = {}
        for kind in reversed(KINDS):
            running = {
                name: process
                for name, process in getattr(self, kind).items()
                if process.running
            }
            for process in running.values():
                process.ask_to_stop()
            for name, process in running.items():
                statuses[name] = process.wait(timeout_s)
        return statuses

    def kill(self):
        """Kills whatever still runs."""
        for process in self.processes.values():
            if process.running:
                process.kill()
