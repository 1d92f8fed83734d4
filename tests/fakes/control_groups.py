"""Groups of control daemons, each in a process of its own, on loopback."""

import os
import shutil

from fuchsiatrestle import settings
from standins import _ports
from standins import _processes

__all__ = ('ControlGroup', 'free_address')

HOST = '127.0.0.1'

# Ports that ``free_address`` has returned.
_used_ports = set()


def free_address():
    """Returns a free loopback address, another one at each call."""
    port = _ports.find_free_ports(1, _used_ports)[0]
    _used_ports.add(port)
    return settings.Address(HOST, port)


class ControlGroup:
    """Control replicas, each with its settings file, data folder and log.

    Args:
        folder: folder that holds all of their files.
        names: names of the replicas.
        snapshot_entries: number of log entries between two snapshots.
        address_overrides: for each name of a replica, the
            ``settings.Address`` of each peer, by name, that it is to reach
            at another address than that of the peer's listener.

    Attributes:
        folder: folder that holds all of their files.
        addresses: ``settings.Address`` of each listener, by name.
        processes: ``Process`` of each replica, by name.
    """

    def __init__(
        self, folder, names, snapshot_entries=2000, address_overrides=None
    ):
        self.folder = folder
        self._snapshot_entries = snapshot_entries
        self.addresses = {name: free_address() for name in names}
        self.processes = {}
        for name in names:
            self.add_replica(name, names, address_overrides or {})

    def data_folder(self, name):
        """Returns the path of a replica's data folder."""
        return os.path.join(self.folder, f'{name}.data')

    def add_replica(self, name, peers, address_overrides):
        """Makes the data folder, settings file and process of a replica.

        Args:
            name: name of the replica; ``addresses`` holds its address.
            peers: names of all replicas that its settings list.
            address_overrides: as for ``ControlGroup``.
        """
        os.makedirs(self.data_folder(name), exist_ok=True)
        path = os.path.join(self.folder, f'{name}.ini')
        peers_setting = ' '.join(
            f'{peer}={self._get_address(name, peer, address_overrides)}'
            for peer in peers
        )
        with open(path, 'w', encoding='utf-8') as stream:
            stream.write(
                '[control]\n'
                f'name = {name}\n'
                f'link = {self.addresses[name]}\n'
                f'data_folder = {self.data_folder(name)}\n'
                f'peers = {peers_setting}\n'
                f'snapshot_entries = {self._snapshot_entries}\n'
            )
        self.processes[name] = _processes.Process(
            name, 'fuchsiatrestle.control', [f'--config={path}'], self.folder
        )

    def _get_address(self, name, peer, address_overrides):
        if peer != name and peer in address_overrides.get(name, {}):
            return address_overrides[name][peer]
        return self.addresses[peer]

    def start(self):
        """Starts the processes of all replicas."""
        for process in self.processes.values():
            process.start()

    def stop(self):
        """Stops all running processes gracefully.

        Returns:
            Their exit statuses by name.
        """
        running_processes = [
            running_process
            for running_process in self.processes.values()
            if running_process.running
        ]
        for process in running_processes:
            process.ask_to_stop()
        return {process.name: process.wait() for process in running_processes}

    def kill(self):
        """Kills all processes that still run."""
        for process in self.processes.values():
            if process.running:
                process.kill()

    def erase_data_folder(self, name):
        """Empties the data folder of a stopped replica, as if it was lost."""
        shutil.rmtree(self.data_folder(name))
        os.makedirs(self.data_folder(name))

    def read_log(self, name):
        """Returns the text that the processes of a replica logged."""
        path = self.processes[name].log_path
        with open(path, encoding='utf-8') as stream:
            return stream.read()
