"""File operations of a data folder, as an interface that tests replace."""

import abc
import fcntl
import os

__all__ = ('Files', 'OsFiles')

FILE_MODE = 0o640


class Files(abc.ABC):
    """File operations that a data folder needs.

    Every method may raise ``OSError``.  Paths are absolute; a handle is an
    opaque value returned by ``open_append`` or ``lock``.
    """

    @abc.abstractmethod
    def list_file_names(self, folder):
        """Returns the names of the files in a folder, sorted."""

    @abc.abstractmethod
    def read(self, path):
        """Returns the whole content of a file."""

    @abc.abstractmethod
    def open_append(self, path):
        """Opens a file for appending and returns its handle.

        The file is created if it is missing.
        """

    @abc.abstractmethod
    def append(self, handle, data):
        """Writes all of ``data`` at the end of the file; syncs nothing."""

    @abc.abstractmethod
    def sync(self, handle):
        """Makes the content of the open file durable."""

    @abc.abstractmethod
    def close(self, handle):
        """Closes a handle."""

    @abc.abstractmethod
    def truncate(self, path, size_bytes):
        """Truncates a file to ``size_bytes`` bytes and makes that durable."""

    @abc.abstractmethod
    def rename(self, old_path, new_path):
        """Renames a file, replacing an existing one; syncs nothing."""

    @abc.abstractmethod
    def remove(self, path):
        """Removes a file; syncs nothing."""

    @abc.abstractmethod
    def sync_folder(self, folder):
        """Makes created, renamed and removed names in a folder durable."""

    @abc.abstractmethod
    def lock(self, path):
        """Locks a file against other processes and returns its handle.

        The file is created if it is missing.
        """


class OsFiles(Files):
    """File operations on the local file system."""

    def list_file_names(self, folder):
        """Returns the names of the files in a folder, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path):
        """Returns the whole content of a file."""
        with open(path, 'rb') as stream:
            return stream.read()

    def open_append(self, path):
        """Returns a file descriptor opened for appending."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return os.open(path, flags, FILE_MODE)

    def append(self, handle, data):
        """Writes all of ``data``; repeats the call after a partial write."""
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, handle):
        """Makes the content durable."""
        os.fsync(handle)

    def close(self, handle):
        """Closes a file descriptor."""
        os.close(handle)

    def truncate(self, path, size_bytes):
        """Truncates a file and syncs it."""
        handle = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(handle, size_bytes)
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old_path, new_path):
        """Renames a file, replacing an existing one."""
        os.replace(old_path, new_path)

    def remove(self, path):
        """Removes a file."""
        os.unlink(path)

    def sync_folder(self, folder):
        """Syncs the directory entries of the folder."""
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def lock(self, path):
        """Takes an exclusive lock, held until closed or the process ends.

        Raises:
            OSError: another process holds the lock, or the file can not be
                opened.
        """
        handle = self.open_append(path)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle
