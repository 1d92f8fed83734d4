"""A file system in memory that loses what was not synced."""

import errno
import os

from fuchsiatrestle import agreement

__all__ = ('Crash', 'FakeFiles')


class Crash(BaseException):
    """The process ended in the middle of a file operation."""


class _Inode:
    def __init__(self):
        self.content = b''
        self.synced = b''


class FakeFiles(agreement.Files):
    """Files of one disk, with faults.

    Attributes:
        crash_in: operations until a ``Crash``, None for none; ``.5`` more
            crashes after the operation instead of before it.
        space: bytes that may still be appended, None for no limit.
        fail_sync: True if every sync fails and drops the unsynced bytes.
        ops: names of the operations done.
    """

    def __init__(self, rng):
        self._rng = rng
        self._names = {}
        self._durable = {}
        self._pending = []
        self.crash_in = None
        self.space = None
        self.fail_sync = False
        self.ops = []

    # Faults

    def _op(self, name):
        self.ops.append(name)
        if self.crash_in is None:
            return
        if self.crash_in == 0:
            raise Crash(name)
        self.crash_in -= 1

    def _done(self):
        if self.crash_in == -0.5:
            raise Crash(self.ops[-1])

    def crash(self):
        """Keeps what was synced and chance remnants of the rest."""
        self.crash_in = None
        for change in self._pending:
            if self._rng.random() < 0.5:
                self._apply(self._durable, change)
        self._pending = []
        inodes = [*self._names.values(), *self._durable.values()]
        for inode in dict.fromkeys(inodes):
            inode.content = inode.synced + self._remnant(inode)
            inode.synced = inode.content
        self._names = dict(self._durable)

    def _remnant(self, inode):
        lost = inode.content[len(inode.synced) :]
        size = self._rng.choice(
            (0, len(lost), self._rng.randint(0, len(lost)))
        )
        kept = bytearray(lost[:size])
        if kept and self._rng.random() < 0.5:
            kept[self._rng.randrange(len(kept))] ^= 0xFF
        return bytes(kept)

    def lose_unsynced(self):
        """Keeps exactly what was synced."""
        self.crash_in = None
        self._pending = []
        self._names = dict(self._durable)
        for inode in self._names.values():
            inode.content = inode.synced

    def spoil_tail(self, path, size):
        """Cuts ``size`` bytes, or zeroes one in the tail if odd."""
        inode = self._names[path]
        content = bytearray(inode.content)
        if size % 2:
            content[-size // 2] ^= 0xFF
        else:
            del content[-size // 2 :]
        inode.content = inode.synced = bytes(content)

    @property
    def paths(self):
        """Paths that exist now."""
        return set(self._names)

    def damage(self, path, offset):
        """Flips a bit of synced content."""
        inode = self._names[path]
        content = bytearray(inode.content)
        content[offset] ^= 0x10
        inode.content = inode.synced = bytes(content)

    @staticmethod
    def _apply(names, change):
        kind, old, new, inode = change
        if kind == 'link':
            names[new] = inode
        else:
            names.pop(old, None)
            if new:
                names[new] = inode

    def _change(self, *change):
        self._apply(self._names, change)
        self._pending.append(change)

    # Files

    def names(self, folder):
        """Returns the names in the folder."""
        return sorted(os.path.basename(path) for path in self._names)

    def read(self, path):
        """Returns the content."""
        return self._names[path].content

    def open_append(self, path):
        """Opens or makes a file."""
        self._op('open')
        if path not in self._names:
            self._change('link', None, path, _Inode())
        self._done()
        return self._names[path]

    def append(self, handle, data):
        """Appends until the disk is full."""
        self._op('append')
        if self.space is not None:
            fits = data[: self.space]
            self.space -= len(fits)
            handle.content += fits
            if len(fits) < len(data):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        else:
            handle.content += data
        self._done()

    def sync(self, handle):
        """Makes the content durable, or fails and drops it."""
        self._op('sync')
        if self.fail_sync:
            handle.content = handle.synced
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        handle.synced = handle.content
        self._done()

    def close(self, handle):
        """Does nothing."""

    def truncate(self, path, size):
        """Cuts and syncs."""
        self._op('truncate')
        inode = self._names[path]
        inode.content = inode.synced = inode.content[:size]
        self._done()

    def rename(self, old, new):
        """Renames within the folder."""
        self._op('rename')
        self._change('move', old, new, self._names[old])
        self._done()

    def remove(self, path):
        """Removes a name."""
        self._op('remove')
        self._change('move', path, None, self._names[path])
        self._done()

    def sync_folder(self, folder):
        """Makes the names durable, or fails."""
        self._op('sync_folder')
        if self.fail_sync:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._durable = dict(self._names)
        self._pending = []
        self._done()

    def lock(self, path):
        """Never contended here."""
        return _Inode()
