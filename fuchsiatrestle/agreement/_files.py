"""File operations of a data folder, behind an interface for tests."""

import abc
import fcntl
import os

__all__ = ('Files', 'OsFiles')

FILE_MODE = 0o640


class Files(abc.ABC):
    """What a data folder needs of its file system.

    Every method may raise ``OSError``.  Paths are absolute; a handle is
    whatever ``open_append`` returned.
    """

    @abc.abstractmethod
    def names(self, folder):
        """Returns the names in a folder, sorted."""

    @abc.abstractmethod
    def read(self, path):
        """Returns the whole content of a file."""

    @abc.abstractmethod
    def open_append(self, path):
        """Returns a handle that appends to a file, made if missing."""

    @abc.abstractmethod
    def append(self, handle, data):
        """Writes all of ``data`` at the end."""

    @abc.abstractmethod
    def sync(self, handle):
        """Makes the content durable."""

    @abc.abstractmethod
    def close(self, handle):
        """Closes a handle."""

    @abc.abstractmethod
    def truncate(self, path, size):
        """Cuts a file to ``size`` bytes and makes that durable."""

    @abc.abstractmethod
    def rename(self, old, new):
        """Renames a file, in place of another if there is one."""

    @abc.abstractmethod
    def remove(self, path):
        """Removes a file."""

    @abc.abstractmethod
    def sync_folder(self, folder):
        """Makes the names in a folder durable."""

    @abc.abstractmethod
    def lock(self, path):
        """Locks a file against other processes; returns a handle."""


class OsFiles(Files):
    """The file system of the VM."""

    def names(self, folder):
        """Returns the names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path):
        """Returns the whole content of a file."""
        with open(path, 'rb') as stream:
            return stream.read()

    def open_append(self, path):
        """Returns a file descriptor that appends."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(path, flags, FILE_MODE)

    def append(self, handle, data):
        """Writes all of ``data``, in several calls if need be."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, handle):
        """Makes the content durable."""
        os.fsync(handle)

    def close(self, handle):
        """Closes a file descriptor."""
        os.close(handle)

    def truncate(self, path, size):
        """Cuts a file and syncs it."""
        handle = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old, new):
        """Renames a file."""
        os.replace(old, new)

    def remove(self, path):
        """Removes a file."""
        os.unlink(path)

    def sync_folder(self, folder):
        """Syncs the folder itself."""
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path):
        """Takes an exclusive lock that ends with the process."""
        handle = self.open_append(path)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle
