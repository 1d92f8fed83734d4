"""Runs the whole system on loopback: daemons, upstreams and workers.

Settings files, data folders, ledgers and logs are kept in one folder.
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

__all__ = ('Cluster', 'ProcessCounts')

HOST = '127.0.0.1'
SERVICE = 'quotes'
TEAM = 'repricing'
WORKER_CPU_MILLI = 32000
CTL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0

# Attributes of ``Cluster``, in the order in which their processes start.
PROCESS_KINDS = ('relays', 'controls', 'entries', 'upstreams', 'workers')


class ProcessCounts:
    """Number of processes of each kind.

    Attributes:
        controls: number of control replicas.
        entries: number of entries.
        upstreams: number of stand-in upstreams.
        workers: number of stand-in workers.
    """

    __slots__ = ('controls', 'entries', 'upstreams', 'workers')

    def __init__(self, controls=3, entries=2, upstreams=3, workers=2):
        self.controls = controls
        self.entries = entries
        self.upstreams = upstreams
        self.workers = workers


class _EntryAddresses:
    """Loopback addresses that one entry listens on.

    Attributes:
        callers: address for requests of callers.
        platform: address for announcements of upstreams and reports of
            workers.
        admin: address for calls of operators.
        link: address for connections of other daemons.
    """

    __slots__ = ('admin', 'callers', 'link', 'platform')

    def __init__(self, ports):
        addresses = [settings.Address(HOST, number) for number in ports]
        self.callers, self.platform, self.admin, self.link = addresses


def _make_data_centre_name(number):
    return f'dc{number + 1}'


def _write_ini(path, sections):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with open(path, 'w', encoding='utf-8') as stream:
        parser.write(stream)


class Cluster:
    """All processes of one system.

    The constructor chooses ports and writes the settings files; ``start``
    starts the processes.

    Args:
        folder: folder of all files of the system.
        process_counts: the ``ProcessCounts``, None for the default ones.
        log_level: level of the daemons' logs.
        uses_relay: True to have all connections to control replicas and
            upstreams go through a relay.
        issue_tls_files: function from the name of a daemon to its
            ``TlsFiles``; None for plain TCP between the daemons.

    Attributes:
        folder: the folder given.
        process_counts: the ``ProcessCounts`` in use.
        controls: ``Process`` of each control replica, by name.
        entries: ``Process`` of each entry, by name.
        upstreams: ``Process`` of each upstream, by name.
        workers: ``Process`` of each worker, by name.
        relays: ``Process`` of the relay by name, empty without one.
        control_addresses: link address of each control replica, by name.
        entry_addresses: the ``_EntryAddresses`` of each entry, by name.
        upstream_addresses: address of each upstream, by name.
    """

    def __init__(
        self,
        folder,
        process_counts=None,
        log_level='info',
        uses_relay=False,
        issue_tls_files=None,
    ):
        self.folder = folder
        self.process_counts = process_counts or ProcessCounts()
        self.controls = {}
        self.entries = {}
        self.upstreams = {}
        self.workers = {}
        self.upstream_addresses = {}
        self.entry_addresses = {}
        self._log_level = log_level
        self.control_addresses = {}
        self._relay_addresses = {}
        self._relay_control_address = None
        self.relays = {}
        self._uses_relay = uses_relay
        self._issue_tls_files = issue_tls_files
        self._assign_ports()
        self._prepare_processes()

    # Files, ports and processes

    def file_path(self, name):
        """Returns the path of a file or folder of the cluster."""
        return os.path.join(self.folder, name)

    def ledger_path(self, name):
        """Returns the path of the ledger with the given name.

        The ledgers of upstreams and workers have the name of the process.
        """
        return self.file_path(f'{name}.jsonl')

    def _assign_ports(self):
        process_counts = self.process_counts
        port_count = (
            process_counts.controls
            + 4 * process_counts.entries
            + process_counts.upstreams
        )
        free_ports = _ports.find_free_ports(port_count)
        self._reserved_ports = frozenset(free_ports)
        for number in range(process_counts.controls):
            address = settings.Address(HOST, free_ports.pop())
            self.control_addresses[f'c{number + 1}'] = address
        for number in range(process_counts.entries):
            entry_ports = [free_ports.pop() for _ in range(4)]
            self.entry_addresses[f'e{number + 1}'] = _EntryAddresses(
                entry_ports
            )
        for number in range(process_counts.upstreams):
            address = settings.Address(HOST, free_ports.pop())
            self.upstream_addresses[f'u{number + 1}'] = address
        if self._uses_relay:
            self._prepare_relay()

    def _prepare_relay(self):
        """Prepares a relay with a listener for each control and upstream.

        The daemons reach them at the addresses of these listeners.
        """
        target_addresses = {
            **self.control_addresses,
            **self.upstream_addresses,
        }
        free_ports = _ports.find_free_ports(
            len(target_addresses) + 1, self._reserved_ports
        )
        self._relay_control_address = settings.Address(HOST, free_ports.pop())
        pair_flags = []
        for name, address in target_addresses.items():
            self._relay_addresses[name] = settings.Address(
                HOST, free_ports.pop()
            )
            pair_flags.append(
                f'--pair={name}={self._relay_addresses[name]}>{address}'
            )
        self.relays['relay'] = _processes.Process(
            'relay',
            'standins.relay',
            [f'--control={self._relay_control_address}', *pair_flags],
            self.folder,
        )

    def _find_public_address(self, name, address):
        """Returns the address at which other processes reach a process.

        Args:
            name: name of the process.
            address: result if the relay has no listener for the process.
        """
        return self._relay_addresses.get(name, address)

    def set_relay_mode(self, name, mode):
        """Changes how the relay treats connections to a process.

        Args:
            name: name of a control replica or an upstream.
            mode: one of ``relay.MODES``.

        Raises:
            errors.Error: the relay refused.
        """
        body = {'target': name, 'mode': mode}
        self._post_command(self._relay_control_address, '/standin/relay', body)

    def set_upstream_mode(self, name, mode):
        """Changes the behaviour of an upstream.

        Args:
            name: name of the upstream.
            mode: one of ``upstream.MODES``.

        Raises:
            errors.Error: the upstream refused.
        """
        address = self.upstream_addresses[name]
        self._post_command(address, '/standin/mode', {'mode': mode})

    def _post_command(self, address, path, body):
        client = ctl.AdminClient([address], CTL_TIMEOUT_S)
        reply = client.call('POST', path, value=body)
        if not reply.ok:
            raise errors.Error(str(reply.value), step=path, peer=str(address))

    def _prepare_processes(self):
        for number, name in enumerate(self.control_addresses):
            self.controls[name] = self._make_control(
                name, _make_data_centre_name(number)
            )
        for number, name in enumerate(self.entry_addresses):
            self.entries[name] = self._make_entry(
                name, _make_data_centre_name(number)
            )
        for number, name in enumerate(self.upstream_addresses):
            self.upstreams[name] = self._make_upstream(name, number)
        for number in range(self.process_counts.workers):
            name = f'w{number + 1}'
            self.workers[name] = self._make_worker(name, number)

    def _make_daemon(self, name, module, sections):
        sections['log'] = {'level': self._log_level}
        if self._issue_tls_files is not None:
            tls_files = self._issue_tls_files(name)
            sections['tls'] = {
                'certificate': tls_files.certificate_path,
                'key': tls_files.key_path,
                'authority': tls_files.authority_path,
            }
        path = self.file_path(f'{name}.ini')
        _write_ini(path, sections)
        return _processes.Process(
            name, module, [f'--config={path}'], self.folder
        )

    def _format_control_peers(self):
        return ' '.join(
            f'{name}={self._find_public_address(name, address)}'
            for name, address in self.control_addresses.items()
        )

    def _make_control(self, name, data_centre):
        data_folder = self.file_path(f'{name}.data')
        os.makedirs(data_folder, exist_ok=True)
        section = {
            'name': name,
            'link': str(self.control_addresses[name]),
            'data_folder': data_folder,
            'peers': self._format_control_peers(),
            'data_centre': data_centre,
        }
        return self._make_daemon(
            name, 'fuchsiatrestle.control', {'control': section}
        )

    def _make_entry(self, name, data_centre):
        addresses = self.entry_addresses[name]
        section = {
            'name': name,
            'data_centre': data_centre,
            'callers': str(addresses.callers),
            'platform': str(addresses.platform),
            'admin': str(addresses.admin),
            'link': str(addresses.link),
            'controls': self._format_control_peers(),
        }
        return self._make_daemon(
            name, 'fuchsiatrestle.entry', {'entry': section}
        )

    def _make_entry_flags(self, number):
        """Returns an ``--entry`` flag for the platform port of each entry.

        The flags are rotated by ``number``, so that not all upstreams and
        workers call the same entry first.
        """
        platform_addresses = [
            addresses.platform for addresses in self.entry_addresses.values()
        ]
        first_index = number % len(platform_addresses)
        return [
            f'--entry={address}'
            for address in platform_addresses[first_index:]
            + platform_addresses[:first_index]
        ]

    def _make_upstream(self, name, number):
        arguments = [
            f'--listen={self.upstream_addresses[name]}',
            f'--advertise={self._find_public_address(name, "")}',
            f'--ledger={self.ledger_path(name)}',
            f'--service={SERVICE}',
            f'--data_centre={_make_data_centre_name(number % 2)}',
            f'--seed={number}',
            *self._make_entry_flags(number),
        ]
        return _processes.Process(
            name, 'standins.upstream', arguments, self.folder
        )

    def _make_worker(self, name, number):
        arguments = [
            f'--worker_name={name}',
            f'--ledger={self.ledger_path(name)}',
            f'--data_centre={_make_data_centre_name(number % 2)}',
            f'--rack=r{number + 1}',
            f'--cpu_milli={WORKER_CPU_MILLI}',
            *self._make_entry_flags(number),
        ]
        return _processes.Process(
            name, 'standins.worker', arguments, self.folder
        )

    # Ledgers

    def read_runs_by_upstream(self):
        """Returns the ``RunLine`` values of each upstream, by its name."""
        return {
            name: _ledgers.read_ledger(
                self.ledger_path(name), _ledgers.RunLine
            )
            for name in self.upstreams
        }

    def read_attempt_lines(self):
        """Returns the ``worker.AttemptLine`` values of all workers."""
        return [
            line
            for name in self.workers
            for line in _ledgers.read_ledger(
                self.ledger_path(name), worker.AttemptLine
            )
        ]

    def group_calls_by_entry(self, calls):
        """Returns ``CallLine`` values grouped by the name of their entry."""
        return {
            name: [
                line for line in calls if line.entry == str(addresses.callers)
            ]
            for name, addresses in self.entry_addresses.items()
        }

    # Access for operators and callers

    @property
    def processes(self):
        """Every ``Process`` of the system, by name."""
        return {
            **self.relays,
            **self.controls,
            **self.entries,
            **self.upstreams,
            **self.workers,
        }

    @property
    def admin_addresses(self):
        """Addresses of all entries for operators."""
        return [addresses.admin for addresses in self.entry_addresses.values()]

    @property
    def caller_addresses(self):
        """Addresses of all entries for callers."""
        return [
            addresses.callers for addresses in self.entry_addresses.values()
        ]

    def make_admin_client(self, *names):
        """Returns an ``AdminClient`` for the named entries, or for all."""
        entry_names = names or self.entry_addresses
        addresses = [self.entry_addresses[name].admin for name in entry_names]
        return ctl.AdminClient(addresses, CTL_TIMEOUT_S)

    def make_first_configuration_patch(self):
        """Returns the merge patch that creates the first configuration."""
        entries = {
            name: {
                'address': str(addresses.link),
                'data_centre': _make_data_centre_name(number),
            }
            for number, (name, addresses) in enumerate(
                self.entry_addresses.items()
            )
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

    # Start, waits and stop

    def start(self, kinds=PROCESS_KINDS):
        """Starts all processes of the named ``PROCESS_KINDS``."""
        for kind in kinds:
            for process in getattr(self, kind).values():
                process.start()

    def fetch_status(self, *names):
        """Returns the answer of the status call, a dict.

        The answer is None if no entry replies or the call is refused.

        Args:
            *names: names of the entries to ask, by default all.
        """
        try:
            reply = self.make_admin_client(*names).call('GET', '/v1/status')
        except ctl.CallFailed:
            return None
        return reply.value if reply.ok else None

    def wait_for_leader(self, timeout_s=READY_TIMEOUT_S):
        """Waits until the status call reports a leader.

        Returns:
            The ``control`` part of the status, a dict.

        Raises:
            errors.Error: a process has exited, or there is no leader in time.
        """

        def find_control_view():
            status = self.fetch_status()
            control_view = status['control'] if status else {}
            return control_view if control_view.get('leader') else None

        return self._wait_while_running(
            find_control_view, timeout_s, 'control has a leader'
        )

    def configure(self):
        """Submits the first configuration; returns its version.

        Raises:
            errors.Error: there is no leader in time, or the patch is refused.
        """
        control_view = self.wait_for_leader()
        base_version = control_view['config_version']
        parameters = {
            'base': base_version,
            'patch_id': f'first-{base_version}',
        }
        reply = self.make_admin_client().call(
            'PATCH',
            '/v1/config',
            parameters,
            self.make_first_configuration_patch(),
        )
        if not reply.ok:
            raise errors.Error(str(reply.value), step='configure')
        return reply.value['version']

    def wait_until_in_force(self, version, timeout_s=READY_TIMEOUT_S):
        """Waits until each running entry is ready and has a version in force.

        Args:
            version: the version; a later one counts too.
            timeout_s: longest wait, in seconds.
        """

        def is_in_force():
            for name, process in self.entries.items():
                if not process.running:
                    continue
                status = self.fetch_status(name)
                entry_view = status['entry'] if status else {}
                if (
                    entry_view.get('version', 0) < version
                    or not entry_view['ready']
                ):
                    return False
            return True

        self._wait_while_running(
            is_in_force, timeout_s, f'version {version} is in force'
        )

    def wait_for_upstreams(self, timeout_s=READY_TIMEOUT_S):
        """Waits until every entry lists every upstream as ready."""

        def are_all_ready():
            for name in self.entry_addresses:
                reply = self.make_admin_client(name).call(
                    'GET', '/v1/upstreams'
                )
                upstream_views = reply.value['upstreams']
                ready_views = [
                    view for view in upstream_views if view['state'] == 'ready'
                ]
                if len(ready_views) < len(self.upstreams):
                    return False
            return True

        self._wait_while_running(
            are_all_ready, timeout_s, 'all upstreams are ready'
        )

    def wait_for_workers(self, timeout_s=READY_TIMEOUT_S):
        """Waits until the leader lists every worker as ready."""

        def are_all_ready():
            reply = self.make_admin_client().call('GET', '/v1/workers')
            if not reply.ok:
                return False
            worker_views = reply.value['workers']
            ready_views = [
                view for view in worker_views if view['state'] == 'ready'
            ]
            return len(ready_views) >= len(self.workers)

        self._wait_while_running(
            are_all_ready, timeout_s, 'all workers are ready'
        )

    def _wait_while_running(self, condition, timeout_s, description):
        """Waits until ``condition()`` is true; returns its value.

        Stops waiting as soon as a started process has exited.

        Raises:
            errors.Error: a started process has exited, or the condition did
                not become true in time.
        """

        def check_condition():
            return self.describe_ended_processes() or condition()

        value = _processes.wait_until(check_condition, timeout_s, description)
        ended_processes = self.describe_ended_processes()
        if ended_processes:
            raise errors.Error(
                f'a process ended before {description}: {ended_processes}',
                step='wait',
            )
        return value

    def describe_ended_processes(self):
        """Returns exit status and last log lines of each exited process.

        Processes that were never started are left out; the text is empty if
        no process has exited.
        """
        return '\n'.join(
            f'{name} ended with exit status {process.exit_status}:\n'
            f'{process.last_log_lines()}'
            for name, process in self.processes.items()
            if process.starts and not process.running
        )

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Stops all running processes; returns their exit statuses by name.

        Each kind of processes gets SIGTERM and exits before the next one, in
        the reverse order of starting.  So workers and upstreams can announce
        to running entries that they leave, as in a planned stop.
        """
        exit_statuses = {}
        for kind in reversed(PROCESS_KINDS):
            running_processes = {
                name: process
                for name, process in getattr(self, kind).items()
                if process.running
            }
            for process in running_processes.values():
                process.ask_to_stop()
            for name, process in running_processes.items():
                exit_statuses[name] = process.wait(timeout_s)
        return exit_statuses

    def kill(self):
        """Sends SIGKILL to all running processes."""
        for process in self.processes.values():
            if process.running:
                process.kill()
