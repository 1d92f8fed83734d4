"""Control daemons in processes of their own, on loopback."""

import os
import shutil

from fuchsiatrestle import settings
from standins import _ports
from standins import _processes

__all__ = ('ControlGroup', 'free_address')

HOST = '127.0.0.1'


_taken = set()


def free_address():
    """Returns a loopback address that no call of this process returned."""
    number = _ports.free_ports(1, _taken)[0]
    _taken.add(number)
    return settings.Address(HOST, number)


class ControlGroup:
    """Some control replicas with settings, data folders and logs.

    Args:
        folder: where everything is kept.
        names: names of the replicas.
        snapshot_entries: log entries between two snapshots.
        reached_at: ``settings.Address`` by name under which the others reach
            a replica, and it the others, in place of the real ones.

    Attributes:
        addresses: ``settings.Address`` of each listener, by name.
        processes: ``Process`` by name.
    """

    def __init__(self, folder, names, snapshot_entries=2000, reached_at=None):
        self.folder = folder
        self._snapshot_entries = snapshot_entries
        self.addresses = {name: free_address() for name in names}
        self.processes = {}
        for name in names:
            self.add(name, names, reached_at or {})

    def data_folder(self, name):
        """Returns the path of a replica's data folder."""
        return os.path.join(self.folder, f'{name}.data')

    def add(self, name, peers, reached_at):
        """Writes the settings of one replica."""
        os.makedirs(self.data_folder(name), exist_ok=True)
        path = os.path.join(self.folder, f'{name}.ini')
        listed = ' '.join(
            f'{peer}={self._address(name, peer, reached_at)}' for peer in peers
        )
        with open(path, 'w', encoding='utf-8') as stream:
            stream.write(
                '[control]\n'
                f'name = {name}\n'
                f'link = {self.addresses[name]}\n'
                f'data_folder = {self.data_folder(name)}\n'
                f'peers = {listed}\n'
                f'snapshot_entries = {self._snapshot_entries}\n'
            )
        self.processes[name] = _processes.Process(
            name, 'fuchsiatrestle.control', [f'--config={path}'], self.folder
        )

    def _address(self, name, peer, reached_at):
        if peer != name and peer in reached_at.get(name, {}):
            return reached_at[name][peer]
        return self.addresses[peer]

    def start(self):
        """Starts all."""
        for process in self.processes.values():
            process.start()

    def stop(self):
        """Asks all that run to stop; returns exit statuses by name."""
        running = [one for one in self.processes.values() if one.running]
        for process in running:
            process.ask_to_stop()
        return {process.name: process.wait() for process in running}

    def kill(self):
        """Kills all that still run."""
        for process in self.processes.values():
            if process.running:
                process.kill()

    def erase(self, name):
        """Loses the disk of a stopped replica."""
        shutil.rmtree(self.data_folder(name))
        os.makedirs(self.data_folder(name))

    def log(self, name):
        """Returns the log of a replica."""
        path = self.processes[name].log_path
        with open(path, encoding='utf-8') as stream:
            return stream.read()
