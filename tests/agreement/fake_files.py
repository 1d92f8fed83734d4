"""File system in memory that loses unsynced data in a crash."""

import errno
import os

from fuchsiatrestle import agreement

__all__ = ('Crash', 'FakeFiles')


class Crash(BaseException):
    """Ends the process in the middle of a file operation."""


class _Inode:
    """Content of one file.

    Attributes:
        content: bytes that a running process reads.
        synced_content: the part of them that a crash can not lose.
    """

    def __init__(self):
        self.content = b''
        self.synced_content = b''


class FakeFiles(agreement.Files):
    """Files of one simulated disk, with injected faults.

    Args:
        rng: random source of what survives a crash.

    Attributes:
        crash_after_ops: number of operations until a ``Crash``, None for no
            crash; an extra ``.5`` crashes after the operation instead of
            before it.
        free_bytes: bytes that may still be appended, None for no limit.
        fail_sync: True if every sync fails and drops the unsynced bytes.
        op_names: names of the operations so far.
    """

    def __init__(self, rng):
        self._rng = rng
        # ``_Inode`` by path: as a running process sees the names, and as the
        # last folder sync made them durable.
        self._inode_by_path = {}
        self._durable_inode_by_path = {}
        # Changes of names since the last folder sync.
        self._pending_changes = []
        self.crash_after_ops = None
        self.free_bytes = None
        self.fail_sync = False
        self.op_names = []

    # Faults

    def _begin_op(self, name):
        self.op_names.append(name)
        if self.crash_after_ops is None:
            return
        if self.crash_after_ops == 0:
            raise Crash(name)
        self.crash_after_ops -= 1

    def _end_op(self):
        # Counting down from a number with an extra half, the operation that
        # is to crash at its end leaves -0.5.
        if self.crash_after_ops == -0.5:
            raise Crash(self.op_names[-1])

    def crash(self):
        """Keeps synced data and a random part of what was not synced."""
        self.crash_after_ops = None
        for change in self._pending_changes:
            if self._rng.random() < 0.5:
                self._apply_change(self._durable_inode_by_path, change)
        self._pending_changes = []
        inodes = [
            *self._inode_by_path.values(),
            *self._durable_inode_by_path.values(),
        ]
        for inode in dict.fromkeys(inodes):
            inode.content = inode.synced_content + self._draw_remnant(inode)
            inode.synced_content = inode.content
        self._inode_by_path = dict(self._durable_inode_by_path)

    def _draw_remnant(self, inode):
        unsynced = inode.content[len(inode.synced_content) :]
        surviving_size = self._rng.choice(
            (0, len(unsynced), self._rng.randint(0, len(unsynced)))
        )
        remnant = bytearray(unsynced[:surviving_size])
        if remnant and self._rng.random() < 0.5:
            remnant[self._rng.randrange(len(remnant))] ^= 0xFF
        return bytes(remnant)

    def drop_unsynced(self):
        """Keeps exactly what was synced."""
        self.crash_after_ops = None
        self._pending_changes = []
        self._inode_by_path = dict(self._durable_inode_by_path)
        for inode in self._inode_by_path.values():
            inode.content = inode.synced_content

    def damage_tail(self, path, half_bytes):
        """Damages a file's tail.

        Args:
            path: the file.
            half_bytes: distance from the end, in half bytes.  If even, the
                bytes from there on are cut off; if odd, the byte there is
                inverted.
        """
        inode = self._inode_by_path[path]
        content = bytearray(inode.content)
        if half_bytes % 2:
            content[-half_bytes // 2] ^= 0xFF
        else:
            del content[-half_bytes // 2 :]
        inode.content = inode.synced_content = bytes(content)

    @property
    def paths(self):
        """Paths that exist now."""
        return set(self._inode_by_path)

    def flip_bit(self, path, offset):
        """Flips one bit of synced content; a second call restores it."""
        inode = self._inode_by_path[path]
        content = bytearray(inode.content)
        content[offset] ^= 0x10
        inode.content = inode.synced_content = bytes(content)

    @staticmethod
    def _apply_change(inode_by_path, change):
        change_type, old_path, new_path, inode = change
        if change_type == 'link':
            inode_by_path[new_path] = inode
        else:
            inode_by_path.pop(old_path, None)
            if new_path:
                inode_by_path[new_path] = inode

    def _record_change(self, *change):
        self._apply_change(self._inode_by_path, change)
        self._pending_changes.append(change)

    # Files

    def list_file_names(self, folder):
        """Returns the names in the folder."""
        return sorted(os.path.basename(path) for path in self._inode_by_path)

    def read(self, path):
        """Returns the content."""
        return self._inode_by_path[path].content

    def open_append(self, path):
        """Opens or creates a file."""
        self._begin_op('open')
        if path not in self._inode_by_path:
            self._record_change('link', None, path, _Inode())
        self._end_op()
        return self._inode_by_path[path]

    def append(self, handle, data):
        """Appends until the disk is full."""
        self._begin_op('append')
        if self.free_bytes is not None:
            appended = data[: self.free_bytes]
            self.free_bytes -= len(appended)
            handle.content += appended
            if len(appended) < len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        else:
            handle.content += data
        self._end_op()

    def sync(self, handle):
        """Makes the content durable, or fails and drops it."""
        self._begin_op('sync')
        if self.fail_sync:
            handle.content = handle.synced_content
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        handle.synced_content = handle.content
        self._end_op()

    def close(self, handle):
        """Does nothing."""

    def truncate(self, path, size_bytes):
        """Truncates and syncs a file."""
        self._begin_op('truncate')
        inode = self._inode_by_path[path]
        inode.content = inode.synced_content = inode.content[:size_bytes]
        self._end_op()

    def rename(self, old_path, new_path):
        """Renames a file in the folder."""
        self._begin_op('rename')
        self._record_change(
            'move', old_path, new_path, self._inode_by_path[old_path]
        )
        self._end_op()

    def remove(self, path):
        """Removes a file."""
        self._begin_op('remove')
        self._record_change('move', path, None, self._inode_by_path[path])
        self._end_op()

    def sync_folder(self, folder):
        """Makes the names durable, or fails."""
        self._begin_op('sync_folder')
        if self.fail_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._durable_inode_by_path = dict(self._inode_by_path)
        self._pending_changes = []
        self._end_op()

    def lock(self, path):
        """Returns a lock, which is always free."""
        return _Inode()
